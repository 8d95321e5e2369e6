#include "job_entry/owner_proof.h"

#include <utility>

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

constexpr Duration kQueryTimeout = std::chrono::milliseconds(300);
/// The response to a query that was already in progress may be too old; that to the next one isn't.
constexpr int kMaxQueries = 2;

}  // namespace

OwnerProof::OwnerProof(const Context& context, const OwnerDirectory& directory, std::string member)
    : context(context), directory(directory), member(std::move(member)) {}

asio::awaitable<bool> OwnerProof::IsYoungerThan(Duration limit) {
  for (int i = 0; i < kMaxQueries && !this->HasProof(limit); ++i) {
    co_await this->QueryStore();
  }
  co_return this->HasProof(limit);
}

asio::awaitable<void> OwnerProof::QueryStore() {
  if (this->is_querying) {
    const auto answered = std::make_shared<http::Wakeup>(this->context.io.get_executor());
    this->waiters.push_back(answered);
    co_await answered->WaitFor(kQueryTimeout);
    co_return;
  }
  this->is_querying = true;
  const TimePoint sent = this->context.Now();
  const bool is_newest = co_await this->directory.IsNewestClaim(this->member, kQueryTimeout);
  this->is_querying = false;
  if (is_newest) {
    this->Record(sent);
  }
  for (const std::shared_ptr<http::Wakeup>& answered : std::exchange(this->waiters, {})) {
    answered->Notify();
  }
}

}  // namespace chervilspar::job_entry
