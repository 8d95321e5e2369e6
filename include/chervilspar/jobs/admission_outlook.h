#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/jobs/job.h"

namespace chervilspar::jobs {

/// The capacity of one pool for batch work, in thousandths of a core.
struct PoolOutlook {
  ServiceId pool;
  /// Of the endpoints that take work now.
  double cpu = 0;
  /// Including the VMs that the pool can still get: those that other pools don't need for on-time
  /// work within shares, and those that are off or on their way.
  double reachable_cpu = 0;

  friend bool operator==(const PoolOutlook&, const PoolOutlook&) = default;
};

/// The work of one account in one queue. Work is in thousandths of a core times milliseconds.
struct AccountOutlook {
  TeamId team;
  std::string queue;
  /// The cpu that the account can get in the queue's pool when it is served at its share, in
  /// thousandths of a core.
  double due_cpu = 0;
  /// All remaining work of its batch jobs.
  double open_work = 0;
  /// The part of `open_work` that is on time and served before new jobs of the queue.
  double on_time_work = 0;
  /// Work of refused jobs for which room is promised.
  double promised_work = 0;
  /// Milliseconds until the last of these jobs returns.
  double promised_until_ms = 0;
  /// The account requests more than it is due while not all requests fit the capacity.
  bool is_beyond_share = false;

  friend bool operator==(const AccountOutlook&, const AccountOutlook&) = default;
};

/// A refused job that is admitted when its caller returns.
struct Promise {
  JobId job;
  TeamId team;
  std::string queue;
  /// In thousandths of a core times milliseconds.
  double work = 0;
  /// Milliseconds until its caller returns; negative after that.
  double due_in_ms = 0;

  friend bool operator==(const Promise&, const Promise&) = default;
};

/// What new jobs can expect, as computed by the owner. Accounts that may use what they like are not
/// listed.
struct AdmissionOutlook {
  /// The fencing token of the owner.
  std::uint64_t token = 0;
  /// The age of the outlook when it was sent, in milliseconds.
  double age_ms = 0;
  /// The number of entries that asked in the last second.
  std::uint32_t entries = 1;
  /// The time after which an entry may ask again, in milliseconds.
  double ask_again_ms = 0;
  /// The requests of all accounts exceed the capacity.
  bool is_full = false;
  std::vector<PoolOutlook> pools;
  std::vector<AccountOutlook> accounts;
  /// The jobs whose callers return about now.
  std::vector<Promise> promises;

  friend bool operator==(const AdmissionOutlook&, const AdmissionOutlook&) = default;
};

/// What an entry tells the owner when it asks for the outlook.
struct AdmissionQuestion {
  std::string entry;
  /// The jobs that it has refused since its last question.
  std::vector<Promise> refused;

  friend bool operator==(const AdmissionQuestion&, const AdmissionQuestion&) = default;
};

/// The remaining work of a new job, in thousandths of a core times milliseconds.
double WorkOf(const Job& job);

}  // namespace chervilspar::jobs
