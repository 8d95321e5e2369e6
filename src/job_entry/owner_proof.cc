#include "job_entry/owner_proof.h"

#include <utility>

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

constexpr Duration kAnswerTimeout = std::chrono::milliseconds(300);
/// The answer to a question that was under way may be too old already; that to the next isn't.
constexpr int kMostQuestions = 2;

}  // namespace

OwnerProof::OwnerProof(const Context& context, const OwnerDirectory& directory, std::string member)
    : context(context), directory(directory), member(std::move(member)) {}

asio::awaitable<bool> OwnerProof::IsYoungerThan(Duration limit) {
  for (int i = 0; i < kMostQuestions && !this->HasProof(limit); ++i) {
    co_await this->Ask();
  }
  co_return this->HasProof(limit);
}

asio::awaitable<void> OwnerProof::Ask() {
  if (this->is_asking) {
    const auto answered = std::make_shared<http::Wakeup>(this->context.io.get_executor());
    this->waiting.push_back(answered);
    co_await answered->WaitFor(kAnswerTimeout);
    co_return;
  }
  this->is_asking = true;
  const TimePoint asked = this->context.Now();
  const bool is_newest = co_await this->directory.IsNewestClaim(this->member, kAnswerTimeout);
  this->is_asking = false;
  if (is_newest) {
    this->Note(asked);
  }
  for (const std::shared_ptr<http::Wakeup>& answered : std::exchange(this->waiting, {})) {
    answered->Notify();
  }
}

}  // namespace chervilspar::job_entry
