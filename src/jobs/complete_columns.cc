#include "jobs/complete_columns.h"

namespace chervilspar::jobs {

namespace {

/// Older versions read single numbers only, and would run the occurrences of ranges again.
constexpr std::uint64_t kMaxSingleNumbers = 256;
constexpr std::uint64_t kMaxOccurrences = std::uint64_t{1} << 32U;

}  // namespace

CompleteColumns EncodeComplete(const OccurrenceSet& complete) {
  CompleteColumns columns;
  if (complete.Size() <= kMaxSingleNumbers) {
    const std::vector<std::uint32_t> numbers = complete.ListAll();
    columns.numbers = boost::json::array(numbers.begin(), numbers.end());
    return columns;
  }
  for (const auto& [begin, end] : complete.Ranges()) {
    columns.ranges.emplace_back(begin);
    columns.ranges.emplace_back(end);
  }
  return columns;
}

OccurrenceSet DecodeComplete(const boost::json::array& numbers, const std::string& numbers_path,
                             const boost::json::array& ranges, const std::string& ranges_path) {
  OccurrenceSet complete;
  for (const boost::json::value& number : numbers) {
    complete.Insert(NumberAt<std::uint32_t>(number, numbers_path));
  }
  if (ranges.size() % 2 != 0) {
    throw FieldFault(ranges_path, "has a range without an end");
  }
  for (std::size_t i = 0; i < ranges.size(); i += 2) {
    const auto end = NumberAt<std::uint64_t>(ranges[i + 1], ranges_path);
    if (end > kMaxOccurrences) {
      throw FieldFault(ranges_path, "is out of range");
    }
    complete.InsertRange(NumberAt<std::uint32_t>(ranges[i], ranges_path), end);
  }
  return complete;
}

}  // namespace chervilspar::jobs
