#include "chervilspar/config_log/record_codec.h"

#include <limits>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "chervilspar/config_log/folder.h"
#include "chervilspar/config_log/key_digest.h"

#include "config_log/enum_names.h"
#include "config_log/json_fields.h"
#include "config_log/text_parts.h"

namespace chervilspar::config_log {

namespace {

constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t kMaxIdLength = 128;

constexpr const char* kSucceeded = "succeeded";
constexpr const char* kVmFailed = "vm-failed";

/// Gives the JSON form of each body.
struct BodyWriter {
  boost::json::object operator()(const Publish& body) const {
    return {{"base", body.base_version}, {"delta", inventory::ToJson(body.delta)}};
  }
  boost::json::object operator()(const PublishPart& body) const {
    return {{"publish", body.publish.text},
            {"index", body.index},
            {"count", body.count},
            {"text", body.text}};
  }
  boost::json::object operator()(const KeyGiven& body) const {
    return {{"digest", body.digest.hex}, {"team", body.team.text}};
  }
  boost::json::object operator()(const KeyWithdrawn& body) const {
    return {{"digest", body.digest.hex}};
  }
  boost::json::object operator()(const VmsObserved& body) const {
    boost::json::array vms;
    for (const VmId& vm : body.vms) {
      vms.emplace_back(vm.text);
    }
    return {{"condition", ToString(body.condition)},
            {"observed_at", ToMicroseconds(body.observed_at)},
            {"vms", std::move(vms)}};
  }
  boost::json::object operator()(const StepClaimed& body) const {
    boost::json::object json{{"vm", body.vm.text},
                             {"action", ToString(body.action)},
                             {"from", body.from_pool.text},
                             {"executor", body.executor.text}};
    if (body.to_pool) {
      json["to"] = body.to_pool->text;
    }
    return json;
  }
  boost::json::object operator()(const StepActing& body) const {
    return {{"step", body.step.text}, {"executor", body.executor.text}};
  }
  boost::json::object operator()(const StepTakenOver& body) const {
    return {
        {"step", body.step.text}, {"from", body.from_executor.text}, {"to", body.to_executor.text}};
  }
  boost::json::object operator()(const StepDone& body) const {
    const bool succeeded = body.result == StepResult::kSucceeded;
    return {{"step", body.step.text}, {"result", succeeded ? kSucceeded : kVmFailed}};
  }
  boost::json::object operator()(const StepWithdrawn& body) const {
    return {{"step", body.step.text}, {"why", body.why}};
  }
  boost::json::object operator()(const SnapshotChunk& body) const {
    return {{"snapshot", body.snapshot.text},
            {"next", body.next_offset},
            {"index", body.index},
            {"count", body.count},
            {"text", body.text}};
  }
  boost::json::object operator()(const EntryGone& body) const {
    return {{"entry", body.entry.text}};
  }
};

KeyDigest ReadDigest(JsonFields& fields) {
  const Result<KeyDigest> digest = ParseKeyDigest(fields.Text("digest"));
  if (!digest) {
    fields.MarkBroken();
    return KeyDigest{};
  }
  return *digest;
}

Publish ReadPublish(JsonFields& fields) {
  Publish body;
  body.base_version = fields.Integer("base", 0, kMaxInteger);
  const boost::json::value* json = fields.Require("delta");
  if (json == nullptr) {
    return body;
  }
  Result<inventory::InventoryDelta> delta = inventory::DeltaFromJson(*json);
  if (!delta) {
    fields.MarkBroken();
    return body;
  }
  body.delta = std::move(delta).Value();
  return body;
}

VmsObserved ReadVmsObserved(JsonFields& fields) {
  VmsObserved body;
  const auto condition = FromName(kAllConditions, fields.Text("condition"));
  if (!condition || *condition == VmCondition::kUnseen) {
    fields.MarkBroken();
  }
  body.condition = condition.value_or(VmCondition::kAvailable);
  body.observed_at = fields.Time("observed_at");
  const boost::json::array* vms = fields.RequireArray("vms");
  if (vms == nullptr) {
    return body;
  }
  for (const boost::json::value& vm : *vms) {
    if (!vm.is_string()) {
      fields.MarkBroken();
      return body;
    }
    body.vms.push_back(VmId{std::string(vm.get_string())});
  }
  return body;
}

StepClaimed ReadStepClaimed(JsonFields& fields) {
  StepClaimed body;
  body.vm.text = fields.Text("vm");
  const auto action = FromName(kAllActions, fields.Text("action"));
  if (!action) {
    fields.MarkBroken();
  }
  body.action = action.value_or(StepAction::kReboot);
  body.from_pool.text = fields.Text("from");
  if (std::optional<std::string> to = fields.OptionalText("to")) {
    body.to_pool = PoolId{*std::move(to)};
  }
  body.executor.text = fields.Text("executor");
  return body;
}

StepDone ReadStepDone(JsonFields& fields) {
  StepDone body;
  body.step.text = fields.Text("step");
  const std::string result = fields.Text("result");
  if (result != kSucceeded && result != kVmFailed) {
    fields.MarkBroken();
  }
  body.result = result == kSucceeded ? StepResult::kSucceeded : StepResult::kVmFailed;
  return body;
}

PublishPart ReadPublishPart(JsonFields& fields) {
  PublishPart body;
  body.publish.text = fields.Text("publish");
  body.count = static_cast<std::uint32_t>(fields.Integer("count", 1, kMaxPublishParts));
  body.index = static_cast<std::uint32_t>(fields.Integer("index", 0, body.count - 1));
  body.text = fields.Text("text");
  return body;
}

SnapshotChunk ReadSnapshotChunk(JsonFields& fields) {
  constexpr std::int64_t kMaxChunks = kMaxStateBytes / kMaxPartBytes + 1;
  SnapshotChunk body;
  body.snapshot.text = fields.Text("snapshot");
  body.next_offset = fields.Integer("next", 0, kMaxInteger);
  body.count = static_cast<std::uint32_t>(fields.Integer("count", 1, kMaxChunks));
  body.index = static_cast<std::uint32_t>(fields.Integer("index", 0, body.count - 1));
  body.text = fields.Text("text");
  return body;
}

std::optional<RecordBody> ReadBody(std::string_view type, JsonFields& fields) {
  if (type == "publish") {
    return ReadPublish(fields);
  }
  if (type == "publish-part") {
    return ReadPublishPart(fields);
  }
  if (type == "key-given") {
    return KeyGiven{ReadDigest(fields), TeamId{fields.Text("team")}};
  }
  if (type == "key-withdrawn") {
    return KeyWithdrawn{ReadDigest(fields)};
  }
  if (type == "vms-observed") {
    return ReadVmsObserved(fields);
  }
  if (type == "step-claimed") {
    return ReadStepClaimed(fields);
  }
  if (type == "step-acting") {
    return StepActing{StepId{fields.Text("step")}, EntryId{fields.Text("executor")}};
  }
  if (type == "step-taken-over") {
    return StepTakenOver{StepId{fields.Text("step")}, EntryId{fields.Text("from")},
                         EntryId{fields.Text("to")}};
  }
  if (type == "step-done") {
    return ReadStepDone(fields);
  }
  if (type == "step-withdrawn") {
    return StepWithdrawn{StepId{fields.Text("step")}, fields.Text("why")};
  }
  if (type == "snapshot-chunk") {
    return ReadSnapshotChunk(fields);
  }
  if (type == "entry-gone") {
    return EntryGone{EntryId{fields.Text("entry")}};
  }
  return std::nullopt;
}

Reason Malformed(std::string message) {
  return Reason{ErrorCode::kMalformed, "", std::move(message)};
}

bool IsUsableId(const std::string& id) { return !id.empty() && id.size() <= kMaxIdLength; }

}  // namespace

std::string EncodeRecord(const Record& record) {
  const boost::json::object json{
      {"v", kRecordVersion},           {"id", record.id.text},
      {"author", record.author.text},  {"at", ToMicroseconds(record.at)},
      {"type", TypeName(record.body)}, {"body", std::visit(BodyWriter{}, record.body)}};
  return boost::json::serialize(json);
}

Result<Record> DecodeRecord(std::string_view text) {
  if (text.size() > kMaxRecordBytes) {
    return Malformed("the record is larger than the log takes");
  }
  boost::json::error_code error;
  const boost::json::value json = boost::json::parse(text, error);
  if (error) {
    return Malformed("broken JSON: " + error.message());
  }
  JsonFields fields(json);
  const std::int64_t version = fields.IntegerOr("v", 0);
  if (version != kRecordVersion) {
    return Malformed("record version " + std::to_string(version) + " is not known here");
  }
  Record record;
  record.id.text = fields.Text("id");
  record.author.text = fields.Text("author");
  record.at = fields.Time("at");
  const std::string type = fields.Text("type");
  const boost::json::value* body_json = fields.Require("body");
  if (fields.IsBroken() || !IsUsableId(record.id.text)) {
    return Malformed("the record's id, author, time, type or body is missing or broken");
  }
  JsonFields body_fields(*body_json);
  std::optional<RecordBody> body = ReadBody(type, body_fields);
  if (!body) {
    return Malformed("record type \"" + type.substr(0, kMaxIdLength) + "\" is not known here");
  }
  if (body_fields.IsBroken()) {
    return Malformed("the body of the " + type + " record is broken");
  }
  record.body = *std::move(body);
  return record;
}

Result<std::vector<Record>> MakePublishRecords(const RecordId& id, const EntryId& author,
                                               WallTime at, const Publish& publish) {
  std::string text = EncodePublish(publish);
  if (text.size() <= kMaxPartBytes) {
    return std::vector<Record>{Record{id, author, at, publish}};
  }
  const std::vector<std::string> parts = SplitText(text, kMaxPartBytes);
  if (parts.size() > kMaxPublishParts) {
    return Reason{ErrorCode::kResourceExhausted, "",
                  "the change has " + std::to_string(text.size()) +
                      " bytes; publish it in several smaller steps"};
  }
  std::vector<Record> records;
  const auto count = static_cast<std::uint32_t>(parts.size());
  for (std::uint32_t i = 0; i < count; ++i) {
    records.push_back(Record{RecordId{id.text + "." + std::to_string(i)}, author, at,
                             PublishPart{id, i, count, parts[i]}});
  }
  return records;
}

std::string EncodePublish(const Publish& publish) {
  return boost::json::serialize(BodyWriter{}(publish));
}

Result<Publish> DecodePublish(std::string_view text) {
  boost::json::error_code error;
  const boost::json::value json = boost::json::parse(text, error);
  if (error) {
    return Malformed("the parts give broken JSON: " + error.message());
  }
  JsonFields fields(json);
  Publish publish = ReadPublish(fields);
  if (fields.IsBroken()) {
    return Malformed("the parts give no readable publish");
  }
  return publish;
}

}  // namespace chervilspar::config_log
