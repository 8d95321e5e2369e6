#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "job_entry/context.h"

namespace chervilspar::job_entry {

/// Collects messages to the same address for a few milliseconds and sends them as one batch, so
/// that a burst of some fifty messages takes one frame.
template <typename Batch>
class AddressBatcher : public std::enable_shared_from_this<AddressBatcher<Batch>> {
 public:
  using Sink = std::function<void(const std::string& address, Batch batch)>;

  /// `delay`: how long a batch is collected before `sink` receives it.
  AddressBatcher(const Context& context, Duration delay, Sink sink)
      : context(context), delay(delay), sink(std::move(sink)) {}

  /// The batch for `address` that is being collected.
  Batch& At(const std::string& address) {
    if (!this->is_flush_pending) {
      this->is_flush_pending = true;
      Spawn(this->context, this->FlushAfterDelay(this->shared_from_this()));
    }
    return this->batches[address];
  }

 private:
  boost::asio::awaitable<void> FlushAfterDelay(
      [[maybe_unused]] std::shared_ptr<AddressBatcher<Batch>> self) {
    co_await Pause(this->context, this->delay);
    this->is_flush_pending = false;
    std::map<std::string, Batch> collected = std::move(this->batches);
    this->batches.clear();
    for (auto& [address, batch] : collected) {
      this->sink(address, std::move(batch));
    }
  }

  const Context context;
  const Duration delay;
  const Sink sink;
  bool is_flush_pending = false;
  std::map<std::string, Batch> batches;
};

}  // namespace chervilspar::job_entry
