#pragma once

#include <utility>

namespace chervilspar {

/// Runs a clean-up action at the end of a scope, however it is left.
template <typename Action>
class [[nodiscard]] ScopeGuard {
 public:
  explicit ScopeGuard(Action action) : action(std::move(action)) {}
  ScopeGuard(const ScopeGuard&) = delete;
  ScopeGuard& operator=(const ScopeGuard&) = delete;
  ~ScopeGuard() {
    if (this->armed) {
      this->action();
    }
  }

  /// The action is no longer needed.
  void Dismiss() { this->armed = false; }

 private:
  Action action;
  bool armed = true;
};

}  // namespace chervilspar
