#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "chervilspar/inventory/delta.h"
#include "chervilspar/inventory/document.h"

#include "cli/command.h"
#include "cli/json_view.h"
#include "cli/text_table.h"

namespace chervilspar::cli {

namespace {

/// A column of a table: its heading and the field of the row that it shows.
struct Column {
  const char* heading;
  const char* field;
};

void PrintRows(const char* title, const JsonView& rows, const std::vector<Column>& columns,
               const Console& console) {
  std::vector<std::string> heading;
  heading.reserve(columns.size());
  for (const Column& column : columns) {
    heading.emplace_back(column.heading);
  }
  TextTable table(heading);
  for (const JsonView& row : rows.Rows()) {
    std::vector<std::string> cells;
    cells.reserve(columns.size());
    for (const Column& column : columns) {
      cells.push_back(row.At(column.field).Shown());
    }
    table.Add(std::move(cells));
  }
  if (!table.IsEmpty()) {
    console.out << "\n" << title << "\n";
    table.Print(console.out);
  }
}

void PrintLoad(const JsonView& status, const Console& console) {
  PrintRows("Pools", status.At("pools"),
            {{"POOL", "pool"},
             {"SERVICE", "service"},
             {"VMS", "vms"},
             {"AVAILABLE", "available"},
             {"BUDGET", "min_available"}},
            console);
  PrintRows("Services", status.At("services"),
            {{"SERVICE", "service"},
             {"WAITING", "waiting"},
             {"RUNNING", "running"},
             {"EJECTED", "ejected"}},
            console);
  PrintRows("Teams, as this entry sees them", status.At("teams"),
            {{"TEAM", "team"},
             {"SHARE", "share"},
             {"LIMIT", "upper_limit"},
             {"OWNED", "owned"},
             {"BORROWED", "borrowed"},
             {"LENT", "lent"},
             {"RUNNING", "running"},
             {"WAITING", "waiting"}},
            console);
}

void PrintStatus(const JsonView& status, const Console& console) {
  console.out << "entry " << status.At("entry").Shown() << " in zone " << status.At("zone").Shown()
              << ", version " << status.At("version").Shown() << ", log offset "
              << status.At("offset").Shown()
              << ", log read lately: " << status.At("log_fresh").Shown()
              << ", may use its own limits: " << status.At("may_own").Shown()
              << ", withdrawals not yet in the log: " << status.At("withdrawals_not_logged").Shown()
              << "\n";
  PrintRows("Other entries", status.At("peers"),
            {{"ENTRY", "entry"},
             {"ZONE", "zone"},
             {"FRESH", "fresh"},
             {"AGE MS", "age_ms"},
             {"VERSION", "version"},
             {"OFFSET", "offset"}},
            console);
  PrintLoad(status, console);
  PrintRows("Steps", status.At("steps"),
            {{"STEP", "step"},
             {"VM", "vm"},
             {"ACTION", "action"},
             {"PHASE", "phase"},
             {"EXECUTOR", "executor"}},
            console);
}

void PrintPlan(const JsonView& plan, const Console& console) {
  console.out << "wave " << plan.At("wave").Shown() << ", " << plan.At("remaining_steps").Shown()
              << " steps to go, date " << plan.At("date").Shown() << ", expected end "
              << plan.At("expected_end").Shown() << ", earliest date "
              << plan.At("earliest_date").Shown() << "\n";
  PrintRows("Pools without room", plan.At("blocked_pools"),
            {{"POOL", "pool"}, {"VMS MISSING", "missing_vms"}}, console);
  PrintRows("Next", plan.At("next"),
            {{"VM", "vm"}, {"ACTION", "action"}, {"FROM", "from_pool"}, {"TO", "to_pool"}},
            console);
  PrintRows("To be undone", plan.At("withdrawing"),
            {{"STEP", "step"}, {"VM", "vm"}, {"WHY", "sentence"}}, console);
  PrintRows("Waiting", plan.At("waits"), {{"VM", "vm"}, {"POOL", "pool"}, {"WHY", "sentence"}},
            console);
}

ExitCode PrintInventory(const Answer& answer, const Console& console) {
  const boost::json::value json = answer.Json();
  const boost::json::value* document =
      json.is_object() ? json.get_object().if_contains("inventory") : nullptr;
  if (document == nullptr) {
    console.err << "chervilspar: " << answer.address << " gave no inventory\n";
    return ExitCode::kInternal;
  }
  console.err << "version " << JsonView(json).At("version").Shown()
              << "; give it as --base-version when you publish a changed copy\n";
  const Result<inventory::Inventory> inventory = inventory::InventoryFromJson(*document);
  if (inventory) {
    console.out << inventory::Serialize(*inventory, inventory::Layout::kIndented);
  } else {
    console.out << boost::json::serialize(*document) << "\n";
  }
  return ExitCode::kOk;
}

}  // namespace

ExitCode RunStatus(StatusPart part, OutputForm form, const OperatorClient& client,
                   const Console& console) {
  const bool is_summary = part == StatusPart::kSummary;
  const Answer answer =
      client.CallAny("GET", is_summary ? "/v1/operator/status" : "/v1/operator/inventory");
  if (!answer.IsOk()) {
    return Fail(answer, console);
  }
  if (!is_summary) {
    return PrintInventory(answer, console);
  }
  if (form == OutputForm::kJson) {
    console.out << answer.body << "\n";
    return ExitCode::kOk;
  }
  const boost::json::value json = answer.Json();
  PrintStatus(JsonView(json), console);
  return ExitCode::kOk;
}

ExitCode RunPlan(OutputForm form, const OperatorClient& client, const Console& console) {
  const Answer answer = client.CallAny("GET", "/v1/operator/plan");
  if (!answer.IsOk()) {
    return Fail(answer, console);
  }
  if (form == OutputForm::kJson) {
    console.out << answer.body << "\n";
    return ExitCode::kOk;
  }
  const boost::json::value json = answer.Json();
  PrintPlan(JsonView(json), console);
  return ExitCode::kOk;
}

}  // namespace chervilspar::cli
