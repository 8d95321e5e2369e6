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
#include "job_entry/frame_interval.h"

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
  boost::asio::awaitable<QuestionOutcome> Ask(std::string owner_member, http::Request request,
                                              Duration timeout) override;
  void OnRequestAnswered() override;
  void OnQuestions(const rpc::QuestionBatch& batch);
  void OnReplies(rpc::Replies replies);

 private:
  struct PendingQuestion {
    std::shared_ptr<http::Wakeup> wakeup;
    std::optional<http::Response> response;
  };
  /// A question of this entry that wasn't replied to in time.
  struct GivenUp {
    bool was_collected = false;
    TimePoint expires{};
  };
  /// A question that this entry has passed on to the owner for another one.
  struct Relayed {
    std::string reply_address;
    std::uint64_t number = 0;
    TimePoint expires{};
  };

  /// The entry to which this entry sends its questions now, unless it asks the owner itself.
  std::optional<std::string> UsedCollector() const;
  bool AvoidsFramesTo(const std::string& owner_address) const;
  std::uint64_t Send(const std::string& address, const std::string& owner_address,
                     const http::Request& request);
  /// Waits for the reply until `deadline`. Returns sooner, and true, if whoever got the question
  /// doesn't show within `kReplyTime` that it lives.
  boost::asio::awaitable<bool> IsSilentUntil(std::uint64_t number, TimePoint deadline);
  void GiveUp(std::uint64_t number, bool was_collected);
  /// A reply has come too late: that way works.
  void OnLateReply(const GivenUp& question);
  /// While no frame is answered, one request at a time finds out whether the owner answers those.
  bool MayRequest();
  void PassOn(const rpc::QuestionBatch& batch);
  void Answer(const rpc::QuestionBatch& batch);
  void AddQuestion(const std::string& address, const std::string& owner_address,
                   rpc::Question question, Duration delay);

  const Context context;
  const std::string own_address;
  Answerer answerer;
  /// The entry that collects this entry's questions; nothing if the owner gets them directly.
  std::optional<std::string> collector;
  /// Until then, or until it passes on a reply, the collector is taken as gone.
  TimePoint collector_avoided_until{};
  /// Until then, or until it replies to a frame, this owner gets questions in none.
  TimePoint frames_avoided_until{};
  std::string silent_owner;
  /// Until then, questions may be requests of their own, as one was answered.
  TimePoint requests_answered_until{};
  TimePoint next_request{};
  /// When the last reply to a question of this entry arrived.
  TimePoint last_reply{};
  /// When the last frame with replies arrived, also one without any.
  TimePoint last_sign{};
  /// Of the frames with questions that this entry passes on.
  FramePace passing_pace;
  std::uint64_t next_number;
  std::map<std::uint64_t, std::shared_ptr<PendingQuestion>> pending;
  std::map<std::uint64_t, GivenUp> given_up;
  std::map<std::uint64_t, Relayed> relayed;
  std::shared_ptr<AddressBatcher<rpc::QuestionBatch>> questions;
  std::shared_ptr<AddressBatcher<rpc::Replies>> replies;
};

}  // namespace chervilspar::job_entry
