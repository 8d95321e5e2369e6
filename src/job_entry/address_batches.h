#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "job_entry/context.h"

namespace chervilspar::job_entry {

/// Collects messages to the same address and sends them as one batch, as a frame costs as much as
/// several messages. Each message says how long it may wait; the first that can't wait any longer
/// takes along all others to its address.
template <typename Batch>
class AddressBatcher : public std::enable_shared_from_this<AddressBatcher<Batch>> {
 public:
  using Sink = std::function<void(const std::string& address, Batch batch)>;

  AddressBatcher(const Context& context, Sink sink)
      : context(context), sink(std::move(sink)), timer(context.io) {}

  /// The batch for `address` that is being collected; it is sent after `delay` at the latest.
  Batch& At(const std::string& address, Duration delay) {
    const TimePoint due = this->context.Now() + delay;
    const auto [place, is_new] = this->collected.try_emplace(address, Collected{{}, due});
    place->second.due = std::min(place->second.due, due);
    if (due < this->next_flush) {
      this->FlushAt(due);
    }
    return place->second.batch;
  }

 private:
  struct Collected {
    Batch batch;
    TimePoint due{};
  };

  void FlushAt(TimePoint due) {
    this->next_flush = due;
    this->timer.expires_after(std::max<Duration>(due - this->context.Now(), Duration::zero()));
    this->timer.async_wait(
        [self = this->shared_from_this()](const boost::system::error_code& error) {
          if (!error) {
            self->Flush();
          }
        });
  }

  void Flush() {
    const TimePoint now = this->context.Now();
    std::map<std::string, Batch> due;
    TimePoint next = TimePoint::max();
    for (auto place = this->collected.begin(); place != this->collected.end();) {
      if (place->second.due > now) {
        next = std::min(next, place->second.due);
        ++place;
        continue;
      }
      due.emplace(place->first, std::move(place->second.batch));
      place = this->collected.erase(place);
    }
    this->next_flush = TimePoint::max();
    if (next < TimePoint::max()) {
      this->FlushAt(next);
    }
    for (auto& [address, batch] : due) {
      this->sink(address, std::move(batch));
    }
  }

  const Context context;
  const Sink sink;
  boost::asio::steady_timer timer;
  TimePoint next_flush = TimePoint::max();
  std::map<std::string, Collected> collected;
};

}  // namespace chervilspar::job_entry
