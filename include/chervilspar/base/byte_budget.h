#pragma once

#include <atomic>
#include <cstddef>

namespace chervilspar {

/// One bound on the bytes that many connections hold together. Safe to use from any thread.
class ByteBudget {
 public:
  /// The part of one connection, given back when it is destroyed. Used on one thread at a time.
  class Share {
   public:
    explicit Share(ByteBudget& budget) : budget(budget) {}
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;
    ~Share() { this->budget.Give(this->bytes); }

    /// Makes the part `bytes` large; false, and no change, if the budget has no room for that.
    /// Always succeeds for a part that does not grow.
    bool Resize(std::size_t bytes);
    std::size_t Bytes() const { return this->bytes; }

   private:
    ByteBudget& budget;
    std::size_t bytes = 0;
  };

  explicit ByteBudget(std::size_t limit) : limit(limit) {}
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;

  std::size_t Used() const { return this->used; }

 private:
  bool Take(std::size_t bytes);
  void Give(std::size_t bytes) { this->used -= bytes; }

  const std::size_t limit;
  std::atomic<std::size_t> used = 0;
};

}  // namespace chervilspar
