#include "chervilspar/jobs/move_record.h"

#include <boost/json.hpp>

#include "jobs/json_values.h"

namespace chervilspar::jobs {

namespace json = boost::json;

std::string EncodeMoveRecord(const MoveRecord& move) {
  return json::serialize(
      json::object{{"vm", move.vm.text}, {"pool", move.pool.text}, {"endpoint", move.endpoint}});
}

Result<MoveRecord> DecodeMoveRecord(std::string_view text) {
  const Reason unreadable{ErrorCode::kMalformed, "", "the record is not a move of a VM"};
  try {
    const json::value value = json::parse(text);
    const json::object& in = value.as_object();
    MoveRecord move{VmId{TextOf(in, "vm")}, ServiceId{TextOf(in, "pool")}, TextOf(in, "endpoint")};
    if (move.vm.IsEmpty() || move.pool.IsEmpty()) {
      return unreadable;
    }
    return move;
  } catch (const std::exception&) {
    return unreadable;
  }
}

}  // namespace chervilspar::jobs
