#include "chervilspar/inventory/document.h"

#include <algorithm>

#include <boost/json/serialize.hpp>
#include <boost/json/stream_parser.hpp>

#include "chervilspar/inventory/delta.h"

#include "inventory/document_reader.h"
#include "inventory/duplicate_fields.h"
#include "inventory/indented_json.h"
#include "inventory/object_codec.h"

namespace chervilspar::inventory {

namespace {

/// Documents nest five deep; more is no inventory and would use up the stack.
constexpr std::size_t kMaxDepth = 16;

std::string PlaceOf(std::string_view text, std::size_t position) {
  const std::string_view before = text.substr(0, position);
  const auto line = 1 + std::count(before.begin(), before.end(), '\n');
  const std::size_t line_start = before.rfind('\n') + 1;
  return "line " + std::to_string(line) + ", column " + std::to_string(position - line_start + 1);
}

std::optional<boost::json::value> ParseJson(std::string_view text, Faults& faults) {
  if (text.size() > kMaxDocumentBytes) {
    faults.Add("", "the document has " + std::to_string(text.size()) + " bytes; at most " +
                       std::to_string(kMaxDocumentBytes) + " are read");
    return std::nullopt;
  }
  boost::json::parse_options options;
  options.max_depth = kMaxDepth;
  boost::json::stream_parser parser({}, options);
  boost::json::error_code error;
  const std::size_t parsed = parser.write_some(text.data(), text.size(), error);
  if (!error) {
    parser.finish(error);
  }
  if (error || text.find_first_not_of(" \t\r\n", parsed) != text.npos) {
    const std::string what = error ? error.message() : "more text after the document";
    faults.Add("", "broken JSON at " + PlaceOf(text, parsed) + ": " + what);
    return std::nullopt;
  }
  return parser.release();
}

template <typename IdType, typename Object>
boost::json::array WriteList(const std::map<IdType, Object>& objects) {
  boost::json::array list;
  list.reserve(objects.size());
  for (const auto& [id, object] : objects) {
    list.push_back(Write(object));
  }
  return list;
}

}  // namespace

ParseOutcome ParseAll(std::string_view text) {
  Faults faults;
  const std::optional<boost::json::value> json = ParseJson(text, faults);
  if (!json) {
    return ParseOutcome{std::nullopt, faults.All()};
  }
  FindDuplicateFields(text, faults);
  Inventory inventory = ReadDocument(*json, faults);
  for (const Reason& reason : FindDanglingReferences(inventory)) {
    faults.Add(reason.field, reason.message);
  }
  if (!faults.IsEmpty()) {
    return ParseOutcome{std::nullopt, faults.All()};
  }
  return ParseOutcome{std::move(inventory), {}};
}

Result<Inventory> Parse(std::string_view text) {
  ParseOutcome outcome = ParseAll(text);
  if (!outcome.inventory) {
    return outcome.faults.front();
  }
  return *std::move(outcome.inventory);
}

boost::json::value ToJson(const Inventory& inventory) {
  boost::json::object document{
      {"schema_version", kSchemaVersion},          {"zones", WriteList(inventory.zones)},
      {"services", WriteList(inventory.services)}, {"pools", WriteList(inventory.pools)},
      {"vms", WriteList(inventory.vms)},           {"teams", WriteList(inventory.teams)},
      {"entries", WriteList(inventory.entries)}};
  if (inventory.move) {
    document["move"] = Write(*inventory.move);
  }
  document["maintenance"] = Write(inventory.maintenance);
  document["service_rules"] = Write(inventory.service_rules);
  return document;
}

Result<Inventory> InventoryFromJson(const boost::json::value& json) {
  Faults faults;
  Inventory inventory = ReadDocument(json, faults);
  for (const Reason& reason : FindDanglingReferences(inventory)) {
    faults.Add(reason.field, reason.message);
  }
  if (!faults.IsEmpty()) {
    return faults.All().front();
  }
  return inventory;
}

std::string Serialize(const Inventory& inventory, Layout layout) {
  const boost::json::value json = ToJson(inventory);
  return layout == Layout::kCompact ? boost::json::serialize(json) : SerializeIndented(json);
}

}  // namespace chervilspar::inventory
