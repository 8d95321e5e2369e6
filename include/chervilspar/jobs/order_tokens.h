#pragma once

#include <cstdint>

namespace chervilspar::jobs {

/// Issues the tokens of an owner's orders to endpoints.
///
/// An endpoint refuses an order with a lower token than it has seen. A token is higher than all of
/// earlier terms and all that were issued before in its term, so that an order with a new one voids
/// every order that was given before, however late those arrive.
class OrderTokens {
 public:
  /// Each part of a term issues from a range of its own; the later part's tokens are higher.
  enum class Part { kInterimLeases, kScheduler };

  OrderTokens(std::uint64_t term_token, Part part)
      : next((term_token << kNumberBits) +
             (part == Part::kScheduler ? kFirstSchedulerNumber : std::uint64_t{0})) {}

  std::uint64_t Next() { return this->next++; }

 private:
  static constexpr unsigned kNumberBits = 30;
  static constexpr std::uint64_t kFirstSchedulerNumber = std::uint64_t{1} << 20U;

  std::uint64_t next;
};

}  // namespace chervilspar::jobs
