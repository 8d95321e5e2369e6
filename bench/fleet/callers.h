#pragma once

#include <condition_variable>
#include <mutex>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "chervilspar/base/random.h"
#include "chervilspar/http/client.h"
#include "chervilspar/http/io_threads.h"

#include "bench/fleet/balancer.h"
#include "bench/fleet/call_record.h"
#include "bench/fleet/fleet.h"

namespace chervilspar::scenario {

/// Callers of all client accounts. Each plan runs in the background; every attempt leaves a record.
class Callers {
 public:
  explicit Callers(Fleet& fleet);
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;
  ~Callers();

  void Start(const CallPlan& plan);
  /// One request, of which nothing is recorded; done when it is answered with `status`.
  Status Probe(const TeamId& team, const ServiceId& service, const EntryId& entry, unsigned status);
  /// Blocks until all plans have ended; false after `timeout`.
  bool WaitUntilDone(Duration timeout);
  std::vector<CallRecord> Records() const;

 private:
  struct Call {
    CallPlan plan;
    RequestId request;
    std::string body;
    std::string key;
  };

  boost::asio::awaitable<void> RunPlan(CallPlan plan);
  boost::asio::awaitable<void> RunCall(Call call);
  boost::asio::awaitable<http::Exchange> Send(const Call& call, EntryId& entry);
  Call MakeCall(const CallPlan& plan);
  static http::Request MakeRequest(const Call& call);
  static void Judge(const Call& call, const http::Exchange& exchange, CallRecord& record);
  void Keep(CallRecord record);
  void Began();
  void Ended();

  Fleet& fleet;
  Balancer balancer;
  /// Ends before the threads, whose io_contexts its idle connections belong to.
  std::unique_ptr<http::Client> client;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::vector<CallRecord> records;
  std::size_t running = 0;
  SeededRandom random;
  http::IoThreads threads;
};

/// A UUIDv7 of the present time.
std::string MakeRequestId(Random& random);

}  // namespace chervilspar::scenario
