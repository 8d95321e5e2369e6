#include "chervilspar/http/cancel_token.h"

#include <utility>

namespace chervilspar::http {

CancelToken::Registration::Registration(std::weak_ptr<CancelToken> token, std::uint64_t id)
    : token(std::move(token)), id(id) {}

CancelToken::Registration::Registration(Registration&& other) noexcept
    : token(std::exchange(other.token, {})), id(other.id) {}

CancelToken::Registration& CancelToken::Registration::operator=(Registration&& other) noexcept {
  if (this != &other) {
    this->Remove();
    this->token = std::exchange(other.token, {});
    this->id = other.id;
  }
  return *this;
}

CancelToken::Registration::~Registration() { this->Remove(); }

void CancelToken::Registration::Remove() {
  if (const std::shared_ptr<CancelToken> live = this->token.lock()) {
    live->Remove(this->id);
  }
}

std::shared_ptr<CancelToken> CancelToken::Create() { return std::make_shared<CancelToken>(); }

void CancelToken::Cancel() {
  std::map<std::uint64_t, std::function<void()>> due;
  {
    const std::lock_guard lock(this->mutex);
    if (this->cancelled) {
      return;
    }
    this->cancelled = true;
    due.swap(this->callbacks);
  }
  for (const auto& [id, callback] : due) {
    callback();
  }
}

bool CancelToken::IsCancelled() const {
  const std::lock_guard lock(this->mutex);
  return this->cancelled;
}

CancelToken::Registration CancelToken::OnCancel(std::function<void()> callback) {
  {
    const std::lock_guard lock(this->mutex);
    if (!this->cancelled) {
      const std::uint64_t id = this->next_id++;
      this->callbacks.emplace(id, std::move(callback));
      return {this->weak_from_this(), id};
    }
  }
  callback();
  return {};
}

void CancelToken::Remove(std::uint64_t id) {
  const std::lock_guard lock(this->mutex);
  this->callbacks.erase(id);
}

}  // namespace chervilspar::http
