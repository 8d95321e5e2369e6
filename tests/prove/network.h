#pragma once

#include <array>
#include <cstdint>
#include <functional>

#include "tests/prove/simulation.h"

namespace chervilspar::prove {

inline constexpr std::uint32_t kZones = 3;
/// The platform as a place that zones can be cut off from.
inline constexpr std::uint32_t kPlatform = kZones;

/// Carries messages between zones. It loses, delays, doubles and reorders them while it is bad, and
/// loses all between places that are cut off from each other.
class Network {
 public:
  explicit Network(Simulation& simulation) : simulation(simulation) {}

  void Send(std::uint32_t from, std::uint32_t to, std::function<void()> deliver);
  /// Like a request on a connection: may be lost or late, never doubled.
  void SendOnce(std::uint32_t from, std::uint32_t to, std::function<void()> deliver);
  void Cut(std::uint32_t left, std::uint32_t right);
  void Heal(std::uint32_t left, std::uint32_t right);
  void BeginBad() { ++this->bad; }
  void EndBad() { --this->bad; }
  bool IsCut(std::uint32_t left, std::uint32_t right) const;

 private:
  Duration Delay(std::uint32_t from, std::uint32_t to);

  Simulation& simulation;
  std::array<std::array<int, kZones + 1>, kZones + 1> cuts{};
  int bad = 0;
};

}  // namespace chervilspar::prove
