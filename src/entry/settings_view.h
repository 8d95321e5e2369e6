#pragma once

#include <string>
#include <vector>

#include "chervilspar/base/assert.h"
#include "chervilspar/base/socket_address.h"
#include "chervilspar/entry/settings.h"
#include "chervilspar/http/routes.h"

/// Settings in the types of the modules that use them. `CheckSettings` has made sure of their form.
namespace chervilspar::entry {

inline SocketAddress CheckedAddress(const std::string& text) {
  Result<SocketAddress> address = ParseSocketAddress(text);
  CHERVILSPAR_ASSERT(address.HasValue());
  return std::move(address).Value();
}

inline http::Routes RoutesOf(const EntrySettings& settings) {
  std::vector<std::string> texts;
  for (const Route& route : settings.routes) {
    texts.push_back(route.from + "=" + route.to);
  }
  Result<http::Routes> routes = http::Routes::Parse(texts);
  CHERVILSPAR_ASSERT(routes.HasValue());
  return std::move(routes).Value();
}

}  // namespace chervilspar::entry
