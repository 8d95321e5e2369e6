#include "chervilspar/jobs/resources.h"

namespace chervilspar::jobs {

Resources Resources::operator+(const Resources& other) const {
  return {this->cpu + other.cpu, this->memory_mb + other.memory_mb, this->gpus + other.gpus};
}

Resources Resources::operator-(const Resources& other) const {
  return {this->cpu - other.cpu, this->memory_mb - other.memory_mb, this->gpus - other.gpus};
}

bool Resources::Fits(const Resources& need) const {
  return need.cpu <= this->cpu && need.memory_mb <= this->memory_mb && need.gpus <= this->gpus;
}

std::size_t Resources::CountFitting(const Resources& need, std::size_t max_count) const {
  std::size_t count = 0;
  for (Resources left = *this; count < max_count && left.Fits(need); left = left - need) {
    ++count;
  }
  return count;
}

}  // namespace chervilspar::jobs
