#pragma once

#include <optional>

#include "chervilspar/http/client.h"

#include "job_entry/context.h"
#include "job_entry/owner_directory.h"

namespace chervilspar::job_entry {

/// Asks the owner: in a frame together with other questions where that is possible, otherwise in a
/// request of its own. Nothing if it doesn't answer within `timeout`.
boost::asio::awaitable<std::optional<http::Response>> AskOwner(const Context& context,
                                                               http::Client& client,
                                                               OwnerClaim owner,
                                                               http::Request request,
                                                               Duration timeout);

}  // namespace chervilspar::job_entry
