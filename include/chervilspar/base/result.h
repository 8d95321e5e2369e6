#pragma once

#include <compare>
#include <optional>
#include <string>
#include <utility>

#include "chervilspar/base/assert.h"

namespace chervilspar {

/// What kind of failure a `Reason` describes. Callers branch on this, never on the text.
enum class ErrorCode {
  kInvalidArgument,
  kNotFound,
  kConflict,
  kUnauthenticated,
  kPermissionDenied,
  kResourceExhausted,
  kUnavailable,
  kDeadlineExceeded,
  kDataLoss,
  kMalformed,
  kInternal,
};

/// The stable lower-case name of a code, as it appears in logs and error bodies.
const char* ToString(ErrorCode code);

/// Why something failed, for a machine (`code`) and for a person (`field`, `message`).
struct Reason {
  ErrorCode code = ErrorCode::kInternal;
  /// Where the fault lies: a flag, a JSON pointer, a header name; empty when there is no such
  /// place.
  std::string field;
  std::string message;

  friend bool operator==(const Reason&, const Reason&) = default;
};

/// "code: field: message" on one line.
std::string ToString(const Reason& reason);

/// A `std::optional` value together with the last reason why there is none.
/// The reason travels with the value, so that two threads never overwrite each other's.
template <typename T>
class [[nodiscard]] Result {
 public:
  Result(T value) : value(std::move(value)) {}          // NOLINT(google-explicit-constructor)
  Result(Reason reason) : reason(std::move(reason)) {}  // NOLINT(google-explicit-constructor)

  bool HasValue() const { return this->value.has_value(); }
  explicit operator bool() const { return this->HasValue(); }

  const T& Value() const& {
    CHERVILSPAR_ASSERT(this->value.has_value());
    return *this->value;
  }
  T&& Value() && {
    CHERVILSPAR_ASSERT(this->value.has_value());
    return *std::move(this->value);
  }
  const T& operator*() const& { return this->Value(); }
  const T* operator->() const { return &this->Value(); }

  /// The value as a plain optional, for callers that don't need the reason.
  const std::optional<T>& AsOptional() const { return this->value; }

  /// Why there is no value. Asking while there is one is a programming error.
  const Reason& LastReason() const {
    CHERVILSPAR_ASSERT(!this->value.has_value());
    return this->reason;
  }

 private:
  std::optional<T> value;
  Reason reason;
};

/// The value of a `Result` that only says whether something worked.
struct Done {
  friend bool operator==(const Done&, const Done&) = default;
};

/// Success, or the reason for failure.
using Status = Result<Done>;

}  // namespace chervilspar
