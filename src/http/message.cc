#include "chervilspar/http/message.h"

#include <algorithm>

namespace chervilspar::http {

namespace {

char ToLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool EqualNames(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](char a, char b) { return ToLower(a) == ToLower(b); });
}

}  // namespace

void Headers::Add(std::string name, std::string value) {
  this->fields.push_back({std::move(name), std::move(value)});
}

std::optional<std::string_view> Headers::Find(std::string_view name) const {
  for (const Header& field : this->fields) {
    if (EqualNames(field.name, name)) {
      return field.value;
    }
  }
  return std::nullopt;
}

std::size_t Headers::Count(std::string_view name) const {
  return static_cast<std::size_t>(
      std::count_if(this->fields.begin(), this->fields.end(),
                    [name](const Header& field) { return EqualNames(field.name, name); }));
}

std::string_view PathOf(std::string_view target) { return target.substr(0, target.find('?')); }

std::optional<std::string_view> QueryParameter(std::string_view target, std::string_view name) {
  const std::size_t mark = target.find('?');
  std::string_view rest = mark == std::string_view::npos ? "" : target.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=') {
      return pair.substr(name.size() + 1);
    }
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
  }
  return std::nullopt;
}

std::vector<std::string_view> PathSegments(std::string_view target) {
  std::vector<std::string_view> segments;
  std::string_view rest = PathOf(target);
  while (!rest.empty()) {
    const std::size_t end = rest.find('/');
    if (end != 0) {
      segments.push_back(rest.substr(0, end));
    }
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
  }
  return segments;
}

}  // namespace chervilspar::http
