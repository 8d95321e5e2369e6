#include "platform_bodies.h"

#include "chervilspar/base/socket_address.h"

#include "json_fields.h"

namespace chervilspar::platform {

namespace json = boost::json;

namespace {

/// The latest wall time that a `WallTime`, which counts microseconds, can represent.
constexpr std::int64_t kMaxUnixMs = INT64_MAX / 1000;

/// Sums with larger offsets could overflow.
constexpr std::int64_t kMaxOffset = INT64_MAX / 2;

Result<ReadBatch> ParseBounds(const json::object& object) {
  const Result<std::int64_t> first = RequireInteger(object, "first");
  if (!first) {
    return first.LastReason();
  }
  const Result<std::int64_t> next = RequireInteger(object, "next");
  if (!next) {
    return next.LastReason();
  }
  if (*first > *next || *next > kMaxOffset) {
    return MalformedField("", "next", "is before 'first' or out of range");
  }
  ReadBatch batch;
  batch.first = *first;
  batch.next = *next;
  return batch;
}

Result<LogRecord> ParseRecord(const json::array& records, std::size_t index,
                              config_log::Offset expected, config_log::Offset next) {
  const std::string parent = "/records/" + std::to_string(index);
  const Result<json::object> item = RequireItem(records, index, "/records");
  if (!item) {
    return item.LastReason();
  }
  const Result<std::int64_t> offset = RequireInteger(*item, "offset", parent);
  if (!offset) {
    return offset.LastReason();
  }
  if (*offset != expected || *offset >= next) {
    return MalformedField(parent, "offset", "does not follow the one before it");
  }
  Result<std::string> data = RequireString(*item, "data", parent);
  if (!data) {
    return data.LastReason();
  }
  return LogRecord{*offset, std::move(data).Value()};
}

Result<VmState> ParseVmState(const json::object& object, std::string_view parent) {
  const Result<std::string> text = RequireString(object, "state", parent);
  if (!text) {
    return text.LastReason();
  }
  for (const VmState state :
       {VmState::kLive, VmState::kLeaving, VmState::kRebooting, VmState::kFailed}) {
    if (*text == ToString(state)) {
      return state;
    }
  }
  return MalformedField(parent, "state", "'" + *text + "' is not a VM state");
}

Result<ListedVm> ParseListedVm(const json::array& vms, std::size_t index) {
  const std::string parent = "/vms/" + std::to_string(index);
  const Result<json::object> item = RequireItem(vms, index, "/vms");
  if (!item) {
    return item.LastReason();
  }
  const Result<std::string> vm = RequireString(*item, "vm", parent);
  if (!vm) {
    return vm.LastReason();
  }
  const Result<VmState> state = ParseVmState(*item, parent);
  if (!state) {
    return state.LastReason();
  }
  const Result<std::string> address = RequireString(*item, "address", parent);
  if (!address) {
    return address.LastReason();
  }
  if (!ParseSocketAddress(*address)) {
    return MalformedField(parent, "address", "'" + *address + "' is not of the form IP:PORT");
  }
  return ListedVm{VmId{*vm}, *state, *address};
}

}  // namespace

Result<config_log::Offset> ParseAppendAnswer(std::string_view body) {
  const Result<json::object> object = ParseObject(body);
  if (!object) {
    return object.LastReason();
  }
  return RequireInteger(*object, "offset");
}

Result<ReadBatch> ParseReadAnswer(std::string_view body, config_log::Offset from, std::size_t max) {
  const Result<json::object> object = ParseObject(body);
  if (!object) {
    return object.LastReason();
  }
  Result<ReadBatch> bounds = ParseBounds(*object);
  if (!bounds) {
    return bounds;
  }
  const Result<json::array> records = RequireArray(*object, "records");
  if (!records) {
    return records.LastReason();
  }
  if (records->size() > max) {
    return MalformedField("", "records", "has more records than requested");
  }
  ReadBatch batch = *bounds;
  batch.records.reserve(records->size());
  for (std::size_t i = 0; i < records->size(); ++i) {
    const config_log::Offset expected = from + static_cast<config_log::Offset>(i);
    Result<LogRecord> record = ParseRecord(*records, i, expected, batch.next);
    if (!record) {
      return record.LastReason();
    }
    batch.records.push_back(std::move(record).Value());
  }
  return batch;
}

Result<ReadBatch> ParseGapAnswer(std::string_view body, config_log::Offset from) {
  const Result<json::object> object = ParseObject(body);
  if (!object) {
    return object.LastReason();
  }
  Result<ReadBatch> bounds = ParseBounds(*object);
  if (!bounds) {
    return bounds;
  }
  if (bounds->first <= from) {
    return MalformedField("", "first",
                          "a gap is reported although the requested offset is retained");
  }
  ReadBatch batch = *bounds;
  batch.kind = ReadKind::kGap;
  return batch;
}

Result<VmList> ParseVmList(std::string_view body) {
  const Result<json::object> object = ParseObject(body);
  if (!object) {
    return object.LastReason();
  }
  const Result<std::int64_t> sequence = RequireInteger(*object, "sequence");
  if (!sequence) {
    return sequence.LastReason();
  }
  const Result<std::int64_t> as_of = RequireInteger(*object, "as_of_unix_ms");
  if (!as_of) {
    return as_of.LastReason();
  }
  if (*as_of > kMaxUnixMs) {
    return MalformedField("", "as_of_unix_ms", "is out of range");
  }
  const Result<json::array> vms = RequireArray(*object, "vms");
  if (!vms) {
    return vms.LastReason();
  }
  VmList list{*sequence, WallTime(std::chrono::milliseconds(*as_of)), {}};
  for (std::size_t i = 0; i < vms->size(); ++i) {
    Result<ListedVm> vm = ParseListedVm(*vms, i);
    if (!vm) {
      return vm.LastReason();
    }
    list.vms.push_back(std::move(vm).Value());
  }
  return list;
}

Result<VmDescription> ParseVmDescription(std::string_view body) {
  const Result<json::object> object = ParseObject(body);
  if (!object) {
    return object.LastReason();
  }
  const Result<std::string> vm = RequireString(*object, "vm");
  if (!vm) {
    return vm.LastReason();
  }
  const Result<VmState> state = ParseVmState(*object, "");
  if (!state) {
    return state.LastReason();
  }
  const Result<std::int64_t> boot = RequireInteger(*object, "boot");
  if (!boot) {
    return boot.LastReason();
  }
  const Result<std::string> last_step = RequireString(*object, "last_step");
  if (!last_step) {
    return last_step.LastReason();
  }
  return VmDescription{VmId{*vm}, *state, *boot, StepId{*last_step}};
}

}  // namespace chervilspar::platform
