#pragma once

#include <memory>

#include "chervilspar/base/socket_address.h"
#include "chervilspar/http/routes.h"
#include "chervilspar/platform/log_service.h"
#include "chervilspar/platform/vm_list_service.h"

namespace chervilspar::platform {

/// The log at an address, after docs/PROTOCOLS.md. Appends and reads use connections of their own,
/// so that a long read never holds up an append.
std::unique_ptr<LogService> MakeHttpLogService(const SocketAddress& address,
                                               const http::Routes& routes);

/// The VM list at an address, after docs/PROTOCOLS.md.
std::unique_ptr<VmListService> MakeHttpVmListService(const SocketAddress& address,
                                                     const http::Routes& routes);

}  // namespace chervilspar::platform
