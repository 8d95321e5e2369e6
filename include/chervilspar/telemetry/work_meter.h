#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "chervilspar/base/time.h"
#include "chervilspar/telemetry/metrics.h"

namespace chervilspar::telemetry {

/// The parts of an owner's work.
enum class WorkPart {
  /// Everything that isn't measured as one of the other parts.
  kOther,
  /// Rounds of decisions on jobs.
  kDecide,
  /// Encoding of progress and confirming what was stored.
  kRecord,
  /// Lease renewals and their answers.
  kRenew,
  /// Answers to starts, stops and throttle orders.
  kOrder,
  /// Frames to and from the entries that carry orders.
  kCarry,
  /// Submissions and cancellations that were read.
  kReadJobs,
  /// Registrations of endpoints that were read.
  kReadEndpoints,
  /// Rounds of decisions on VMs, and the list of VMs.
  kVms,
  /// Answers to entries that decide on submissions.
  kOutlook,
  /// Log lines on decisions.
  kLog,
  /// Questions of other entries about jobs, without their HTTP exchange.
  kQuestions,
};

const char* ToString(WorkPart part);

/// Measures how long each part of the work keeps the process's only thread. An owner that falls
/// behind shows in no other figure which part takes the time.
///
/// Parts nest: while an inner part is measured, the outer one is not.
class WorkMeter {
 public:
  /// Both must outlive this object.
  WorkMeter(const Clock& clock, MetricsRegistry& metrics) : clock(clock), metrics(metrics) {}
  WorkMeter(const WorkMeter&) = delete;
  WorkMeter& operator=(const WorkMeter&) = delete;

  /// Measures until it goes out of scope. Must not live across a suspension of a coroutine.
  class [[nodiscard]] Span {
   public:
    Span(WorkMeter& meter, WorkPart part) : meter(meter), outer(meter.Switch(part)) {
      ++meter.amounts[Index(part)].calls;
    }
    Span(const Span&) = delete;
    Span& operator=(const Span&) = delete;
    ~Span() { this->meter.Switch(this->outer); }

   private:
    WorkMeter& meter;
    const WorkPart outer;
  };

  struct Amount {
    WorkPart part = WorkPart::kOther;
    std::uint64_t calls = 0;
    Duration time{};
    /// Without an interruption by an inner part.
    Duration longest{};

    friend bool operator==(const Amount&, const Amount&) = default;
  };

  /// What was measured since the last call, the largest first; adds it to the metrics. The part
  /// `kOther` is never listed.
  std::vector<Amount> Take();

 private:
  static constexpr std::size_t kParts = static_cast<std::size_t>(WorkPart::kQuestions) + 1;
  static std::size_t Index(WorkPart part) { return static_cast<std::size_t>(part); }
  /// Counts the time since the last switch for the current part; returns that part.
  WorkPart Switch(WorkPart next);

  const Clock& clock;
  MetricsRegistry& metrics;
  WorkPart current = WorkPart::kOther;
  TimePoint since{};
  std::array<Amount, kParts> amounts{};
};

}  // namespace chervilspar::telemetry
