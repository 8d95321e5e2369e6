#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "chervilspar/base/result.h"
#include "chervilspar/base/time.h"
#include "chervilspar/jobs/endpoint.h"

/// Orders to endpoints that one entry carries for another, and their encoding (Thrift compact
/// protocol).
namespace chervilspar::rpc {

/// An order with the number under which its answer comes back.
template <typename Order>
struct Carried {
  std::uint64_t number = 0;
  Order order;
  /// Only of a start: the digest of its payload, which the carrier has kept. The order has none.
  std::optional<std::uint64_t> kept_payload;

  friend bool operator==(const Carried&, const Carried&) = default;
};

/// Orders that are to be carried out side by side.
struct OrderBatch {
  /// Where the answers go ("ip:port").
  std::string reply_address;
  /// How long one order may take at its endpoint; a hold may wait in addition.
  Duration timeout{};
  /// For how long the carrier may collect answers before it sends them; absent from batches of
  /// earlier versions.
  std::optional<Duration> answer_delay;
  std::vector<Carried<jobs::StartOrder>> starts;
  std::vector<Carried<jobs::StopOrder>> stops;
  std::vector<Carried<jobs::ThrottleOrder>> paces;
  std::vector<Carried<jobs::RenewalOrder>> holds;

  friend bool operator==(const OrderBatch&, const OrderBatch&) = default;
};

/// What came of one order.
struct CarriedAnswer {
  std::uint64_t number = 0;
  jobs::OrderOutcome outcome = jobs::OrderOutcome::kNoAnswer;
  /// Of a hold that was carried out.
  std::optional<jobs::RenewalReport> report;
  /// Of a start: the carrier has its payload now. Carriers of earlier versions never say so.
  bool keeps_payload = false;
  /// Of a start: as in `jobs::StartAnswer`. Carriers of earlier versions never give it.
  std::optional<std::int64_t> clock_ms;

  friend bool operator==(const CarriedAnswer&, const CarriedAnswer&) = default;
};

using CarriedAnswers = std::vector<CarriedAnswer>;

/// A question to the owner about jobs.
struct Question {
  std::uint64_t number = 0;
  /// Of the request that it stands for; one with a body is a POST.
  std::string target;
  std::string body;

  friend bool operator==(const Question&, const Question&) = default;
};

struct QuestionBatch {
  /// Where the replies go ("ip:port").
  std::string reply_address;
  /// Where the owner takes questions. Another entry that gets them passes them on.
  std::string owner_address;
  std::vector<Question> questions;

  friend bool operator==(const QuestionBatch&, const QuestionBatch&) = default;
};

/// The owner's response to a question.
struct Reply {
  std::uint64_t number = 0;
  unsigned status = 0;
  std::string body;

  friend bool operator==(const Reply&, const Reply&) = default;
};

using Replies = std::vector<Reply>;
using CarrierMessage = std::variant<OrderBatch, CarriedAnswers, QuestionBatch, Replies>;

/// Distinguishes the payloads of a job whose id was used again. The same on all machines.
std::uint64_t PayloadDigest(std::string_view payload);

std::string Encode(const CarrierMessage& message);

/// Errors: `kMalformed` for bytes that are no such message, or one with fields out of range.
Result<CarrierMessage> DecodeCarrierMessage(std::string_view bytes);

}  // namespace chervilspar::rpc
