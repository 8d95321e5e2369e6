#pragma once

#include <memory>

#include <boost/asio/io_context.hpp>

#include "chervilspar/http/client.h"
#include "chervilspar/job_entry/links.h"
#include "chervilspar/job_entry/settings.h"

namespace chervilspar::job_entry {

/// Makes the links to the platform that an entry runs on.
class LinkFactory {
 public:
  virtual ~LinkFactory() = default;
  virtual Links Make(const JobEntrySettings& settings, http::Client& client) = 0;
};

/// Runs an entry that takes, stores and schedules jobs, until SIGTERM; gives the exit code.
int RunJobEntry(const JobEntrySettings& settings, LinkFactory& factory);

}  // namespace chervilspar::job_entry
