#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chervilspar/http/wakeup.h"
#include "chervilspar/job_entry/links.h"
#include "chervilspar/rpc/carrier_message.h"
#include "chervilspar/rpc/peer_transport.h"

#include "job_entry/address_batches.h"
#include "job_entry/context.h"

namespace chervilspar::job_entry {

/// Questions of entries to the owner, and their replies, in the frames of the transport between
/// entries.
///
/// Callers ask for the state of a job until it has ended. The later the jobs are, the more of them
/// are asked for, and an owner that serves each question as a request of its own falls further
/// behind. So one of the entries in each zone that can become owner collects the questions of the
/// others, and the owner gets them in a few frames, however many there are.
class QuestionExchange final : public OwnerQuestions {
 public:
  using Answerer = std::function<http::Response(const http::Request&)>;

  /// `own_address`: where `transport` listens. It must outlive this object.
  QuestionExchange(const Context& context, rpc::PeerTransport& transport, std::string own_address);

  /// Answers the questions that reach this entry as the owner.
  void SetAnswerer(Answerer answerer) { this->answerer = std::move(answerer); }
  /// The current members of the group; one of those in this entry's zone collects its questions.
  /// Without any, the owner gets them directly.
  void SetMembers(const std::vector<std::string>& members) override;
  boost::asio::awaitable<std::optional<http::Response>> Ask(std::string owner_member,
                                                            http::Request request,
                                                            Duration timeout) override;
  void OnQuestions(const rpc::QuestionBatch& batch);
  void OnReplies(rpc::Replies replies);

 private:
  struct PendingQuestion {
    std::shared_ptr<http::Wakeup> wakeup;
    std::optional<http::Response> response;
  };
  /// A question that this entry has passed on to the owner for another one.
  struct Relayed {
    std::string reply_address;
    std::uint64_t number = 0;
    TimePoint expires{};
  };

  void OnUnanswered(bool is_direct);
  void PassOn(const rpc::QuestionBatch& batch);
  void Answer(const rpc::QuestionBatch& batch);
  void AddQuestion(const std::string& address, const std::string& owner_address,
                   rpc::Question question, Duration delay);
  void DropExpired();

  const Context context;
  const std::string own_address;
  Answerer answerer;
  /// The entry that collects this entry's questions; nothing if the owner gets them directly.
  std::optional<std::string> collector;
  /// Until then, questions take another way, as one in a frame wasn't answered.
  TimePoint avoided_until{};
  std::uint64_t next_number;
  std::map<std::uint64_t, std::shared_ptr<PendingQuestion>> pending;
  std::map<std::uint64_t, Relayed> relayed;
  std::shared_ptr<AddressBatcher<rpc::QuestionBatch>> questions;
  std::shared_ptr<AddressBatcher<rpc::Replies>> replies;
};

}  // namespace chervilspar::job_entry
