#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "chervilspar/base/random.h"
#include "chervilspar/http/client.h"

#include "tests/soak/soak_fleet.h"

namespace chervilspar::soak {

/// What a caller knows of its job.
struct CallerJob {
  /// An answer said that it is stored.
  bool is_accepted = false;
  /// Each try was answered that it has not run and won't.
  bool is_refused = false;
  bool is_cancelled = false;
  bool is_cancel_accepted = false;
  bool is_shown_complete = false;
  std::uint32_t occurrences = 1;
  TimePoint accepted_at{};
};

/// Callers that hand in jobs, some twice, cancel some, ask for their state, and check what they are
/// told against what the endpoints ran.
class SoakCallers {
 public:
  SoakCallers(SoakFleet& fleet, std::uint64_t seed);

  /// Hands in jobs until `until`.
  boost::asio::awaitable<void> Load(TimePoint until);
  /// Asks until `until` how many jobs wait, and compares the answers with what the endpoints began.
  boost::asio::awaitable<void> WatchCounts(TimePoint until);
  /// From now on answers "stored" for calls with the withdrawn key are violations, after the time
  /// that a withdrawal may take.
  void OnWithdrawn();
  /// Asks for each job that was accepted; true when nothing of them is left to do.
  boost::asio::awaitable<bool> AreSettled();
  /// What must hold once all is calm again.
  void CheckEnd();

  const std::map<jobs::JobId, CallerJob>& Jobs() const { return this->all; }

  static constexpr const char* kKey = "key-that-stays";
  static constexpr const char* kWithdrawnKey = "key-that-goes";

 private:
  boost::asio::awaitable<void> HandIn(jobs::JobId id, std::string body, bool has_withdrawn_key);
  boost::asio::awaitable<void> CancelSoon(jobs::JobId id);
  boost::asio::awaitable<http::Exchange> Call(const char* method, jobs::JobId id, std::string body,
                                              std::string key);
  boost::asio::awaitable<http::Exchange> Send(const char* method, const std::string& target,
                                              std::string body, std::string key,
                                              SeededRandom& choice);
  /// Jobs accepted before `time` of which no endpoint has begun a task.
  std::size_t WaitingSince(TimePoint time) const;
  boost::asio::awaitable<void> Pause(Duration span);
  /// Makes some jobs repeat, at intervals at which occurrences overlap.
  void AddRepeats(boost::json::object& body, CallerJob& job);
  void CheckDone(const jobs::JobId& id, std::uint32_t occurrence);
  void Violate(const jobs::JobId& id, const std::string& what);

  SoakFleet& fleet;
  SeededRandom random;
  /// Of its own, so that the questions change nothing in what a seed hands in.
  SeededRandom count_random;
  /// The same for repeats.
  SeededRandom repeat_random;
  http::Client client;
  std::map<jobs::JobId, CallerJob> all;
  std::optional<TimePoint> withdrawn;
};

}  // namespace chervilspar::soak
