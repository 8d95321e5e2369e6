#include "wire.h"

#include <algorithm>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace chervilspar::http {

namespace beast = boost::beast;

namespace {

constexpr unsigned kHttp11 = 11;
constexpr char kFirstPrintable = ' ';

bool IsTokenCharacter(char c) {
  const bool is_alphanumeric =
      (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z');
  return is_alphanumeric || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

/// Whether the transport sets this field itself.
bool IsTransportField(beast::http::field name) {
  using beast::http::field;
  return name == field::content_length || name == field::connection ||
         name == field::transfer_encoding || name == field::host;
}

template <typename Message>
void SetHeaders(const Headers& headers, Message& message) {
  for (const Header& header : headers.All()) {
    const beast::http::field name = beast::http::string_to_field(header.name);
    if (IsSafeHeader(header) && !IsTransportField(name)) {
      message.insert(name, header.name, header.value);
    }
  }
}

}  // namespace

bool IsSafeHeader(const Header& header) {
  const bool is_value_safe = std::all_of(header.value.begin(), header.value.end(), [](char c) {
    return c == '\t' || static_cast<unsigned char>(c) >= kFirstPrintable;
  });
  return is_value_safe && !header.name.empty() &&
         std::all_of(header.name.begin(), header.name.end(), IsTokenCharacter);
}

beast::http::response<beast::http::string_body> ToWire(Response response, bool keep_alive) {
  beast::http::response<beast::http::string_body> message;
  message.version(kHttp11);
  message.result(response.status);
  SetHeaders(response.headers, message);
  message.body() = std::move(response.body);
  message.keep_alive(keep_alive);
  message.prepare_payload();
  return message;
}

beast::http::request<beast::http::string_body> ToWire(Request request, const std::string& host) {
  beast::http::request<beast::http::string_body> message;
  message.version(kHttp11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(beast::http::field::host, host);
  SetHeaders(request.headers, message);
  message.body() = std::move(request.body);
  message.prepare_payload();
  return message;
}

}  // namespace chervilspar::http
