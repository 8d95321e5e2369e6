#include "job_entry/question_exchange.h"

#include <random>
#include <utility>

#include "chervilspar/base/hash.h"

#include "job_entry/member_name.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

/// Questions of one entry that arrive together share a frame.
constexpr Duration kOwnDelay = std::chrono::milliseconds(3);
/// How long an entry collects the questions of others: the owner gets at most 25 frames a second
/// from each. Callers' polls wait for this long.
constexpr Duration kCollectingDelay = std::chrono::milliseconds(40);
constexpr Duration kReplyDelay = std::chrono::milliseconds(3);
/// Longer than any entry waits for a reply.
constexpr Duration kRelayLifetime = std::chrono::seconds(2);
constexpr Duration kAvoidedTime = std::chrono::seconds(2);

std::uint64_t RandomFirstNumber() {
  std::random_device device;
  // At most 62 bits: the number is signed on the wire and has to be able to count up.
  return (std::uint64_t{device()} << 30U) ^ device();
}

}  // namespace

QuestionExchange::QuestionExchange(const Context& context, rpc::PeerTransport& transport,
                                   std::string own_address)
    : context(context),
      own_address(std::move(own_address)),
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
  this->collector.reset();
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
}

void QuestionExchange::AddQuestion(const std::string& address, const std::string& owner_address,
                                   rpc::Question question, Duration delay) {
  rpc::QuestionBatch& batch = this->questions->At(address, delay);
  batch.reply_address = this->own_address;
  batch.owner_address = owner_address;
  batch.questions.push_back(std::move(question));
}

asio::awaitable<std::optional<http::Response>> QuestionExchange::Ask(std::string owner_member,
                                                                     http::Request request,
                                                                     Duration timeout) {
  const std::optional<jobs::Carrier> owner = CarrierOf(owner_member);
  if (!owner || this->context.Now() < this->avoided_until) {
    co_return std::nullopt;
  }
  const bool is_direct = !this->collector || *this->collector == this->own_address;
  std::string address = owner->address;
  if (!is_direct) {
    address = *this->collector;
  }
  const auto entry = std::make_shared<PendingQuestion>();
  entry->wakeup = std::make_shared<http::Wakeup>(this->context.io.get_executor());
  const std::uint64_t number = this->next_number++;
  this->pending.emplace(number, entry);
  this->AddQuestion(address, owner->address,
                    {number, std::move(request.target), std::move(request.body)}, kOwnDelay);
  co_await entry->wakeup->WaitFor(timeout);
  this->pending.erase(number);
  if (!entry->response) {
    this->OnUnanswered(is_direct);
    this->context.metrics.Count({"chervilspar_owner_questions_unanswered_total", {}});
  }
  co_return std::move(entry->response);
}

void QuestionExchange::OnUnanswered(bool is_direct) {
  if (is_direct) {
    this->avoided_until = this->context.Now() + kAvoidedTime;
  } else {
    this->collector.reset();  // until the members are read again
  }
}

void QuestionExchange::OnQuestions(const rpc::QuestionBatch& batch) {
  if (batch.owner_address == this->own_address) {
    this->Answer(batch);
  } else {
    this->PassOn(batch);
  }
}

void QuestionExchange::PassOn(const rpc::QuestionBatch& batch) {
  this->DropExpired();
  const TimePoint expires = this->context.Now() + kRelayLifetime;
  for (const rpc::Question& question : batch.questions) {
    const std::uint64_t number = this->next_number++;
    this->relayed.emplace(number, Relayed{batch.reply_address, question.number, expires});
    this->AddQuestion(batch.owner_address, batch.owner_address,
                      {number, question.target, question.body}, kCollectingDelay);
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
  for (rpc::Reply& reply : replies) {
    const auto own = this->pending.find(reply.number);
    if (own != this->pending.end()) {
      own->second->response.emplace();
      own->second->response->status = reply.status;
      own->second->response->body = std::move(reply.body);
      own->second->wakeup->Notify();
      continue;
    }
    const auto relayed = this->relayed.find(reply.number);
    if (relayed == this->relayed.end()) {
      continue;
    }
    reply.number = relayed->second.number;
    this->replies->At(relayed->second.reply_address, kReplyDelay).push_back(std::move(reply));
    this->relayed.erase(relayed);
  }
}

/// All expire in the order of their numbers.
void QuestionExchange::DropExpired() {
  while (!this->relayed.empty() && this->relayed.begin()->second.expires < this->context.Now()) {
    this->relayed.erase(this->relayed.begin());
  }
}

}  // namespace chervilspar::job_entry
