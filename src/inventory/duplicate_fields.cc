#include "inventory/duplicate_fields.h"

#include <limits>
#include <set>
#include <string>
#include <vector>

#include <boost/json/basic_parser_impl.hpp>

namespace chervilspar::inventory {

namespace {

using boost::json::error_code;
using boost::json::string_view;

enum class FrameKind { kObject, kArray };

/// An object or array that is being read.
struct Frame {
  FrameKind kind = FrameKind::kObject;
  std::set<std::string> names;
  std::string name;
  std::size_t index = 0;
};

/// Follows the events of the parser and keeps the path to the current value. The names of constants
/// and functions are the parser's.
// NOLINTBEGIN(readability-identifier-naming)
class DuplicateFieldHandler {
 public:
  static constexpr std::size_t max_object_size = std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t max_array_size = std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t max_key_size = std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t max_string_size = std::numeric_limits<std::size_t>::max();

  explicit DuplicateFieldHandler(Faults& faults) : faults(faults) {}

  bool on_document_begin(error_code&) { return true; }
  bool on_document_end(error_code&) { return true; }
  bool on_object_begin(error_code&) { return this->Enter(FrameKind::kObject); }
  bool on_object_end(std::size_t, error_code&) { return this->Leave(); }
  bool on_array_begin(error_code&) { return this->Enter(FrameKind::kArray); }
  bool on_array_end(std::size_t, error_code&) { return this->Leave(); }
  bool on_key_part(string_view part, std::size_t, error_code&) {
    this->partial_name.append(part.data(), part.size());
    return true;
  }
  bool on_key(string_view part, std::size_t, error_code&) {
    this->partial_name.append(part.data(), part.size());
    this->OnName();
    return true;
  }
  bool on_string_part(string_view, std::size_t, error_code&) { return true; }
  bool on_string(string_view, std::size_t, error_code&) { return this->OnScalar(); }
  bool on_number_part(string_view, error_code&) { return true; }
  bool on_int64(std::int64_t, string_view, error_code&) { return this->OnScalar(); }
  bool on_uint64(std::uint64_t, string_view, error_code&) { return this->OnScalar(); }
  bool on_double(double, string_view, error_code&) { return this->OnScalar(); }
  bool on_bool(bool, error_code&) { return this->OnScalar(); }
  bool on_null(error_code&) { return this->OnScalar(); }
  bool on_comment_part(string_view, error_code&) { return true; }
  bool on_comment(string_view, error_code&) { return true; }

 private:
  bool Enter(FrameKind kind) {
    this->frames.push_back(Frame{kind, {}, {}, 0});
    return true;
  }

  bool Leave() {
    this->frames.pop_back();
    return this->OnScalar();
  }

  bool OnScalar() {
    if (!this->frames.empty()) {
      ++this->frames.back().index;
    }
    return true;
  }

  void OnName() {
    Frame& frame = this->frames.back();
    frame.name = std::exchange(this->partial_name, {});
    if (!frame.names.insert(frame.name).second) {
      this->faults.Add(this->Path(), "the field occurs twice; keep one");
    }
  }

  std::string Path() const {
    std::string path;
    for (const Frame& frame : this->frames) {
      path = frame.kind == FrameKind::kObject ? Child(path, frame.name) : Child(path, frame.index);
    }
    return path;
  }

  Faults& faults;
  std::vector<Frame> frames;
  std::string partial_name;
};
// NOLINTEND(readability-identifier-naming)

}  // namespace

void FindDuplicateFields(std::string_view text, Faults& faults) {
  boost::json::basic_parser<DuplicateFieldHandler> parser({}, faults);
  error_code error;
  parser.write_some(false, text.data(), text.size(), error);
}

}  // namespace chervilspar::inventory
