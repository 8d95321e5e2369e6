#pragma once

#include <string_view>

#include "chervilspar/platform/log_service.h"
#include "chervilspar/platform/vm_list_service.h"

namespace chervilspar::platform {

/// Parsers of the bodies in docs/PROTOCOLS.md. They are separate from the transport, so that tests
/// can pass them any input.

/// Parses the answer to an append.
Result<config_log::Offset> ParseAppendAnswer(std::string_view body);

/// Parses the answer to a read of at most `max` records from offset `from` on. The records must be
/// consecutive from `from` on and lie between `first` and `next`; a missing record would make this
/// entry's state differ from that of all other entries.
Result<ReadBatch> ParseReadAnswer(std::string_view body, config_log::Offset from, std::size_t max);

/// Parses the body of a 410 answer to a read from offset `from` on.
Result<ReadBatch> ParseGapAnswer(std::string_view body, config_log::Offset from);

Result<VmList> ParseVmList(std::string_view body);
Result<VmDescription> ParseVmDescription(std::string_view body);

}  // namespace chervilspar::platform
