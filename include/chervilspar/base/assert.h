#pragma once

namespace chervilspar {

/// Prints the broken invariant with its place to stderr and aborts.
/// An entry that has broken one of its own invariants must not go on serving: its callers lose one
/// VM, which the balancer replaces, while going on could break a promise to all of them.
[[noreturn]] void AssertionFailed(const char* expression, const char* file, int line);

}  // namespace chervilspar

/// Asserts an invariant; stays on in release builds.
#define CHERVILSPAR_ASSERT(expression)                                 \
  do {                                                                 \
    if (!(expression)) [[unlikely]] {                                  \
      ::chervilspar::AssertionFailed(#expression, __FILE__, __LINE__); \
    }                                                                  \
  } while (false)
