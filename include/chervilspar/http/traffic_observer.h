#pragma once

#include <cstddef>
#include <string_view>

namespace chervilspar::http {

/// Hears of each request that a client has sent, whether or not it was answered.
class TrafficObserver {
 public:
  virtual ~TrafficObserver() = default;

  /// `kind`: as in the request. Bytes with headers, without those of TCP.
  virtual void OnExchange(std::string_view kind, std::size_t sent, std::size_t received) = 0;
};

}  // namespace chervilspar::http
