#pragma once

#include <memory>

#include <boost/asio/io_context.hpp>

#include "chervilspar/http/client.h"
#include "chervilspar/job_entry/links.h"
#include "chervilspar/job_entry/settings.h"

namespace chervilspar::job_entry {

/// Creates the links between an entry and its platform.
class LinkFactory {
 public:
  virtual ~LinkFactory() = default;
  virtual Links Make(const JobEntrySettings& settings, http::Client& client) = 0;
};

/// Runs an entry that accepts, stores and schedules jobs until SIGTERM or SIGINT. Returns the exit
/// code; once the entry serves, exits the process with it instead of returning.
int RunJobEntry(const JobEntrySettings& settings, LinkFactory& factory);

}  // namespace chervilspar::job_entry
