// Two workers hang for a few seconds, one after the other. A task that the first has finished is
// placed again on the second, and its job is shown as complete before the second answers again.
// Looks for a start of the task later than a second after that.
#include <cstdlib>

#include "../standin-2/entries.hpp"
#include "../standin-2/workers.hpp"

namespace review {
namespace {

constexpr int kWorkers = 20;
constexpr double kSlackMs = 1000;
constexpr double kShortWorkMs = 1000;
constexpr double kLongWorkMs = 7000;
/// Both from the first start of the deposit's task; a lease lasts 4 s.
constexpr double kFirstHangMs = 4900;
constexpr double kSecondHangBeginMs = 4000;
constexpr double kSecondHangMs = 3600;
const std::string kDeposit = "5c0e7a21d94b36f8";
const std::string kKit = "7d41c09be2a65f13";

json::object Route(const char* name, const char* prefix) {
  return {{"name", name},
          {"host", "kit.example"},
          {"path_prefix", prefix},
          {"service", "guide-roster"},
          {"prio", 1},
          {"attempts", 4},
          {"slack_factor", 4.0},
          {"target_runtime_ms", 20000}};
}

std::string Config() {
  return json::serialize(
      json::object{{"version", 3},
                   {"routes", {Route("route-kit", "/kit/"), Route("deposit-hold", "/deposit/")}},
                   {"services", {{{"name", "guide-roster"}, {"admission_check", true}}}},
                   {"tenants",
                    {{{"name", "counter"},
                      {"api_keys", {"key-counter"}},
                      {"weight", 10},
                      {"cap", {{"cpu", 0}, {"mem_mb", 0}, {"gpu", 0}}}}}},
                   {"limits", json::object{}}});
}

std::string JobBody(int count, double estimate_ms) {
  return json::serialize(json::object{
      {"spec", "work of the counter"},
      {"steps",
       {{{"count", count}, {"cpu", 500}, {"mem_mb", 256}, {"estimate_ms", estimate_ms}}}}});
}

/// Waits until a worker has started a task of the job; returns its event, or nothing.
std::optional<WorkerEvent> AwaitStart(Fleet& fleet, const std::string& job) {
  for (const double end = NowMs() + 3000; NowMs() < end; SleepMs(0.5)) {
    for (const WorkerEvent& event : fleet.Events()) {
      if (event.what == "start" && event.task.starts_with(job)) {
        return event;
      }
    }
  }
  return std::nullopt;
}

/// Hands in both jobs and lets their workers hang. Returns false if the case couldn't run.
bool Disturb(Record& record, Fleet& fleet, const Entry& entry, Client& deposit, Client& kit,
             bool has_trouble) {
  const auto first = deposit.Send(entry, "POST", kDeposit, JobBody(1, kShortWorkMs));
  const std::optional<WorkerEvent> started = AwaitStart(fleet, kDeposit);
  if (!first || first->status != 200 || !started) {
    return false;
  }
  const auto at = [begin = started->at_ms](double after_ms) {
    SleepMs(begin + after_ms - NowMs());
  };
  const auto hang = [&record, &fleet, has_trouble](const std::string& worker, bool hangs) {
    if (has_trouble) {
      fleet.SetHanging(worker, hangs);
      record.Write("worker " + worker + (hangs ? " hangs" : " answers again"));
    }
  };
  at(100);
  hang(started->worker, true);
  at(kSecondHangBeginMs - 100);
  const auto second = kit.Send(entry, "POST", kKit, JobBody(100, kLongWorkMs));
  const std::optional<WorkerEvent> placed = AwaitStart(fleet, kKit);
  if (!second || second->status != 200 || !placed) {
    return false;
  }
  hang(placed->worker, true);
  const double second_hang_at = NowMs() - started->at_ms;
  at(kFirstHangMs);
  hang(started->worker, false);
  std::thread([hang, at, second_hang_at, worker = placed->worker] {
    at(second_hang_at + kSecondHangMs);
    hang(worker, false);
  }).detach();
  return true;
}

int Main(const std::string& program, const std::string& folder, const std::string& logs,
         bool has_trouble) {
  Record record(folder + "/record.txt");
  // Their threads run until the process ends.
  Store& store = *new Store;
  Fleet& fleet = *new Fleet(
      store, {},
      [](const std::string& task) {
        return TaskNeed{500, 256, task.starts_with(kDeposit) ? kShortWorkMs : kLongWorkMs, false};
      },
      [](const std::string&, std::uint64_t) { return std::string("done"); });
  const char* const zones[] = {"is-south-a", "is-south-b", "is-south-c"};
  for (int i = 0; i < kWorkers; ++i) {
    fleet.Add("host-" + std::to_string(i), "guide-roster", zones[i % 3],
              "r" + std::to_string(i % 3) + "-1");
  }
  store.Put("keyed.op", "config", Config());
  Entries entries(program, logs, store.Port(), fleet.CloudPort());
  entries.Start({zones[0], zones[1], zones[2]});
  if (!entries.AreReady(15000)) {
    record.Write("the entries did not become ready");
    return 2;
  }
  SleepMs(4000);
  Client deposit(record, "kit.example", "/deposit/", "key-counter");
  Client kit(record, "kit.example", "/kit/", "key-counter");
  const Entry& entry = entries.All()[0];
  if (!Disturb(record, fleet, entry, deposit, kit, has_trouble)) {
    record.Write("the jobs were not accepted and started");
    return 2;
  }
  double complete_at = -1;
  for (const double end = NowMs() + 3000; NowMs() < end && complete_at < 0; SleepMs(50)) {
    const auto shown = deposit.Send(entry, "GET", kDeposit, "");
    if (shown && shown->body.find("complete") != std::string::npos) {
      complete_at = NowMs();
    }
  }
  if (complete_at < 0) {
    record.Write("the job was not shown as complete");
    return 2;
  }
  SleepMs(8000);
  int late = 0;
  for (const WorkerEvent& event : fleet.Events()) {
    record.WriteAt(event.at_ms, "worker " + event.worker + " " + event.what + " " + event.task +
                                    " run " + std::to_string(event.run) + " " + event.note);
    late += event.what == "start" && event.task.starts_with(kDeposit) &&
                    event.at_ms > complete_at + kSlackMs
                ? 1
                : 0;
  }
  record.Write(std::to_string(late) + " starts of the deposit's task later than " +
               std::to_string(static_cast<int>(kSlackMs)) +
               " ms after its job was shown as complete");
  return late > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc < 4) {
    return 2;
  }
  const char* const trouble = std::getenv("TROUBLE");
  return review::Main(argv[1], argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0");
}
