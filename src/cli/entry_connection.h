#pragma once

#include <memory>
#include <string>
#include <vector>

#include "chervilspar/base/result.h"
#include "chervilspar/base/time.h"
#include "chervilspar/http/client.h"
#include "chervilspar/http/message.h"

namespace chervilspar::cli {

/// How commands talk to entries; tests put answers of their own behind it.
class EntryConnection {
 public:
  virtual ~EntryConnection() = default;
  /// Sends a request to the entry at `address` ("ip:port") and waits for the whole answer.
  virtual http::Exchange Call(const std::string& address, const http::Request& request,
                              Duration timeout) = 0;
};

/// Over HTTP; `routes` are "FROM=TO" as for entries.
Result<std::unique_ptr<EntryConnection>> MakeHttpConnection(const std::vector<std::string>& routes);

}  // namespace chervilspar::cli
