#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chervilspar/base/result.h"
#include "chervilspar/inventory/inventory.h"

namespace chervilspar::inventory {

/// The only `schema_version` that this program reads and writes.
constexpr std::int64_t kSchemaVersion = 1;

/// Largest document read, in bytes: 8,800 VMs need about 2 MB, the rest is headroom.
constexpr std::size_t kMaxDocumentBytes = 16U << 20U;

/// Most faults that are reported at once, so that a document of the wrong kind gives a readable
/// answer.
constexpr std::size_t kMaxFaults = 100;

/// A parsed document, or everything that is wrong with it.
struct ParseOutcome {
  /// Absent when there is any fault.
  std::optional<Inventory> inventory;
  /// Each names its JSON pointer in `field`, and the value and what would be right in `message`.
  std::vector<Reason> faults;

  friend bool operator==(const ParseOutcome&, const ParseOutcome&) = default;
};

/// Reads a document and reports all faults at once: broken JSON, duplicate or unknown fields,
/// missing fields, wrong types, units and ranges, duplicate ids, a VM in two pools and references
/// to objects that the document doesn't hold.
ParseOutcome ParseAll(std::string_view text);

/// Reads a document; the reason is the first fault.
Result<Inventory> Parse(std::string_view text);

/// How a serialised document is laid out.
enum class Layout { kCompact, kIndented };

/// Writes a document that `Parse` reads back to an equal inventory.
std::string Serialize(const Inventory& inventory, Layout layout = Layout::kCompact);

/// Reads a span of time with its unit, such as "500ms", "90s", "2m", "12h", "49d" or "7w".
Result<Duration> ParseDuration(std::string_view text);

/// Writes a span of time with the largest unit that divides it.
std::string FormatDuration(Duration duration);

/// Reads a point in time in ISO 8601 with zone UTC, such as "2027-03-31T18:00:00Z".
Result<WallTime> ParseDate(std::string_view text);

/// Writes a point in time as `ParseDate` reads it; fractions of a second are cut.
std::string FormatDate(WallTime time);

/// An IPv4 or IPv6 endpoint "10.0.0.1:8080" or "[fd00::1]:8080"; the reason says what is wrong.
Status CheckAddress(std::string_view address);

}  // namespace chervilspar::inventory
