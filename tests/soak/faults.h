#pragma once

#include <map>
#include <string>

#include "chervilspar/base/random.h"

#include "tests/soak/soak_callers.h"
#include "tests/soak/soak_fleet.h"

namespace chervilspar::soak {

/// Injects faults from outside the entries, in series and overlapping: processes that are killed,
/// paused and told to stop; connections that are cut, cut one way, reset, silenced and delayed; a
/// store that is away or loses answers; endpoints that start anew; changed rules.
class Faults {
 public:
  Faults(SoakFleet& fleet, SoakCallers& callers, std::uint64_t seed)
      : fleet(fleet),
        callers(callers),
        random(seed),
        change_random(~seed),
        entry_random(seed + 1) {}

  /// Injects until `until`; returns when the last fault has been lifted.
  boost::asio::awaitable<void> Run(TimePoint until);
  /// Lets endpoints hang, and removes the queue for some time, until `until`.
  boost::asio::awaitable<void> RunChanges(TimePoint until);
  /// Leaves odd entries among the registrations of the endpoints until `until`.
  boost::asio::awaitable<void> RunOddEntries(TimePoint until);
  /// Reports processes that end without a signal as violations, and starts them again.
  boost::asio::awaitable<void> WatchProcesses();

 private:
  enum class Kind {
    kKill,
    kKillAll,
    kPauseProcess,
    kTerminate,
    kCutStore,
    kCutStoreOneWay,
    kResetStore,
    kSilenceStore,
    kDelayStore,
    kStoreDown,
    kStoreLosesAnswers,
    kStoreRefuses,
    kCutEndpoint,
    kCutEndpointOneWay,
    kResetEndpoint,
    kSilenceEndpoint,
    kRestartEndpoint,
    kRules,
    kWithdrawal,
    kCount,
  };

  boost::asio::awaitable<void> Inject(Kind kind);
  boost::asio::awaitable<void> HangEndpoint();
  boost::asio::awaitable<void> RemoveQueue();
  boost::asio::awaitable<void> InjectIntoProcess(Kind kind);
  boost::asio::awaitable<void> InjectIntoLink(const std::string& what, std::string group);
  boost::asio::awaitable<void> InjectIntoStore(Kind kind);
  boost::asio::awaitable<void> Signal(std::size_t entry, int signal);
  boost::asio::awaitable<void> Pause(int least_ms, int most_ms);
  boost::asio::awaitable<void> PauseBy(SeededRandom& choice, int least_ms, int most_ms);
  void Tell(const std::string& what);

  SoakFleet& fleet;
  SoakCallers& callers;
  SeededRandom random;
  /// Of its own, so that changes alter nothing in the faults of a seed.
  SeededRandom change_random;
  SeededRandom entry_random;
  /// Entries that were signalled to end and have not started since, by the number of signals.
  std::map<std::size_t, int> ending;
  int under_way = 0;
  bool is_key_withdrawn = false;
};

}  // namespace chervilspar::soak
