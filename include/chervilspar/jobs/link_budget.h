#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "chervilspar/base/time.h"
#include "chervilspar/jobs/scheduler_options.h"

namespace chervilspar::jobs {

/// Bytes that the owner has handed to its link, by class.
struct LinkTraffic {
  /// Renewals, stops and throttle orders, which are never held back.
  std::int64_t urgent = 0;
  /// Starts, as their actual size.
  std::int64_t starts = 0;
  /// The actual size of the starts minus the size that was assumed when they were placed. Negative
  /// if several starts shared a payload.
  std::int64_t start_difference = 0;
  /// Records of progress.
  std::int64_t progress = 0;

  friend bool operator==(const LinkTraffic&, const LinkTraffic&) = default;
};

/// The starts that an owner's link carries. The load: queues that demand more starts than a link of
/// 2 Mbit/s carries.
///
/// Orders wait in socket buffers of several seconds of such a link. Whatever is written in excess
/// delays lease renewals and joins by as much, so the limit applies to what is handed to the link,
/// not to what has left it. A start reserves its bytes when it is placed and keeps them reserved
/// until its record is stored and it is sent; otherwise the placements of a slow store would be
/// sent together. At each time, the bytes that are reserved and those that were sent within the
/// window stay below half of the link.
class LinkBudget {
 public:
  /// Starts that may use the part of the allowance that is kept from other starts.
  enum class Precedence { kNormal, kHigh };

  /// The period in which unused allowance accumulates.
  static constexpr Duration kWindow = std::chrono::milliseconds(200);

  /// `link_rate`: in megabits per second.
  explicit LinkBudget(double link_rate);

  /// The bytes that a start takes by itself, including the record of its progress.
  static std::int64_t StartBytes(std::size_t payload_bytes, std::size_t checkpoint_bytes);
  /// Bytes that starts may take in any window, half of the link.
  std::int64_t Bound() const { return this->bound; }

  /// The bytes of starts that may be placed now.
  std::int64_t Allowance(Precedence precedence, TimePoint now) const;
  /// Whether starts of this size may be placed now. Starts that are larger than the whole allowance
  /// may when no other bytes are reserved or were sent within the window.
  bool Admits(std::int64_t bytes, Precedence precedence, TimePoint now) const;
  void Reserve(std::int64_t bytes) { this->reserved += bytes; }
  void Release(std::int64_t bytes) { this->reserved -= bytes; }
  /// A start of this size was sent.
  void OnStartSent(std::int64_t bytes, TimePoint now);
  /// `traffic`: what the link was handed since the last call.
  void OnTraffic(const LinkTraffic& traffic, TimePoint now);
  /// The traffic of the last window. `starts` are the sizes that count against the allowance.
  LinkTraffic Recent(TimePoint now) const;

  /// The cpu of the starts that the link carries per second, in cores, if each takes these bytes
  /// and this cpu on average.
  double CoresPerSecond(double bytes_per_start, double cores_per_start) const;

 private:
  /// Bytes sent at one time.
  struct Sent {
    TimePoint at;
    LinkTraffic traffic;
    /// Of the starts, the bytes whose actual size isn't known yet.
    std::int64_t unmeasured = 0;
  };

  Sent& Append(const LinkTraffic& traffic, TimePoint now);
  /// Starts of `expected` bytes took `saved` bytes less. They are the oldest that aren't measured,
  /// or later ones, so the sum of the window is at no time below the actual bytes.
  void Measure(std::int64_t expected, std::int64_t saved, TimePoint now);

  /// What the link carries in one window.
  std::int64_t capacity = 0;
  std::int64_t bound = 0;
  std::int64_t reserved = 0;
  std::deque<Sent> sent;
  TimePoint last_traffic{};
};

/// The interval between two renewals at one endpoint that keeps the renewals at all of `endpoints`
/// within a quarter of the link, but no longer than a lease that survives two lost renewals allows.
/// Zero if the link isn't budgeted. `renewal_bytes`: what one renewal takes. `lost_renewal`: the
/// time from sending a renewal that gets no answer to sending the next.
Duration RenewalInterval(const SchedulerOptions& options, std::size_t endpoints,
                         std::int64_t renewal_bytes, Duration lost_renewal);

}  // namespace chervilspar::jobs
