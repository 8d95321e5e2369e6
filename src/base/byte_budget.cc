#include "chervilspar/base/byte_budget.h"

namespace chervilspar {

bool ByteBudget::Share::Resize(std::size_t bytes) {
  if (bytes > this->bytes && !this->budget.Take(bytes - this->bytes)) {
    return false;
  }
  if (bytes < this->bytes) {
    this->budget.Give(this->bytes - bytes);
  }
  this->bytes = bytes;
  return true;
}

bool ByteBudget::Take(std::size_t bytes) {
  std::size_t before = this->used;
  do {
    if (before > this->limit || bytes > this->limit - before) {
      return false;
    }
  } while (!this->used.compare_exchange_weak(before, before + bytes));
  return true;
}

}  // namespace chervilspar
