#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "chervilspar/http/message.h"

namespace chervilspar::http {

/// Conversions between the module's value types and the HTTP library's messages.

/// Whether a header can go on the wire as it is. A line break inside a value would start a header
/// of the sender's choosing.
bool IsSafeHeader(const Header& header);

/// The answer as it goes on the wire; drops unsafe headers and those that the transport sets.
boost::beast::http::response<boost::beast::http::string_body> ToWire(Response response,
                                                                     bool keep_alive);

/// The request as it goes on the wire to `host`.
boost::beast::http::request<boost::beast::http::string_body> ToWire(Request request,
                                                                    const std::string& host);

}  // namespace chervilspar::http
