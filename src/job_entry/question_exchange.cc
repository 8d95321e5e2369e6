#include "job_entry/question_exchange.h"

#include <algorithm>
#include <random>
#include <utility>

#include "chervilspar/base/hash.h"

#include "job_entry/member_name.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

/// Questions of one entry that arrive together share a frame.
constexpr Duration kOwnDelay = std::chrono::milliseconds(3);
/// Between two frames with the questions of others: the owner gets at most 25 a second from each
/// entry that collects them.
constexpr Duration kCollectingInterval = std::chrono::milliseconds(40);
constexpr Duration kReplyDelay = std::chrono::milliseconds(3);
/// A reply takes 10 to 60 ms, most of it until the frame is sent.
constexpr Duration kReplyTime = std::chrono::milliseconds(350);
/// Longer than any entry waits for a reply.
constexpr Duration kMaxReplyTime = std::chrono::seconds(2);
constexpr Duration kAvoidedTime = std::chrono::seconds(2);

std::uint64_t RandomFirstNumber() {
  std::random_device device;
  // At most 62 bits: the number is signed on the wire and has to be able to count up.
  return (std::uint64_t{device()} << 30U) ^ device();
}

/// All expire in the order of their numbers.
template <typename Question>
void DropExpired(std::map<std::uint64_t, Question>& questions, TimePoint now) {
  while (!questions.empty() && questions.begin()->second.expires < now) {
    questions.erase(questions.begin());
  }
}

}  // namespace

QuestionExchange::QuestionExchange(const Context& context, rpc::PeerTransport& transport,
                                   std::string own_address)
    : context(context),
      own_address(std::move(own_address)),
      passing_pace(kOwnDelay, kCollectingInterval),
      next_number(RandomFirstNumber()),
      questions(std::make_shared<AddressBatcher<rpc::QuestionBatch>>(
          context,
          [&transport](const std::string& address, rpc::QuestionBatch batch) {
            transport.Send(address, rpc::Encode(std::move(batch)));
          })),
      replies(std::make_shared<AddressBatcher<rpc::Replies>>(
          context, [&transport](const std::string& address, rpc::Replies batch) {
            transport.Send(address, rpc::Encode(std::move(batch)));
          })) {}

void QuestionExchange::SetMembers(const std::vector<std::string>& members) {
  const std::optional<std::string> former = std::exchange(this->collector, std::nullopt);
  const std::uint64_t seed = StableHash(this->context.settings.id.text);
  std::uint64_t best = 0;
  for (const std::string& member : members) {
    const std::optional<jobs::Carrier> carrier = CarrierOf(member);
    if (!carrier || carrier->zone != this->context.settings.zone) {
      continue;
    }
    const std::uint64_t weight = StableHash(carrier->address, seed);
    if (!this->collector || weight > best) {
      this->collector = carrier->address;
      best = weight;
    }
  }
  if (this->collector != former) {
    this->collector_avoided_until = {};
  }
}

void QuestionExchange::AddQuestion(const std::string& address, const std::string& owner_address,
                                   rpc::Question question, Duration delay) {
  rpc::QuestionBatch& batch = this->questions->At(address, delay);
  batch.reply_address = this->own_address;
  batch.owner_address = owner_address;
  batch.questions.push_back(std::move(question));
}

asio::awaitable<QuestionOutcome> QuestionExchange::Ask(std::string owner_member,
                                                       http::Request request, Duration timeout) {
  const std::optional<jobs::Carrier> owner = CarrierOf(owner_member);
  if (!owner) {
    co_return QuestionOutcome{std::nullopt, true};
  }
  const TimePoint deadline = this->context.Now() + timeout;
  bool is_silent = true;
  while (is_silent && this->context.Now() < deadline) {
    if (this->AvoidsFramesTo(owner->address)) {
      co_return QuestionOutcome{std::nullopt, this->MayRequest()};
    }
    const std::optional<std::string> way = this->UsedCollector();
    const std::uint64_t number = this->Send(way.value_or(owner->address), owner->address, request);
    is_silent = co_await this->IsSilentUntil(number, deadline);
    auto question = this->pending.extract(number);
    if (question.mapped()->response) {
      co_return QuestionOutcome{std::move(question.mapped()->response)};
    }
    this->GiveUp(number, way.has_value());
    const TimePoint now = this->context.Now();
    // An owner of a version without question frames never replies to what the collector passes on.
    const bool is_ignored = way && now - this->last_reply >= kAvoidedTime;
    if (way && (is_silent || is_ignored)) {
      this->collector_avoided_until = now + kAvoidedTime;
    } else if (is_silent) {
      this->frames_avoided_until = now + kAvoidedTime;
      this->silent_owner = owner->address;
    }
  }
  co_return QuestionOutcome{};
}

std::optional<std::string> QuestionExchange::UsedCollector() const {
  const bool is_used = this->collector && *this->collector != this->own_address &&
                       this->context.Now() >= this->collector_avoided_until;
  return is_used ? this->collector : std::nullopt;
}

bool QuestionExchange::AvoidsFramesTo(const std::string& owner_address) const {
  return owner_address == this->silent_owner && this->context.Now() < this->frames_avoided_until;
}

std::uint64_t QuestionExchange::Send(const std::string& address, const std::string& owner_address,
                                     const http::Request& request) {
  const std::uint64_t number = this->next_number++;
  const auto question = std::make_shared<PendingQuestion>();
  question->wakeup = std::make_shared<http::Wakeup>(this->context.io.get_executor());
  this->pending.emplace(number, question);
  this->AddQuestion(address, owner_address, {number, request.target, request.body}, kOwnDelay);
  return number;
}

asio::awaitable<bool> QuestionExchange::IsSilentUntil(std::uint64_t number, TimePoint deadline) {
  const std::shared_ptr<PendingQuestion> question = this->pending.at(number);
  const TimePoint sent = this->context.Now();
  co_await question->wakeup->WaitFor(std::min(deadline - sent, kReplyTime));
  const bool has_waited = this->context.Now() - sent >= kReplyTime;
  if (!question->response && has_waited && this->last_sign < sent) {
    co_return true;
  }
  while (!question->response && this->context.Now() < deadline) {
    co_await question->wakeup->WaitFor(deadline - this->context.Now());
  }
  co_return false;
}

void QuestionExchange::GiveUp(std::uint64_t number, bool was_collected) {
  const TimePoint now = this->context.Now();
  DropExpired(this->given_up, now);
  this->given_up.emplace(number, GivenUp{was_collected, now + kMaxReplyTime});
  this->context.metrics.Count({"chervilspar_owner_questions_unanswered_total", {}});
}

void QuestionExchange::OnLateReply(const GivenUp& question) {
  if (question.was_collected) {
    this->collector_avoided_until = {};
  } else {
    this->frames_avoided_until = {};
  }
}

bool QuestionExchange::MayRequest() {
  const TimePoint now = this->context.Now();
  if (now >= this->requests_answered_until && now < this->next_request) {
    return false;
  }
  this->next_request = now + kReplyTime;
  return true;
}

void QuestionExchange::OnRequestAnswered() {
  this->requests_answered_until = this->context.Now() + kAvoidedTime;
}

void QuestionExchange::OnQuestions(const rpc::QuestionBatch& batch) {
  if (batch.owner_address == this->own_address) {
    this->Answer(batch);
  } else {
    this->PassOn(batch);
  }
}

void QuestionExchange::PassOn(const rpc::QuestionBatch& batch) {
  const TimePoint now = this->context.Now();
  DropExpired(this->relayed, now);
  const Duration delay = this->passing_pace.DueAt(now) - now;
  const TimePoint expires = now + kMaxReplyTime;
  // Without any replies, the frame says that this entry lives.
  this->replies->At(batch.reply_address, kReplyDelay);
  for (const rpc::Question& question : batch.questions) {
    const std::uint64_t number = this->next_number++;
    this->relayed.emplace(number, Relayed{batch.reply_address, question.number, expires});
    this->AddQuestion(batch.owner_address, batch.owner_address,
                      {number, question.target, question.body}, delay);
  }
}

void QuestionExchange::Answer(const rpc::QuestionBatch& batch) {
  if (!this->answerer) {
    return;
  }
  rpc::Replies& replies = this->replies->At(batch.reply_address, kReplyDelay);
  for (const rpc::Question& question : batch.questions) {
    http::Request request;
    request.method = question.body.empty() ? "GET" : "POST";
    request.target = question.target;
    request.body = question.body;
    http::Response response = this->answerer(request);
    replies.push_back({question.number, response.status, std::move(response.body)});
  }
}

void QuestionExchange::OnReplies(rpc::Replies replies) {
  this->last_sign = this->context.Now();
  for (rpc::Reply& reply : replies) {
    if (const auto own = this->pending.find(reply.number); own != this->pending.end()) {
      this->last_reply = this->context.Now();
      own->second->response.emplace();
      own->second->response->status = reply.status;
      own->second->response->body = std::move(reply.body);
      own->second->wakeup->Notify();
    } else if (const auto late = this->given_up.find(reply.number); late != this->given_up.end()) {
      this->last_reply = this->context.Now();
      this->OnLateReply(late->second);
      this->given_up.erase(late);
    } else if (const auto passed = this->relayed.find(reply.number);
               passed != this->relayed.end()) {
      reply.number = passed->second.number;
      this->replies->At(passed->second.reply_address, kReplyDelay).push_back(std::move(reply));
      this->relayed.erase(passed);
    }
  }
}

}  // namespace chervilspar::job_entry
