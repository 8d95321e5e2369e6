#include "inventory/object_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include <boost/json/serialize.hpp>

namespace chervilspar::inventory {

namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxShownLength = 60;
constexpr std::uint64_t kMegabytesPerGigabyte = 1024;

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
         c == '_' || c == '-';
}

std::string RangeText(UintRange range) {
  return "a whole number from " + std::to_string(range.min) + " to " + std::to_string(range.max);
}

std::optional<std::uint64_t> ParseMemory(std::string_view text) {
  std::uint64_t amount = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, amount);
  const std::string_view unit(rest, static_cast<std::size_t>(end - rest));
  constexpr std::uint64_t kHighest = 1ULL << 32U;
  if (error != std::errc{} || amount > kHighest) {
    return std::nullopt;
  }
  if (unit == "MB") {
    return amount;
  }
  if (unit == "GB") {
    return amount * kMegabytesPerGigabyte;
  }
  return std::nullopt;
}

}  // namespace

std::string Shown(const boost::json::value& value) {
  std::string text = boost::json::serialize(value);
  if (text.size() > kMaxShownLength) {
    text.resize(kMaxShownLength);
    text += "...";
  }
  return text;
}

std::string FormatMemoryMb(std::uint32_t megabytes) {
  if (megabytes % kMegabytesPerGigabyte == 0) {
    return std::to_string(megabytes / kMegabytesPerGigabyte) + "GB";
  }
  return std::to_string(megabytes) + "MB";
}

ObjectReader::ObjectReader(const boost::json::value& value, std::string pointer, Faults& faults)
    : object(value.if_object()), pointer(std::move(pointer)), faults(faults) {
  if (this->object == nullptr) {
    this->faults.Add(this->pointer, Shown(value) + " should be an object");
  }
}

const boost::json::value* ObjectReader::Find(std::string_view field) {
  this->known.emplace(field);
  if (this->object == nullptr) {
    return nullptr;
  }
  const boost::json::value* value = this->object->if_contains(field);
  return value == nullptr || value->is_null() ? nullptr : value;
}

const boost::json::value* ObjectReader::Require(std::string_view field) {
  const boost::json::value* value = this->Find(field);
  if (value == nullptr && this->object != nullptr) {
    this->faults.Add(this->PointerTo(field), "the field is missing");
  }
  return value;
}

const boost::json::array* ObjectReader::FindArray(std::string_view field) {
  const boost::json::value* value = this->Find(field);
  if (value == nullptr) {
    return nullptr;
  }
  const boost::json::array* array = value->if_array();
  if (array == nullptr) {
    this->faults.Add(this->PointerTo(field), Shown(*value) + " should be a list");
  }
  return array;
}

std::optional<std::string> ObjectReader::ReadText(const boost::json::value& value,
                                                  std::string_view field) {
  const boost::json::string* text = value.if_string();
  if (text == nullptr) {
    this->faults.Add(this->PointerTo(field), Shown(value) + " should be a text in quotes");
    return std::nullopt;
  }
  return std::string(text->data(), text->size());
}

std::string ObjectReader::CheckName(const boost::json::value& value, const std::string& at) {
  const boost::json::string* text = value.if_string();
  const bool is_name = text != nullptr && !text->empty() && text->size() <= kMaxNameLength &&
                       std::all_of(text->begin(), text->end(), IsNameCharacter);
  if (!is_name) {
    this->faults.Add(
        at, Shown(value) + " should be a name of 1 to 64 letters, digits, '.', '_' or '-'");
    return "";
  }
  return std::string(text->data(), text->size());
}

std::string ObjectReader::Name(std::string_view field) {
  const boost::json::value* value = this->Require(field);
  return value == nullptr ? "" : this->CheckName(*value, this->PointerTo(field));
}

std::optional<std::string> ObjectReader::OptionalName(std::string_view field) {
  const boost::json::value* value = this->Find(field);
  if (value == nullptr) {
    return std::nullopt;
  }
  return this->CheckName(*value, this->PointerTo(field));
}

std::vector<std::string> ObjectReader::OptionalNames(std::string_view field) {
  std::vector<std::string> names;
  const boost::json::array* array = this->FindArray(field);
  if (array == nullptr) {
    return names;
  }
  for (std::size_t i = 0; i < array->size(); ++i) {
    names.push_back(this->CheckName((*array)[i], Child(this->PointerTo(field), i)));
  }
  return names;
}

std::string ObjectReader::Address(std::string_view field) {
  const boost::json::value* value = this->Require(field);
  if (value == nullptr) {
    return "";
  }
  const std::optional<std::string> text = this->ReadText(*value, field);
  if (!text) {
    return "";
  }
  const Status status = CheckAddress(*text);
  if (!status) {
    this->faults.Add(this->PointerTo(field), status.LastReason().message);
  }
  return *text;
}

std::uint32_t ObjectReader::CheckUint(const boost::json::value& value, std::string_view field,
                                      UintRange range) {
  boost::json::error_code error;
  const auto number = value.to_number<std::uint64_t>(error);
  const bool whole = value.is_int64() || value.is_uint64();
  if (error || !whole || number < range.min || number > range.max) {
    this->faults.Add(this->PointerTo(field), Shown(value) + " should be " + RangeText(range));
    return static_cast<std::uint32_t>(range.min);
  }
  return static_cast<std::uint32_t>(number);
}

std::uint32_t ObjectReader::Uint(std::string_view field, UintRange range) {
  const boost::json::value* value = this->Require(field);
  return value == nullptr ? 0 : this->CheckUint(*value, field, range);
}

std::uint32_t ObjectReader::UintOr(std::string_view field, std::uint32_t otherwise,
                                   UintRange range) {
  const boost::json::value* value = this->Find(field);
  return value == nullptr ? otherwise : this->CheckUint(*value, field, range);
}

std::uint32_t ObjectReader::CheckMemory(const boost::json::value& value, std::string_view field,
                                        UintRange range) {
  const boost::json::string* text = value.if_string();
  const std::optional<std::uint64_t> megabytes =
      text == nullptr ? std::nullopt : ParseMemory({text->data(), text->size()});
  if (!megabytes || *megabytes < range.min || *megabytes > range.max) {
    this->faults.Add(this->PointerTo(field),
                     Shown(value) + " should be a size with unit MB or GB, such as \"128GB\", of " +
                         std::to_string(range.min) + " to " + std::to_string(range.max) + " MB");
    return static_cast<std::uint32_t>(range.min);
  }
  return static_cast<std::uint32_t>(*megabytes);
}

std::uint32_t ObjectReader::MemoryMb(std::string_view field, UintRange range) {
  const boost::json::value* value = this->Require(field);
  return value == nullptr ? 0 : this->CheckMemory(*value, field, range);
}

std::uint32_t ObjectReader::MemoryMbOr(std::string_view field, std::uint32_t otherwise,
                                       UintRange range) {
  const boost::json::value* value = this->Find(field);
  return value == nullptr ? otherwise : this->CheckMemory(*value, field, range);
}

double ObjectReader::NumberOr(std::string_view field, double otherwise, double min, double max) {
  const boost::json::value* value = this->Find(field);
  if (value == nullptr) {
    return otherwise;
  }
  boost::json::error_code error;
  const double number = value->is_number() ? value->to_number<double>(error) : std::nan("");
  if (!(number >= min && number <= max)) {
    this->faults.Add(this->PointerTo(field), Shown(*value) + " should be a number from " +
                                                 Shown(min) + " to " + Shown(max));
    return otherwise;
  }
  return number;
}

bool ObjectReader::BoolOr(std::string_view field, bool otherwise) {
  const boost::json::value* value = this->Find(field);
  if (value == nullptr) {
    return otherwise;
  }
  if (!value->is_bool()) {
    this->faults.Add(this->PointerTo(field), Shown(*value) + " should be true or false");
    return otherwise;
  }
  return value->get_bool();
}

Duration ObjectReader::DurationOr(std::string_view field, Duration otherwise, Duration min,
                                  Duration max) {
  const boost::json::value* value = this->Find(field);
  if (value == nullptr) {
    return otherwise;
  }
  const boost::json::string* text = value->if_string();
  const Result<Duration> duration =
      ParseDuration(text == nullptr ? Shown(*value) : std::string(text->data(), text->size()));
  if (text == nullptr || !duration) {
    this->faults.Add(this->PointerTo(field),
                     Shown(*value) + " should be a span of time with its unit, such as \"90s\"");
    return otherwise;
  }
  if (*duration < min || *duration > max) {
    this->faults.Add(
        this->PointerTo(field),
        Shown(*value) + " should be from " + FormatDuration(min) + " to " + FormatDuration(max));
    return otherwise;
  }
  return *duration;
}

WallTime ObjectReader::Date(std::string_view field) {
  const boost::json::value* value = this->Require(field);
  if (value == nullptr) {
    return WallTime{};
  }
  const std::optional<std::string> text = this->ReadText(*value, field);
  if (!text) {
    return WallTime{};
  }
  const Result<WallTime> date = ParseDate(*text);
  if (!date) {
    this->faults.Add(this->PointerTo(field), date.LastReason().message);
    return WallTime{};
  }
  return *date;
}

void ObjectReader::Finish() {
  if (this->object == nullptr) {
    return;
  }
  for (const auto& field : *this->object) {
    const std::string_view name(field.key().data(), field.key().size());
    if (!this->known.contains(name)) {
      std::string names;
      for (const std::string& known_name : this->known) {
        names += (names.empty() ? "" : ", ") + known_name;
      }
      this->faults.Add(this->PointerTo(name), "unknown field; the fields here are " + names);
    }
  }
}

}  // namespace chervilspar::inventory
