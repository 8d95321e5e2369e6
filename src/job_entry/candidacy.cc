#include "job_entry/candidacy.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <optional>

namespace chervilspar::job_entry {

namespace {

/// A member with this many times our cores goes first. A change of owner costs about 1.3 s without
/// decisions; a smaller difference isn't worth one.
constexpr double kClearlyMore = 2.0;
/// The owner of 49 endpoints uses 0.05 to 0.08 of a core, so that this much leaves room for peaks.
constexpr double kAmpleCores = 0.25;
/// An entry with half of `kAmpleCores` waits this long. All entries of a fleet start within 0.3 s.
constexpr Duration kDelayAtHalf = std::chrono::milliseconds(600);
constexpr Duration kLongestDelay = std::chrono::milliseconds(1200);
constexpr char kBeforeCores = '@';
constexpr char kBeforeLife = '/';

std::optional<double> CoresOf(std::string_view member) {
  const std::size_t begin = member.rfind(kBeforeCores);
  const std::size_t end = member.rfind(kBeforeLife);
  if (begin == std::string_view::npos || end == std::string_view::npos || end < begin) {
    return std::nullopt;
  }
  double cores = 0;
  const char* const last = member.data() + end;
  const auto parsed = std::from_chars(member.data() + begin + 1, last, cores);
  return parsed.ec == std::errc() && parsed.ptr == last ? std::optional(cores) : std::nullopt;
}

}  // namespace

std::string Candidacy::MemberName(const std::string& entry, std::int64_t life) const {
  char text[32];
  const int length = std::snprintf(text, sizeof(text), "%.3f", this->cores);
  return entry + kBeforeCores + std::string(text, static_cast<std::size_t>(length)) + kBeforeLife +
         std::to_string(life);
}

Duration Candidacy::FirstDelay() const {
  const double missing = std::max(kAmpleCores / this->cores - 1.0, 0.0);
  const auto delay = std::chrono::duration_cast<Duration>(kDelayAtHalf * missing);
  return std::min(delay, kLongestDelay);
}

bool Candidacy::ShouldStand(const std::vector<std::string>& members) const {
  return std::none_of(members.begin(), members.end(), [this](const std::string& member) {
    const std::optional<double> theirs = CoresOf(member);
    return theirs && *theirs >= kClearlyMore * this->cores;
  });
}

}  // namespace chervilspar::job_entry
