#include "entry/pending_request.h"

#include <utility>

namespace chervilspar::entry {

PendingRequest::PendingRequest(const boost::asio::any_io_executor& executor)
    : wakeup(std::make_shared<http::Wakeup>(executor)), exchange(http::CancelToken::Create()) {}

void PendingRequest::OnStart(StartOrder order) {
  {
    const std::lock_guard lock(this->mutex);
    this->start = std::move(order);
    this->news.has_start = true;
  }
  this->wakeup->Notify();
}

void PendingRequest::OnGivenUp(admission::Refusal refusal) {
  {
    const std::lock_guard lock(this->mutex);
    this->news.given_up = std::move(refusal);
  }
  this->wakeup->Notify();
}

void PendingRequest::OnRegistration(idempotency::Registration registration) {
  {
    const std::lock_guard lock(this->mutex);
    this->news.registration = registration;
  }
  this->wakeup->Notify();
}

void PendingRequest::OnCallerGone() {
  {
    const std::lock_guard lock(this->mutex);
    this->news.is_caller_gone = true;
  }
  this->exchange->Cancel();
  this->wakeup->Notify();
}

void PendingRequest::OnStopping() {
  const std::lock_guard lock(this->mutex);
  this->stopping = true;
}

PendingNews PendingRequest::News() const {
  const std::lock_guard lock(this->mutex);
  return this->news;
}

std::optional<StartOrder> PendingRequest::TakeStart() {
  const std::lock_guard lock(this->mutex);
  this->news.has_start = false;
  return std::exchange(this->start, std::nullopt);
}

bool PendingRequest::IsCallerGone() const {
  const std::lock_guard lock(this->mutex);
  return this->news.is_caller_gone;
}

bool PendingRequest::TakeStopping() {
  const std::lock_guard lock(this->mutex);
  return std::exchange(this->stopping, false);
}

}  // namespace chervilspar::entry
