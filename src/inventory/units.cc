#include <array>
#include <charconv>
#include <cstdio>
#include <string>

#include <boost/asio/ip/address.hpp>

#include "chervilspar/inventory/document.h"

namespace chervilspar::inventory {

namespace {

struct DurationUnit {
  std::string_view name;
  std::int64_t microseconds;
};

/// From the largest to the smallest, so that formatting finds the largest that divides.
constexpr std::array<DurationUnit, 7> kDurationUnits = {{
    {"w", 7LL * 24 * 3600 * 1'000'000},
    {"d", 24LL * 3600 * 1'000'000},
    {"h", 3600LL * 1'000'000},
    {"m", 60LL * 1'000'000},
    {"s", 1'000'000},
    {"ms", 1'000},
    {"us", 1},
}};

/// A thousand years: far above every setting, and far below overflow.
constexpr std::int64_t kMaxMicroseconds = 1000LL * 365 * 24 * 3600 * 1'000'000;

Reason Fault(std::string message) {
  return Reason{ErrorCode::kInvalidArgument, "", std::move(message)};
}

std::string Quoted(std::string_view text) { return '"' + std::string(text) + '"'; }

/// Reads exactly `width` digits at `position` and moves on.
std::optional<int> ReadDigits(std::string_view text, std::size_t& position, std::size_t width) {
  if (position + width > text.size()) {
    return std::nullopt;
  }
  int value = 0;
  for (std::size_t i = 0; i < width; ++i) {
    const char c = text[position + i];
    if (c < '0' || c > '9') {
      return std::nullopt;
    }
    value = value * 10 + (c - '0');
  }
  position += width;
  return value;
}

}  // namespace

Result<Duration> ParseDuration(std::string_view text) {
  std::int64_t amount = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, amount);
  const std::string_view unit(rest, static_cast<std::size_t>(end - rest));
  for (const DurationUnit& known : kDurationUnits) {
    if (error != std::errc{} || unit != known.name || amount < 0) {
      continue;
    }
    if (amount > kMaxMicroseconds / known.microseconds) {
      return Fault(Quoted(text) + " is longer than a thousand years");
    }
    return Duration(amount * known.microseconds);
  }
  return Fault(Quoted(text) +
               " is no span of time; write a whole number and one of us, ms, s, m, h, d, w, such "
               "as \"90s\"");
}

std::string FormatDuration(Duration duration) {
  if (duration == Duration::zero()) {
    return "0s";
  }
  for (const DurationUnit& unit : kDurationUnits) {
    if (duration.count() % unit.microseconds == 0) {
      return std::to_string(duration.count() / unit.microseconds) + std::string(unit.name);
    }
  }
  return std::to_string(duration.count()) + "us";
}

Result<WallTime> ParseDate(std::string_view text) {
  const Reason fault = Fault(Quoted(text) +
                             " is no date in ISO 8601 with zone UTC, such as "
                             "\"2027-03-31T18:00:00Z\"");
  constexpr std::string_view kPattern = "dddd-dd-ddTdd:dd:ddZ";
  constexpr std::array<std::size_t, 6> kWidths = {4, 2, 2, 2, 2, 2};
  if (text.size() != kPattern.size()) {
    return fault;
  }
  std::array<int, 6> parts{};
  std::size_t position = 0;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const std::optional<int> part = ReadDigits(text, position, kWidths[i]);
    if (!part || text[position] != kPattern[position]) {
      return fault;
    }
    parts[i] = *part;
    ++position;
  }
  using std::chrono::day;
  using std::chrono::month;
  using std::chrono::year;
  const std::chrono::year_month_day date(year(parts[0]), month(static_cast<unsigned>(parts[1])),
                                         day(static_cast<unsigned>(parts[2])));
  if (!date.ok() || parts[3] > 23 || parts[4] > 59 || parts[5] > 59) {
    return fault;
  }
  const std::chrono::sys_days days = date;
  const auto time = days + std::chrono::hours(parts[3]) + std::chrono::minutes(parts[4]) +
                    std::chrono::seconds(parts[5]);
  return std::chrono::time_point_cast<Duration>(time);
}

std::string FormatDate(WallTime time) {
  const auto days = std::chrono::floor<std::chrono::days>(time);
  const std::chrono::year_month_day date(days);
  const std::chrono::hh_mm_ss clock(std::chrono::floor<std::chrono::seconds>(time - days));
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%04d-%02u-%02uT%02d:%02d:%02dZ",
                static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
                static_cast<unsigned>(date.day()), static_cast<int>(clock.hours().count()),
                static_cast<int>(clock.minutes().count()),
                static_cast<int>(clock.seconds().count()));
  return text.data();
}

Status CheckAddress(std::string_view address) {
  const Reason fault =
      Fault(Quoted(address) + " is no endpoint; write \"10.0.0.1:8080\" or \"[fd00::1]:8080\"");
  const std::size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) {
    return fault;
  }
  std::string_view host = address.substr(0, colon);
  const std::string_view port_text = address.substr(colon + 1);
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(std::string(host), error);
  if (error || ip.is_v6() != bracketed) {
    return fault;
  }
  std::uint32_t port = 0;
  const char* end = port_text.data() + port_text.size();
  const auto [rest, parse_error] = std::from_chars(port_text.data(), end, port);
  if (parse_error != std::errc{} || rest != end || port == 0 || port > 65535) {
    return Fault(Quoted(address) + " has no port between 1 and 65535");
  }
  return Done{};
}

}  // namespace chervilspar::inventory
