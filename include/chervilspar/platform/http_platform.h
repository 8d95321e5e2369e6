#pragma once

#include <memory>

#include "chervilspar/base/socket_address.h"
#include "chervilspar/http/routes.h"
#include "chervilspar/platform/log_service.h"
#include "chervilspar/platform/vm_list_service.h"

namespace chervilspar::platform {

/// Returns a client of the log at `address`; docs/PROTOCOLS.md describes the protocol. Appends and
/// reads use separate connections, so that a long read never delays an append.
std::unique_ptr<LogService> MakeHttpLogService(const SocketAddress& address,
                                               const http::Routes& routes);

/// Returns a client of the VM list at `address`; docs/PROTOCOLS.md describes the protocol.
std::unique_ptr<VmListService> MakeHttpVmListService(const SocketAddress& address,
                                                     const http::Routes& routes);

}  // namespace chervilspar::platform
