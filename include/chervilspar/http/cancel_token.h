#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace chervilspar::http {

/// Says that the answer to one request is no longer wanted. The server cancels the token of a
/// request when its caller hangs up; the client gives up an exchange whose token is cancelled.
/// Safe to use from several threads; cancelled at most once.
class CancelToken : public std::enable_shared_from_this<CancelToken> {
 public:
  /// Keeps a callback registered; its destructor takes the callback out. A callback that is
  /// already running on another thread may still finish after that, so it must own what it uses.
  class [[nodiscard]] Registration {
   public:
    Registration() = default;
    Registration(std::weak_ptr<CancelToken> token, std::uint64_t id);
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;
    Registration(Registration&& other) noexcept;
    Registration& operator=(Registration&& other) noexcept;
    ~Registration();

   private:
    void Remove();

    std::weak_ptr<CancelToken> token;
    std::uint64_t id = 0;
  };

  static std::shared_ptr<CancelToken> Create();

  void Cancel();
  bool IsCancelled() const;
  /// Calls `callback` once when the token is cancelled, on the cancelling thread; at once, on this
  /// thread, if it already is. The callback must be short and must not block.
  Registration OnCancel(std::function<void()> callback);

 private:
  void Remove(std::uint64_t id);

  mutable std::mutex mutex;
  bool cancelled = false;
  std::uint64_t next_id = 1;
  std::map<std::uint64_t, std::function<void()>> callbacks;
};

}  // namespace chervilspar::http
