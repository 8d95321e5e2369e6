#pragma once

#include <string_view>

#include "chervilspar/platform/log_service.h"
#include "chervilspar/platform/vm_list_service.h"

namespace chervilspar::platform {

/// Readers of the bodies in docs/PROTOCOLS.md, apart from the transport so that they can be fed
/// anything.

/// The answer to an append.
Result<config_log::Offset> ParseAppendAnswer(std::string_view body);

/// The answer to a read from `from` on with at most `max` records. Records must follow each other
/// from `from` on and lie between `first` and `next`; a hole would make this entry's state differ
/// from everyone else's.
Result<ReadBatch> ParseReadAnswer(std::string_view body, config_log::Offset from, std::size_t max);

/// The body of a 410 answer.
Result<ReadBatch> ParseGapAnswer(std::string_view body, config_log::Offset from);

Result<VmList> ParseVmList(std::string_view body);
Result<VmDescription> ParseVmDescription(std::string_view body);

}  // namespace chervilspar::platform
