#include <algorithm>
#include <limits>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "chervilspar/config_log/folder.h"
#include "chervilspar/config_log/key_digest.h"
#include "chervilspar/config_log/record_codec.h"

#include "config_log/enum_names.h"
#include "config_log/json_fields.h"
#include "config_log/text_parts.h"

namespace chervilspar::config_log {

namespace {

constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();

boost::json::object WriteStatus(const VmStatus& status) {
  boost::json::object json{{"c", ToString(status.condition)}};
  if (status.step) {
    json["step"] = status.step->text;
  }
  if (status.last_maintained != WallTime{}) {
    json["maintained"] = ToMicroseconds(status.last_maintained);
  }
  if (status.observed_at != WallTime{}) {
    json["observed"] = ToMicroseconds(status.observed_at);
  }
  if (status.last_step) {
    json["last"] = status.last_step->text;
  }
  if (status.declared_pool) {
    json["declared"] = status.declared_pool->text;
  }
  if (status.retired) {
    json["retired"] = true;
  }
  return json;
}

template <typename IdType>
std::optional<IdType> ReadOptionalId(JsonFields& fields, std::string_view name) {
  std::optional<std::string> text = fields.OptionalText(name);
  return text ? std::optional<IdType>(IdType{*std::move(text)}) : std::nullopt;
}

VmStatus ReadStatus(JsonFields& fields) {
  VmStatus status;
  const auto condition = FromName(kAllConditions, fields.Text("c"));
  if (!condition) {
    fields.MarkBroken();
  }
  status.condition = condition.value_or(VmCondition::kUnseen);
  status.step = ReadOptionalId<StepId>(fields, "step");
  status.last_maintained = fields.TimeOrEpoch("maintained");
  status.observed_at = fields.TimeOrEpoch("observed");
  status.last_step = ReadOptionalId<StepId>(fields, "last");
  status.declared_pool = ReadOptionalId<PoolId>(fields, "declared");
  status.retired = fields.Find("retired") != nullptr;
  return status;
}

boost::json::object WriteStep(const Step& step) {
  boost::json::object json{{"id", step.id.text},
                           {"vm", step.vm.text},
                           {"action", ToString(step.action)},
                           {"from", step.from_pool.text},
                           {"phase", ToString(step.phase)},
                           {"executor", step.executor.text},
                           {"at", ToMicroseconds(step.claimed_at)}};
  if (step.to_pool) {
    json["to"] = step.to_pool->text;
  }
  return json;
}

Step ReadStep(JsonFields& fields) {
  Step step;
  step.id.text = fields.Text("id");
  step.vm.text = fields.Text("vm");
  const auto action = FromName(kAllActions, fields.Text("action"));
  const auto phase = FromName(kAllPhases, fields.Text("phase"));
  if (!action || !phase) {
    fields.MarkBroken();
  }
  step.action = action.value_or(StepAction::kReboot);
  step.from_pool.text = fields.Text("from");
  step.to_pool = ReadOptionalId<PoolId>(fields, "to");
  step.phase = phase.value_or(StepPhase::kDraining);
  step.executor.text = fields.Text("executor");
  step.claimed_at = fields.Time("at");
  return step;
}

boost::json::object WritePending(const RecordId& id, const PendingPublish& pending) {
  boost::json::array parts;
  for (const auto& [index, text] : pending.parts) {
    parts.push_back({{"index", index}, {"text", text}});
  }
  return {{"id", id.text},
          {"first", pending.first_offset},
          {"count", pending.count},
          {"parts", std::move(parts)}};
}

void ReadPending(const boost::json::value& json, FleetState& state, JsonFields& outer) {
  JsonFields fields(json);
  PendingPublish pending;
  const RecordId id{fields.Text("id")};
  pending.first_offset = fields.Integer("first", 0, kMaxInteger);
  pending.count = static_cast<std::uint32_t>(fields.Integer("count", 1, kMaxPublishParts));
  const boost::json::array* parts = fields.RequireArray("parts");
  for (std::size_t i = 0; parts != nullptr && i < parts->size(); ++i) {
    JsonFields part((*parts)[i]);
    const auto index = static_cast<std::uint32_t>(part.Integer("index", 0, pending.count - 1));
    pending.parts[index] = part.Text("text");
    if (part.IsBroken()) {
      fields.MarkBroken();
    }
  }
  if (fields.IsBroken()) {
    outer.MarkBroken();
  }
  state.pending_publishes.emplace(id, std::move(pending));
}

boost::json::array WriteEntries(const std::set<EntryId>& entries) {
  boost::json::array json;
  for (const EntryId& entry : entries) {
    json.emplace_back(entry.text);
  }
  return json;
}

boost::json::object WriteState(const FleetState& state) {
  boost::json::object vms;
  for (const auto& [id, status] : state.vm_status) {
    vms[id.text] = WriteStatus(status);
  }
  boost::json::array steps;
  for (const auto& [id, step] : state.steps) {
    steps.push_back(WriteStep(step));
  }
  boost::json::object keys;
  for (const auto& [digest, team] : state.keys) {
    keys[digest.hex] = team.text;
  }
  boost::json::array withdrawn;
  for (const KeyDigest& digest : state.withdrawn) {
    withdrawn.emplace_back(digest.hex);
  }
  boost::json::array pending;
  for (const auto& [id, publish] : state.pending_publishes) {
    pending.push_back(WritePending(id, publish));
  }
  boost::json::array recent;
  for (const RecordId& id : state.recent_records) {
    recent.emplace_back(id.text);
  }
  return {{"state", kRecordVersion},
          {"next_offset", state.next_offset},
          {"version", state.version},
          {"inventory", inventory::ToJson(state.inventory)},
          {"vms", std::move(vms)},
          {"steps", std::move(steps)},
          {"keys", std::move(keys)},
          {"withdrawn", std::move(withdrawn)},
          {"pending", std::move(pending)},
          {"recent", std::move(recent)},
          {"former", WriteEntries(state.former_entries)},
          {"gone", WriteEntries(state.gone_entries)}};
}

void ReadStatuses(JsonFields& fields, FleetState& state) {
  const boost::json::value* vms = fields.Require("vms");
  if (vms == nullptr || !vms->is_object()) {
    fields.MarkBroken();
    return;
  }
  for (const auto& entry : vms->get_object()) {
    JsonFields status(entry.value());
    state.vm_status.emplace(VmId{std::string(entry.key())}, ReadStatus(status));
    if (status.IsBroken()) {
      fields.MarkBroken();
    }
  }
}

void ReadSteps(JsonFields& fields, FleetState& state) {
  const boost::json::array* steps = fields.RequireArray("steps");
  for (std::size_t i = 0; steps != nullptr && i < steps->size(); ++i) {
    JsonFields step_fields((*steps)[i]);
    Step step = ReadStep(step_fields);
    if (step_fields.IsBroken()) {
      fields.MarkBroken();
    }
    const StepId id = step.id;
    state.steps.emplace(id, std::move(step));
  }
}

KeyDigest ReadDigest(const boost::json::value& json, JsonFields& fields) {
  const boost::json::string* text = json.if_string();
  const Result<KeyDigest> digest = ParseKeyDigest(text == nullptr ? "" : std::string(*text));
  if (!digest) {
    fields.MarkBroken();
    return KeyDigest{};
  }
  return *digest;
}

void ReadKeys(JsonFields& fields, FleetState& state) {
  const boost::json::value* keys = fields.Require("keys");
  if (keys == nullptr || !keys->is_object()) {
    fields.MarkBroken();
    return;
  }
  for (const auto& entry : keys->get_object()) {
    if (!entry.value().is_string()) {
      fields.MarkBroken();
      return;
    }
    state.keys.emplace(ReadDigest(boost::json::value(entry.key()), fields),
                       TeamId{std::string(entry.value().get_string())});
  }
  const boost::json::array* withdrawn = fields.RequireArray("withdrawn");
  for (std::size_t i = 0; withdrawn != nullptr && i < withdrawn->size(); ++i) {
    state.withdrawn.insert(ReadDigest((*withdrawn)[i], fields));
  }
}

std::set<EntryId> ReadEntries(JsonFields& fields, std::string_view name) {
  std::set<EntryId> entries;
  const boost::json::array* json = fields.RequireArray(name);
  for (std::size_t i = 0; json != nullptr && i < json->size(); ++i) {
    const boost::json::string* text = (*json)[i].if_string();
    if (text == nullptr) {
      fields.MarkBroken();
      return entries;
    }
    entries.insert(EntryId{std::string(*text)});
  }
  return entries;
}

void ReadRecords(JsonFields& fields, FleetState& state) {
  const boost::json::array* pending = fields.RequireArray("pending");
  for (std::size_t i = 0; pending != nullptr && i < pending->size(); ++i) {
    ReadPending((*pending)[i], state, fields);
  }
  const boost::json::array* recent = fields.RequireArray("recent");
  for (std::size_t i = 0; recent != nullptr && i < recent->size(); ++i) {
    if (!(*recent)[i].is_string()) {
      fields.MarkBroken();
      return;
    }
    state.recent_records.push_back(RecordId{std::string((*recent)[i].get_string())});
  }
}

/// Whether a step fits the VM that it holds and the pool that it goes to.
bool IsConsistentStep(const FleetState& state, const Step& step) {
  const auto vm = state.inventory.vms.find(step.vm);
  const auto status = state.vm_status.find(step.vm);
  if (vm == state.inventory.vms.end() || status == state.vm_status.end()) {
    return false;
  }
  const bool has_target = step.to_pool && state.inventory.pools.contains(*step.to_pool);
  const bool is_move = step.action == StepAction::kMove;
  return status->second.step == step.id && vm->second.pool == step.from_pool &&
         has_target == is_move;
}

/// Whether a state hangs together, so that the fold's invariants hold from it on.
bool IsConsistent(const FleetState& state) {
  if (state.vm_status.size() != state.inventory.vms.size() ||
      state.recent_records.size() > kMaxRecentRecords) {
    return false;
  }
  std::size_t held = 0;
  for (const auto& [id, vm] : state.inventory.vms) {
    const auto status = state.vm_status.find(id);
    if (status == state.vm_status.end()) {
      return false;
    }
    held += status->second.step ? 1 : 0;
  }
  const bool steps_fit =
      std::all_of(state.steps.begin(), state.steps.end(),
                  [&state](const auto& entry) { return IsConsistentStep(state, entry.second); });
  return steps_fit && held == state.steps.size();
}

Reason Malformed(std::string message) {
  return Reason{ErrorCode::kMalformed, "", std::move(message)};
}

}  // namespace

std::string EncodeState(const FleetState& state) {
  return boost::json::serialize(WriteState(state));
}

Result<FleetState> DecodeState(std::string_view text) {
  if (text.size() > kMaxStateBytes) {
    return Malformed("the state is larger than " + std::to_string(kMaxStateBytes) + " bytes");
  }
  boost::json::error_code error;
  const boost::json::value json = boost::json::parse(text, error);
  if (error) {
    return Malformed("the state is broken JSON: " + error.message());
  }
  JsonFields fields(json);
  if (fields.IntegerOr("state", 0) != kRecordVersion) {
    return Malformed("the state has a version that is not known here");
  }
  FleetState state;
  state.next_offset = fields.Integer("next_offset", 0, kMaxInteger);
  state.version = fields.Integer("version", 0, kMaxInteger);
  const boost::json::value* inventory_json = fields.Require("inventory");
  ReadStatuses(fields, state);
  ReadSteps(fields, state);
  ReadKeys(fields, state);
  ReadRecords(fields, state);
  state.former_entries = ReadEntries(fields, "former");
  state.gone_entries = ReadEntries(fields, "gone");
  if (fields.IsBroken()) {
    return Malformed("a field of the state is missing or broken");
  }
  Result<inventory::Inventory> inventory = inventory::InventoryFromJson(*inventory_json);
  if (!inventory) {
    return Malformed("the state's inventory: " + ToString(inventory.LastReason()));
  }
  state.inventory = std::move(inventory).Value();
  if (!IsConsistent(state)) {
    return Malformed("the state's VMs and steps don't match");
  }
  return state;
}

std::vector<Record> MakeSnapshotRecords(const RecordId& snapshot, const EntryId& author,
                                        WallTime at, const FleetState& state) {
  const std::vector<std::string> chunks = SplitText(EncodeState(state), kMaxPartBytes);
  const auto count = static_cast<std::uint32_t>(chunks.size());
  std::vector<Record> records;
  for (std::uint32_t i = 0; i < count; ++i) {
    records.push_back(Record{RecordId{snapshot.text + "." + std::to_string(i)}, author, at,
                             SnapshotChunk{snapshot, state.next_offset, i, count, chunks[i]}});
  }
  return records;
}

}  // namespace chervilspar::config_log
