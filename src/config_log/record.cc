#include "chervilspar/config_log/record.h"

#include <array>

namespace chervilspar::config_log {

namespace {

/// In the order of `RecordBody`'s alternatives.
constexpr std::array<const char*, std::variant_size_v<RecordBody>> kTypeNames = {
    "publish",      "publish-part",   "key-given",      "key-withdrawn",
    "vms-observed", "step-claimed",   "step-acting",    "step-taken-over",
    "step-done",    "step-withdrawn", "snapshot-chunk", "entry-gone"};

}  // namespace

const char* TypeName(const RecordBody& body) { return kTypeNames[body.index()]; }

}  // namespace chervilspar::config_log
