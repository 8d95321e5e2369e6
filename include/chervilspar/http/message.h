#pragma once

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilspar::http {

/// One header field.
struct Header {
  std::string name;
  std::string value;

  friend bool operator==(const Header&, const Header&) = default;
};

/// Header fields in the order in which they came; names compare without regard to case.
class Headers {
 public:
  Headers() = default;
  Headers(std::initializer_list<Header> fields) : fields(fields) {}

  void Add(std::string name, std::string value);
  /// The value of the first field of that name.
  std::optional<std::string_view> Find(std::string_view name) const;
  std::size_t Count(std::string_view name) const;
  const std::vector<Header>& All() const { return this->fields; }

  friend bool operator==(const Headers&, const Headers&) = default;

 private:
  std::vector<Header> fields;
};

/// A whole HTTP request. `Content-Length`, `Connection` and `Host` are the transport's own: the
/// client sets them, and the server checks them before a handler sees the request.
struct Request {
  std::string method = "GET";
  std::string target = "/";
  Headers headers;
  std::string body;
  /// What kind of message it is, for `TrafficObserver`; not sent.
  std::string kind;

  friend bool operator==(const Request&, const Request&) = default;
};

/// A whole HTTP answer.
struct Response {
  unsigned status = 200;
  Headers headers;
  std::string body;

  friend bool operator==(const Response&, const Response&) = default;
};

/// The path of a request's target, without the query.
std::string_view PathOf(std::string_view target);

/// The value of a query parameter ("from" in "/v1/log/records?from=7"); no percent-decoding.
std::optional<std::string_view> QueryParameter(std::string_view target, std::string_view name);

/// The parts of a path between its slashes; empty parts are left out.
std::vector<std::string_view> PathSegments(std::string_view target);

}  // namespace chervilspar::http
