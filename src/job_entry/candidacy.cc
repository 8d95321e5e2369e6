#include "job_entry/candidacy.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <optional>

namespace chervilspar::job_entry {

namespace {

/// An entry isn't a candidate while a member has at least this many times its cores. A change of
/// owner takes about 1.3 s without decisions, so a smaller difference isn't worth one.
constexpr double kClearlyMoreFactor = 2.0;
/// The owner of 49 endpoints uses 0.05 to 0.08 of a core, so this leaves headroom for load peaks.
constexpr double kSufficientCores = 0.25;
/// The delay of an entry with half of `kSufficientCores`. All entries of a fleet start within 0.3
/// s.
constexpr Duration kDelayAtHalfSufficient = std::chrono::milliseconds(600);
constexpr Duration kMaxDelay = std::chrono::milliseconds(1200);
constexpr char kCoresSeparator = '@';
constexpr char kIncarnationSeparator = '/';

std::optional<double> CoresOf(std::string_view member) {
  const std::size_t begin = member.rfind(kCoresSeparator);
  const std::size_t end = member.rfind(kIncarnationSeparator);
  if (begin == std::string_view::npos || end == std::string_view::npos || end < begin) {
    return std::nullopt;
  }
  double cores = 0;
  const char* const last = member.data() + end;
  const auto parsed = std::from_chars(member.data() + begin + 1, last, cores);
  return parsed.ec == std::errc() && parsed.ptr == last ? std::optional(cores) : std::nullopt;
}

}  // namespace

std::string Candidacy::MemberName(const std::string& entry, std::int64_t incarnation) const {
  char text[32];
  const int length = std::snprintf(text, sizeof(text), "%.3f", this->cores);
  return entry + kCoresSeparator + std::string(text, static_cast<std::size_t>(length)) +
         kIncarnationSeparator + std::to_string(incarnation);
}

Duration Candidacy::InitialDelay() const {
  const double shortfall = std::max(kSufficientCores / this->cores - 1.0, 0.0);
  const auto delay = std::chrono::duration_cast<Duration>(kDelayAtHalfSufficient * shortfall);
  return std::min(delay, kMaxDelay);
}

bool Candidacy::ShouldRun(const std::vector<std::string>& members) const {
  return std::none_of(members.begin(), members.end(), [this](const std::string& member) {
    const std::optional<double> theirs = CoresOf(member);
    return theirs && *theirs >= kClearlyMoreFactor * this->cores;
  });
}

}  // namespace chervilspar::job_entry
