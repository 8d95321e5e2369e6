#include "tests/prove/network.h"

#include <utility>

namespace chervilspar::prove {

namespace {

constexpr double kLost = 0.1;
constexpr double kDoubled = 0.3;
constexpr double kLate = 0.25;

}  // namespace

void Network::Send(std::uint32_t from, std::uint32_t to, std::function<void()> deliver) {
  if (this->IsCut(from, to)) {
    return;
  }
  if (this->bad > 0 && this->simulation.Chance(kDoubled)) {
    this->simulation.After(this->Delay(from, to), deliver);
  }
  this->SendOnce(from, to, std::move(deliver));
}

void Network::SendOnce(std::uint32_t from, std::uint32_t to, std::function<void()> deliver) {
  const bool is_lost = this->bad > 0 && this->simulation.Chance(kLost);
  if (is_lost || this->IsCut(from, to)) {
    return;
  }
  this->simulation.After(this->Delay(from, to), std::move(deliver));
}

Duration Network::Delay(std::uint32_t from, std::uint32_t to) {
  if (this->bad > 0 && this->simulation.Chance(kLate)) {
    return this->simulation.Between(Seconds(0.01), Seconds(8));
  }
  return from == to ? this->simulation.Between(Seconds(0.0001), Seconds(0.0005))
                    : this->simulation.Between(Seconds(0.0008), Seconds(0.002));
}

void Network::Cut(std::uint32_t left, std::uint32_t right) {
  ++this->cuts.at(left).at(right);
  ++this->cuts.at(right).at(left);
}

void Network::Heal(std::uint32_t left, std::uint32_t right) {
  --this->cuts.at(left).at(right);
  --this->cuts.at(right).at(left);
}

bool Network::IsCut(std::uint32_t left, std::uint32_t right) const {
  return left != right && this->cuts.at(left).at(right) > 0;
}

}  // namespace chervilspar::prove
