#include "tests/prove/runner.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <rapidcheck.h>
#include <sstream>

namespace chervilspar::prove {

namespace {

/// Tries of shrinking one failure: enough to drop most of a dozen faults one by one.
constexpr int kShrinkTries = 400;
constexpr std::size_t kTimelineLines = 4000;

/// The case that runs now, for an invariant that stops the program.
std::string& RunningCase() {
  static std::string text;
  return text;
}

void PrintRunningCase(int /*signal*/) {
  std::fputs("an invariant inside the program broke in this case:\n", stderr);
  std::fputs(RunningCase().c_str(), stderr);
}

rc::Shrinkable<Case> CaseAt(std::uint64_t seed, std::uint32_t steps) {
  return AnyCase()(rc::Random(seed), static_cast<int>(steps));
}

Outcome RunCase(const Case& run, const GuardSet& guards, Coverage& coverage, Timeline::Mode mode) {
  std::ostringstream text;
  text << run;
  RunningCase() = text.str();
  World world(run, guards, coverage, mode);
  return world.Run();
}

/// The smallest failing case that shrinking finds.
Case Shrink(rc::Shrinkable<Case> failing, const GuardSet& guards) {
  int tries = 0;
  bool has_shrunk = true;
  while (has_shrunk && tries < kShrinkTries) {
    has_shrunk = false;
    auto shrinks = failing.shrinks();
    for (auto next = shrinks.next(); next && tries < kShrinkTries; next = shrinks.next()) {
      ++tries;
      Coverage unused;
      if (!RunCase(next->value(), guards, unused, Timeline::Mode::kOff).violations.empty()) {
        failing = *next;
        has_shrunk = true;
        break;
      }
    }
  }
  return failing.value();
}

void Report(std::uint64_t seed, const Case& shrunk, const GuardSet& guards) {
  Coverage unused;
  const Outcome outcome = RunCase(shrunk, guards, unused, Timeline::Mode::kOn);
  std::cout << "FAILED with --seed " << seed << " --runs 1, shrunk to " << shrunk;
  for (const std::string& violation : outcome.violations) {
    std::cout << "  violated: " << violation << "\n";
  }
  std::cout << "time line:\n";
  for (std::size_t at = 0; at < outcome.timeline.size() && at < kTimelineLines; ++at) {
    std::cout << "  " << outcome.timeline[at] << "\n";
  }
}

}  // namespace

Tally Prove(const ProveOptions& options, const GuardSet& guards, Coverage& coverage) {
  std::signal(SIGABRT, PrintRunningCase);
  Tally tally;
  for (std::uint64_t run = 0; run < options.runs; ++run) {
    const rc::Shrinkable<Case> shrinkable = CaseAt(options.seed + run, options.steps);
    const Case value = shrinkable.value();
    coverage.CountFaults(value.faults);
    const Outcome outcome = RunCase(value, guards, coverage, Timeline::Mode::kOff);
    tally.faults += value.faults.size();
    tally.events += outcome.events;
    if (outcome.violations.empty()) {
      ++tally.passed;
      continue;
    }
    ++tally.failed;
    if (tally.failed == 1) {
      Report(options.seed + run, Shrink(shrinkable, guards), guards);
    } else {
      std::cout << "FAILED with --seed " << options.seed + run << ": " << outcome.violations.front()
                << "\n";
    }
  }
  return tally;
}

std::optional<std::uint64_t> FailingSeed(const ProveOptions& options, std::uint64_t known,
                                         const GuardSet& guards) {
  Coverage unused;
  const auto fails = [&](std::uint64_t seed) {
    const Case value = CaseAt(seed, options.steps).value();
    return !RunCase(value, guards, unused, Timeline::Mode::kOff).violations.empty();
  };
  if (fails(known)) {
    return known;
  }
  for (std::uint64_t run = 0; run < options.runs; ++run) {
    if (fails(options.seed + run)) {
      return options.seed + run;
    }
  }
  return std::nullopt;
}

}  // namespace chervilspar::prove
