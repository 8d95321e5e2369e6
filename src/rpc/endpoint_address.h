#pragma once

#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "chervilspar/base/result.h"

namespace chervilspar::rpc {

/// Reads "ip:port" ("[ip]:port" for IPv6). Names are not resolved: processes are known by number.
Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(const std::string& address);

}  // namespace chervilspar::rpc
