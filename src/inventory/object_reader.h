#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

#include "chervilspar/base/time.h"
#include "chervilspar/inventory/document.h"

#include "inventory/faults.h"

namespace chervilspar::inventory {

/// The values that a whole number may take.
struct UintRange {
  std::uint64_t min = 0;
  std::uint64_t max = 0;
};

/// Reads the fields of one JSON object and reports, with its JSON pointer, each that is missing, of
/// the wrong type or out of range. A field that was never asked for is unknown; `Finish` reports
/// it.
class ObjectReader {
 public:
  ObjectReader(const boost::json::value& value, std::string pointer, Faults& faults);

  /// A name of 1 to 64 letters, digits, '.', '_' or '-'. Empty after a fault.
  std::string Name(std::string_view field);
  std::optional<std::string> OptionalName(std::string_view field);
  std::vector<std::string> OptionalNames(std::string_view field);
  std::string Address(std::string_view field);
  std::uint32_t Uint(std::string_view field, UintRange range);
  std::uint32_t UintOr(std::string_view field, std::uint32_t otherwise, UintRange range);
  /// A size such as "128GB" or "512MB", in MB; 1 GB is 1024 MB.
  std::uint32_t MemoryMb(std::string_view field, UintRange range);
  std::uint32_t MemoryMbOr(std::string_view field, std::uint32_t otherwise, UintRange range);
  double NumberOr(std::string_view field, double otherwise, double min, double max);
  bool BoolOr(std::string_view field, bool otherwise);
  Duration DurationOr(std::string_view field, Duration otherwise, Duration min, Duration max);
  WallTime Date(std::string_view field);

  /// The field, or null when it is absent or JSON null.
  const boost::json::value* Find(std::string_view field);
  /// The elements of an array field; none when it is absent.
  const boost::json::array* FindArray(std::string_view field);

  /// Reports the fields that nobody asked for.
  void Finish();

  std::string PointerTo(std::string_view field) const { return Child(this->pointer, field); }
  Faults& Sink() { return this->faults; }

 private:
  const boost::json::value* Require(std::string_view field);
  std::optional<std::string> ReadText(const boost::json::value& value, std::string_view field);
  std::string CheckName(const boost::json::value& value, const std::string& at);
  std::uint32_t CheckUint(const boost::json::value& value, std::string_view field, UintRange range);
  std::uint32_t CheckMemory(const boost::json::value& value, std::string_view field,
                            UintRange range);

  const boost::json::object* object = nullptr;
  std::string pointer;
  Faults& faults;
  std::set<std::string, std::less<>> known;
};

/// A short form of a value for messages.
std::string Shown(const boost::json::value& value);

/// Writes MB as "128GB" where it divides, else as "MB".
std::string FormatMemoryMb(std::uint32_t megabytes);

}  // namespace chervilspar::inventory
