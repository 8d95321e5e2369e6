#include "bench/fleet/load_loop.h"

#include <algorithm>
#include <future>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <sys/resource.h>

#include "chervilspar/http/client.h"
#include "chervilspar/http/io_threads.h"

namespace chervilspar::scenario {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kThreads = 2;
constexpr Duration kTimeout = std::chrono::seconds(10);
constexpr unsigned kOk = 200;

/// What one connection saw.
struct Share {
  std::vector<Duration> latencies;
  std::uint64_t failed = 0;
};

Duration OwnCpu() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto span = [](const timeval& time) {
    return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec);
  };
  return span(usage.ru_utime) + span(usage.ru_stime);
}

asio::awaitable<void> Pace(TimePoint due) {
  const Duration left = due - SystemClock().Now();
  if (left > Duration::zero()) {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(left);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<Share> Loop(const LoadSettings& settings, http::Client& client, std::uint32_t index,
                            TimePoint start) {
  const SystemClock clock;
  const TimePoint end = start + settings.span;
  Share share;
  std::uint64_t number = index;
  const SocketAddress& address = settings.addresses[index % settings.addresses.size()];
  while (clock.Now() < end) {
    if (settings.rate) {
      const auto offset = static_cast<double>(number) / *settings.rate;
      co_await Pace(start +
                    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(offset)));
    }
    http::Request request = settings.make(number);
    const TimePoint sent = clock.Now();
    const http::Exchange exchange =
        co_await client.Send(address, std::move(request), kTimeout, nullptr);
    const bool is_good = exchange.response && exchange.response->status == kOk;
    if (is_good) {
      share.latencies.push_back(clock.Now() - sent);
    } else {
      ++share.failed;
    }
    number += settings.connections;
  }
  co_return share;
}

Duration Quantile(const std::vector<Duration>& sorted, double part) {
  if (sorted.empty()) {
    return Duration::zero();
  }
  const auto index = static_cast<std::size_t>(part * static_cast<double>(sorted.size()));
  return sorted[std::min(index, sorted.size() - 1)];
}

}  // namespace

LoadResult RunLoad(const LoadSettings& settings) {
  http::ClientLimits limits;
  limits.connections_per_address = settings.connections;
  http::IoThreads threads(kThreads);
  http::Client client(limits, http::Routes{});
  const Duration cpu_before = OwnCpu();
  const TimePoint start = SystemClock().Now();
  std::vector<std::future<Share>> running;
  for (std::uint32_t i = 0; i < settings.connections; ++i) {
    running.push_back(asio::co_spawn(threads.Context(i % kThreads),
                                     Loop(settings, client, i, start), asio::use_future));
  }
  LoadResult result;
  std::vector<Duration> all;
  for (std::future<Share>& part : running) {
    const Share share = part.get();
    all.insert(all.end(), share.latencies.begin(), share.latencies.end());
    result.failed += share.failed;
  }
  result.seconds = std::chrono::duration<double>(SystemClock().Now() - start).count();
  result.own_cpu = OwnCpu() - cpu_before;
  result.answered = all.size();
  std::sort(all.begin(), all.end());
  result.p50 = Quantile(all, 0.5);
  result.p99 = Quantile(all, 0.99);
  threads.Stop();
  return result;
}

}  // namespace chervilspar::scenario
