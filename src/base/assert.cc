#include "chervilspar/base/assert.h"

#include <cstdio>
#include <cstdlib>

namespace chervilspar {

void AssertionFailed(const char* expression, const char* file, int line) {
  std::fprintf(stderr, "assertion failed: %s (%s:%d)\n", expression, file, line);
  std::abort();
}

}  // namespace chervilspar
