#include "bench/outcome.h"

#include <algorithm>
#include <cmath>

namespace chervilspar::bench {

namespace {
constexpr std::size_t kWindowTicks = 100;
}

double RunOutcome::Goodput() const {
  double good = 0.0;
  for (const TeamOutcome& team : this->teams) {
    good += team.good_seconds;
  }
  return good / (this->slots * this->measured_seconds);
}

double RunOutcome::AcceptedInTime() const {
  double accepted = 0.0;
  double in_time = 0.0;
  for (const TeamOutcome& team : this->teams) {
    accepted += static_cast<double>(team.accepted - team.cancelled);
    in_time += static_cast<double>(team.in_time);
  }
  return accepted > 0.0 ? in_time / accepted : 1.0;
}

double RunOutcome::InTime() const {
  double asked = 0.0;
  double in_time = 0.0;
  for (const TeamOutcome& team : this->teams) {
    asked += static_cast<double>(team.asked - team.cancelled);
    in_time += static_cast<double>(team.in_time);
  }
  return asked > 0.0 ? in_time / asked : 1.0;
}

double RunOutcome::RefusedPart() const {
  double asked = 0.0;
  double refused = 0.0;
  for (const TeamOutcome& team : this->teams) {
    asked += static_cast<double>(team.asked);
    refused += static_cast<double>(team.refused);
  }
  return asked > 0.0 ? refused / asked : 0.0;
}

double RunOutcome::RefusedLater() const {
  double accepted = 0.0;
  double later = 0.0;
  for (const TeamOutcome& team : this->teams) {
    accepted += static_cast<double>(team.accepted);
    later += static_cast<double>(team.refused_later);
  }
  return accepted > 0.0 ? later / accepted : 0.0;
}

double RunOutcome::WorstShareError() const {
  double shares = 0.0;
  std::size_t ticks = 0;
  for (const TeamOutcome& team : this->teams) {
    shares += team.share;
    ticks = std::max(ticks, team.used_by_tick.size());
  }
  double worst = 0.0;
  for (std::size_t start = 0; start + kWindowTicks <= ticks; ++start) {
    std::vector<double> used;
    double total = 0.0;
    for (const TeamOutcome& team : this->teams) {
      double sum = 0.0;
      for (std::size_t tick = start; tick < start + kWindowTicks; ++tick) {
        sum += tick < team.used_by_tick.size() ? team.used_by_tick[tick] : 0.0;
      }
      used.push_back(sum);
      total += sum;
    }
    for (std::size_t team = 0; team < used.size(); ++team) {
      const double due = this->teams[team].share / shares;
      worst = std::max(worst, std::abs(used[team] / total - due) / due);
    }
  }
  return worst;
}

double RunOutcome::Full() const {
  return this->tries > 0 ? static_cast<double>(this->full) / static_cast<double>(this->tries) : 0.0;
}

double Quantile(std::vector<double> values, double part) {
  if (values.empty()) {
    return 0.0;
  }
  const auto rank = static_cast<std::size_t>(std::ceil(part * static_cast<double>(values.size())));
  const std::size_t index = std::min(values.size() - 1, rank == 0 ? 0 : rank - 1);
  const auto place = values.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(values.begin(), place, values.end());
  return *place;
}

std::vector<double> Join(const RunOutcome& outcome, std::vector<double> TeamOutcome::*values) {
  std::vector<double> all;
  for (const TeamOutcome& team : outcome.teams) {
    all.insert(all.end(), (team.*values).begin(), (team.*values).end());
  }
  return all;
}

}  // namespace chervilspar::bench
