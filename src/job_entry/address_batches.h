#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "job_entry/context.h"

namespace chervilspar::job_entry {

/// Gathers what goes to the same address for a few milliseconds and hands it on in one piece: an
/// entry sends one frame where it would send fifty.
template <typename Batch>
class AddressBatches : public std::enable_shared_from_this<AddressBatches<Batch>> {
 public:
  using Sink = std::function<void(const std::string& address, Batch batch)>;

  AddressBatches(const Context& context, Duration gather, Sink sink)
      : context(context), gather(gather), sink(std::move(sink)) {}

  /// The batch for `address` that is being gathered.
  Batch& At(const std::string& address) {
    if (!this->is_gathering) {
      this->is_gathering = true;
      Spawn(this->context, this->HandOn(this->shared_from_this()));
    }
    return this->batches[address];
  }

 private:
  boost::asio::awaitable<void> HandOn(
      [[maybe_unused]] std::shared_ptr<AddressBatches<Batch>> self) {
    co_await Pause(this->context, this->gather);
    this->is_gathering = false;
    std::map<std::string, Batch> gathered = std::move(this->batches);
    this->batches.clear();
    for (auto& [address, batch] : gathered) {
      this->sink(address, std::move(batch));
    }
  }

  const Context context;
  const Duration gather;
  const Sink sink;
  bool is_gathering = false;
  std::map<std::string, Batch> batches;
};

}  // namespace chervilspar::job_entry
