#include "tests/soak/faults.h"

#include <csignal>
#include <cstdio>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "tests/soak/odd_entries.h"

namespace chervilspar::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Between the beginnings of two faults; they last up to six seconds and overlap.
constexpr int kLeastGapMs = 200;
constexpr int kMostGapMs = 2500;
/// Longer than a lease and the pause of a successor, so that work is lost now and then.
constexpr int kMostCutMs = 9000;
constexpr int kMostPauseMs = 6000;
constexpr int kMostDownMs = 4000;
constexpr int kMostRestartMs = 2000;
constexpr int kDelayMs = 80;
constexpr int kMostHangMs = 6000;
constexpr int kMostRemovalMs = 4000;
constexpr Duration kWatchInterval = milliseconds(50);

asio::awaitable<void> Wait(asio::io_context& io, Duration duration) {
  asio::steady_timer timer(io, duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace

void Faults::Tell(const std::string& what) {
  const auto now = SystemClock().WallNow().time_since_epoch();
  std::printf("%lld %s\n",
              static_cast<long long>(std::chrono::duration_cast<milliseconds>(now).count()),
              what.c_str());
}

asio::awaitable<void> Faults::Pause(int least_ms, int most_ms) {
  return this->PauseBy(this->random, least_ms, most_ms);
}

asio::awaitable<void> Faults::PauseBy(SeededRandom& choice, int least_ms, int most_ms) {
  const auto span = static_cast<std::uint64_t>(most_ms - least_ms);
  co_await Wait(this->fleet.io, milliseconds(least_ms + static_cast<int>(choice.Below(span))));
}

asio::awaitable<void> Faults::RunChanges(TimePoint until) {
  const SystemClock clock;
  while (clock.Now() < until) {
    co_await this->PauseBy(this->change_random, kLeastGapMs, kMostGapMs);
    ++this->under_way;
    if (this->change_random.Below(3) == 0) {
      asio::co_spawn(this->fleet.io, this->RemoveQueue(), asio::detached);
    } else {
      asio::co_spawn(this->fleet.io, this->HangEndpoint(), asio::detached);
    }
  }
}

asio::awaitable<void> Faults::RunOddEntries(TimePoint until) {
  const SystemClock clock;
  const std::vector<OddEntry> odd = OddEntries();
  while (clock.Now() < until) {
    co_await this->PauseBy(this->entry_random, kLeastGapMs, kMostGapMs);
    const OddEntry& entry = odd[this->entry_random.Below(odd.size())];
    const std::size_t endpoint =
        this->entry_random.Below(static_cast<std::uint64_t>(this->fleet.sizes.endpoints));
    const bool replaces_endpoint = this->entry_random.Below(4) == 0;
    this->Tell(std::string("an odd entry among the endpoints: ") + entry.name);
    const std::string key =
        replaces_endpoint ? SoakFleet::EndpointName(endpoint) : std::string(entry.key);
    this->fleet.store.At(job_entry::Topic::kEndpoints, 0).records.push_back({key, entry.value});
    if (replaces_endpoint) {
      co_await this->PauseBy(this->entry_random, 100, kMostRestartMs);
      this->fleet.Register(endpoint);
    }
  }
}

asio::awaitable<void> Faults::WatchProcesses() {
  while (true) {
    co_await Wait(this->fleet.io, kWatchInterval);
    for (std::size_t i = 0; i < this->fleet.places.size(); ++i) {
      if (this->ending[i] == 0 && !this->fleet.IsRunning(i)) {
        this->fleet.endpoints.violations.push_back(this->fleet.places[i].name +
                                                   " has ended by itself");
        this->fleet.StartEntry(i);
      }
    }
  }
}

asio::awaitable<void> Faults::HangEndpoint() {
  const std::string name = SoakFleet::EndpointName(
      this->change_random.Below(static_cast<std::uint64_t>(this->fleet.sizes.endpoints)));
  this->Tell(name + " hangs");
  this->fleet.endpoints.endpoints[name].is_unreachable = true;
  co_await this->PauseBy(this->change_random, 300, kMostHangMs);
  this->fleet.endpoints.endpoints[name].is_unreachable = false;
  this->Tell(name + " answers again");
  --this->under_way;
}

asio::awaitable<void> Faults::RemoveQueue() {
  this->Tell("the queue is removed");
  this->fleet.SetQueue(false);
  co_await this->PauseBy(this->change_random, 500, kMostRemovalMs);
  this->fleet.SetQueue(true);
  this->Tell("the queue is back");
  --this->under_way;
}

asio::awaitable<void> Faults::Run(TimePoint until) {
  const SystemClock clock;
  while (clock.Now() < until) {
    co_await this->Pause(kLeastGapMs, kMostGapMs);
    const auto kind = static_cast<Kind>(this->random.Below(static_cast<int>(Kind::kCount)));
    ++this->under_way;
    asio::co_spawn(this->fleet.io, this->Inject(kind), asio::detached);
  }
  while (this->under_way > 0) {
    co_await this->Pause(20, 40);
  }
  for (std::size_t i = 0; i < this->fleet.places.size(); ++i) {
    this->fleet.StartEntry(i);
  }
  this->Tell("calm");
}

asio::awaitable<void> Faults::Inject(Kind kind) {
  const std::string entry = this->fleet.StoreGroup(this->random.Below(this->fleet.places.size()));
  const std::string endpoint = SoakFleet::EndpointName(
      this->random.Below(static_cast<std::uint64_t>(this->fleet.sizes.endpoints)));
  switch (kind) {
    case Kind::kKill:
    case Kind::kKillAll:
    case Kind::kPauseProcess:
    case Kind::kTerminate:
      co_await this->InjectIntoProcess(kind);
      break;
    case Kind::kCutStore:
      co_await this->InjectIntoLink("cut", entry);
      break;
    case Kind::kCutStoreOneWay:
      co_await this->InjectIntoLink("cut_back", entry);
      break;
    case Kind::kResetStore:
      co_await this->InjectIntoLink("reset", entry);
      break;
    case Kind::kSilenceStore:
      co_await this->InjectIntoLink("silence", entry);
      break;
    case Kind::kDelayStore:
      co_await this->InjectIntoLink("delay", entry);
      break;
    case Kind::kCutEndpoint:
      co_await this->InjectIntoLink("cut", endpoint);
      break;
    case Kind::kCutEndpointOneWay:
      co_await this->InjectIntoLink("cut_back", endpoint);
      break;
    case Kind::kResetEndpoint:
      co_await this->InjectIntoLink("reset", endpoint);
      break;
    case Kind::kSilenceEndpoint:
      co_await this->InjectIntoLink("silence", endpoint);
      break;
    default:
      co_await this->InjectIntoStore(kind);
      break;
  }
  --this->under_way;
}

asio::awaitable<void> Faults::Signal(std::size_t entry, int signal) {
  if (!this->fleet.IsRunning(entry)) {
    co_return;
  }
  this->Tell(this->fleet.places[entry].name + " gets signal " + std::to_string(signal));
  ++this->ending[entry];
  this->fleet.Process(entry)->Signal(signal);
  while (this->fleet.IsRunning(entry)) {
    co_await this->Pause(10, 20);
  }
  co_await this->Pause(100, kMostRestartMs);
  this->Tell(this->fleet.places[entry].name + " starts");
  this->fleet.StartEntry(entry);
  --this->ending[entry];
}

asio::awaitable<void> Faults::InjectIntoProcess(Kind kind) {
  const std::size_t entry = this->random.Below(this->fleet.places.size());
  if (kind == Kind::kKill) {
    co_await this->Signal(entry, SIGKILL);
  } else if (kind == Kind::kTerminate) {
    co_await this->Signal(entry, SIGTERM);
  } else if (kind == Kind::kKillAll) {
    for (std::size_t i = 0; i < this->fleet.places.size(); ++i) {
      ++this->under_way;
      asio::co_spawn(
          this->fleet.io,
          [](Faults& faults, std::size_t i) -> asio::awaitable<void> {
            co_await faults.Signal(i, SIGKILL);
            --faults.under_way;
          }(*this, i),
          asio::detached);
    }
  } else if (this->fleet.IsRunning(entry)) {
    this->Tell(this->fleet.places[entry].name + " is paused");
    this->fleet.Process(entry)->Signal(SIGSTOP);
    co_await this->Pause(300, kMostPauseMs);
    // It may have been killed and started anew meanwhile; then this does nothing.
    if (this->fleet.IsRunning(entry)) {
      this->fleet.Process(entry)->Signal(SIGCONT);
    }
    this->Tell(this->fleet.places[entry].name + " goes on");
  }
}

asio::awaitable<void> Faults::InjectIntoLink(const std::string& what, std::string group) {
  this->Tell(group + " " + what);
  this->fleet.Switch(what, group, kDelayMs);
  if (what == "cut" || what == "cut_back" || what == "delay") {
    co_await this->Pause(300, kMostCutMs);
    this->fleet.Switch(what == "delay" ? "delay" : "heal", group, 0);
    this->Tell(group + " " + what + " ends");
  }
}

asio::awaitable<void> Faults::InjectIntoStore(Kind kind) {
  switch (kind) {
    case Kind::kStoreDown:
      this->Tell("the store is away");
      this->fleet.store.is_down = true;
      co_await this->Pause(300, kMostDownMs);
      this->fleet.store.is_down = false;
      this->Tell("the store is back");
      break;
    case Kind::kStoreLosesAnswers:
      this->Tell("the store loses answers");
      this->fleet.store_server.link.lose_answers += 5;
      break;
    case Kind::kStoreRefuses:
      this->Tell("the store refuses appends");
      this->fleet.store_server.link.refuse_appends += 10;
      break;
    case Kind::kRestartEndpoint: {
      const std::size_t endpoint =
          this->random.Below(static_cast<std::uint64_t>(this->fleet.sizes.endpoints));
      this->Tell(SoakFleet::EndpointName(endpoint) + " starts anew");
      this->fleet.RestartEndpoint(endpoint);
      break;
    }
    case Kind::kWithdrawal:
      if (!this->is_key_withdrawn) {
        this->is_key_withdrawn = true;
        this->Tell("a key is withdrawn");
        this->fleet.Publish({SoakCallers::kKey});
        this->callers.OnWithdrawn();
      }
      break;
    default:
      this->Tell("new rules");
      this->fleet.Publish(
          this->is_key_withdrawn
              ? std::vector<std::string>{SoakCallers::kKey}
              : std::vector<std::string>{SoakCallers::kKey, SoakCallers::kWithdrawnKey});
      break;
  }
}

}  // namespace chervilspar::soak
