#include "inventory/indented_json.h"

#include <boost/json/serialize.hpp>

namespace chervilspar::inventory {

namespace {

constexpr std::size_t kIndent = 2;

std::string Spaces(std::size_t depth) { return std::string(depth * kIndent, ' '); }

/// Whether a value holds no list: such values stand on one line.
bool IsFlat(const boost::json::value& value) {
  if (value.is_array()) {
    return false;
  }
  if (const boost::json::object* object = value.if_object()) {
    for (const auto& field : *object) {
      if (field.value().is_structured()) {
        return false;
      }
    }
  }
  return true;
}

void WriteValue(const boost::json::value& value, std::size_t depth, std::string& out);

void WriteArray(const boost::json::array& array, std::size_t depth, std::string& out) {
  out += "[";
  const char* separator = "\n";
  for (const boost::json::value& element : array) {
    out += separator + Spaces(depth + 1);
    WriteValue(element, depth + 1, out);
    separator = ",\n";
  }
  out += array.empty() ? "]" : "\n" + Spaces(depth) + "]";
}

void WriteObject(const boost::json::object& object, std::size_t depth, std::string& out) {
  out += "{";
  const char* separator = "\n";
  for (const auto& field : object) {
    out += separator + Spaces(depth + 1) + boost::json::serialize(field.key()) + ": ";
    WriteValue(field.value(), depth + 1, out);
    separator = ",\n";
  }
  out += "\n" + Spaces(depth) + "}";
}

void WriteValue(const boost::json::value& value, std::size_t depth, std::string& out) {
  if (value.is_array()) {
    WriteArray(value.get_array(), depth, out);
  } else if (value.is_object() && (depth == 0 || !IsFlat(value))) {
    WriteObject(value.get_object(), depth, out);
  } else {
    out += boost::json::serialize(value);
  }
}

}  // namespace

std::string SerializeIndented(const boost::json::value& document) {
  std::string out;
  WriteValue(document, 0, out);
  out += "\n";
  return out;
}

}  // namespace chervilspar::inventory
