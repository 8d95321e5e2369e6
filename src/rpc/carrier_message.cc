#include "chervilspar/rpc/carrier_message.h"

#include <limits>
#include <map>
#include <utility>

#include "rpc/compact_codec.h"
#include "rpc/gen/carrier_types.h"

namespace chervilspar::rpc {

namespace {

constexpr std::int32_t kMostPort = 65535;
constexpr std::int32_t kLongestSpanMs = 60000;
constexpr std::int32_t kMinStatus = 100;
constexpr std::int32_t kMaxStatus = 599;
/// The place of a payload that isn't in the batch. Versions that know no kept payloads refuse it,
/// rather than start a task without its payload.
constexpr std::int32_t kNoPayload = -1;

std::int32_t ToMilliseconds(Duration span) {
  return static_cast<std::int32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

gen::WireRun ToWire(const jobs::TaskKey& task, std::uint64_t run) {
  gen::WireRun wire;
  wire.job = static_cast<std::int64_t>(task.job.number);
  wire.occurrence = static_cast<std::int32_t>(task.occurrence);
  wire.step = static_cast<std::int32_t>(task.step);
  wire.index = static_cast<std::int32_t>(task.index);
  wire.run = static_cast<std::int64_t>(run);
  if (task.job.capitals != 0) {
    wire.__set_job_capitals(task.job.capitals);
  }
  return wire;
}

/// Writes a batch of orders; endpoints and payloads that several orders name stand in it once.
class OrderBatchWriter {
 public:
  gen::WireOrderBatch Write(const OrderBatch& batch) {
    this->wire.reply_address = batch.reply_address;
    this->wire.timeout = ToMilliseconds(batch.timeout);
    if (batch.answer_delay) {
      this->wire.__set_answer_delay(ToMilliseconds(*batch.answer_delay));
    }
    for (const Carried<jobs::StartOrder>& start : batch.starts) {
      this->AddStart(start);
    }
    for (const auto& [number, order, kept] : batch.stops) {
      gen::WireStop& stop = this->wire.stops.emplace_back();
      this->SetCommon(number, order, stop);
      stop.run = ToWire(order.task, order.run);
    }
    for (const auto& [number, order, kept] : batch.paces) {
      gen::WirePace& pace = this->wire.paces.emplace_back();
      this->SetCommon(number, order, pace);
      pace.run = ToWire(order.task, order.run);
      pace.percent = order.percent;
    }
    for (const auto& [number, order, kept] : batch.holds) {
      this->AddHold(number, order);
    }
    return std::move(this->wire);
  }

 private:
  template <typename Order, typename WireOrder>
  void SetCommon(std::uint64_t number, const Order& order, WireOrder& wire_order) {
    wire_order.number = static_cast<std::int64_t>(number);
    wire_order.target = this->TargetOf(order.endpoint, order.address);
    wire_order.token = static_cast<std::int64_t>(order.token);
  }

  void AddStart(const Carried<jobs::StartOrder>& carried) {
    const jobs::StartOrder& order = carried.order;
    gen::WireStart& start = this->wire.starts.emplace_back();
    this->SetCommon(carried.number, order, start);
    start.run = ToWire(order.task, order.run);
    if (carried.kept_payload) {
      start.payload = kNoPayload;
      start.__set_kept_payload(static_cast<std::int64_t>(*carried.kept_payload));
    } else {
      start.payload = this->PayloadOf(order.payload);
    }
    start.lease_end = order.lease_end_ms;
    if (!order.checkpoint.empty()) {
      start.__set_checkpoint(order.checkpoint);
    }
    if (!order.ticket.empty()) {
      start.__set_ticket(order.ticket);
    }
  }

  void AddHold(std::uint64_t number, const jobs::RenewalOrder& order) {
    gen::WireHold& hold = this->wire.holds.emplace_back();
    this->SetCommon(number, order, hold);
    hold.confirmed_end = static_cast<std::int64_t>(order.confirmed_end);
    hold.wait = ToMilliseconds(order.wait);
    if (order.lease_end_ms) {
      hold.__set_lease_end(*order.lease_end_ms);
    }
  }

  std::int32_t TargetOf(const std::string& endpoint, const SocketAddress& address) {
    const auto next = static_cast<std::int32_t>(this->wire.targets.size());
    const auto [place, is_new] = this->targets.try_emplace(endpoint, next);
    if (is_new) {
      gen::WireTarget& target = this->wire.targets.emplace_back();
      target.endpoint = endpoint;
      target.ip = address.ip;
      target.port = address.port;
    }
    return place->second;
  }

  std::int32_t PayloadOf(const std::string& payload) {
    const auto next = static_cast<std::int32_t>(this->wire.payloads.size());
    const auto [place, is_new] = this->payloads.try_emplace(payload, next);
    if (is_new) {
      this->wire.payloads.push_back(payload);
    }
    return place->second;
  }

  gen::WireOrderBatch wire;
  std::map<std::string, std::int32_t> targets;
  std::map<std::string_view, std::int32_t> payloads;
};

gen::WireReport ToWire(const jobs::RenewalReport& report) {
  gen::WireReport wire;
  wire.clock = report.clock_ms;
  wire.born = report.born_ms;
  for (const jobs::ActiveRun& run : report.active) {
    gen::WireActive& active = wire.active.emplace_back();
    active.run = ToWire(run.task, run.run);
    active.percent = run.percent;
    active.gauge = run.gauge;
    if (!run.checkpoint.empty()) {
      active.__set_checkpoint(run.checkpoint);
    }
  }
  for (const jobs::EndedRun& run : report.ended) {
    gen::WireEnded& ended = wire.ended.emplace_back();
    ended.number = static_cast<std::int64_t>(run.number);
    ended.run = ToWire(run.task, run.run);
    ended.ending = static_cast<std::int32_t>(run.end);
    if (!run.checkpoint.empty()) {
      ended.__set_checkpoint(run.checkpoint);
    }
  }
  return wire;
}

/// A field out of range; names it.
struct BadField {
  Reason reason;
};

[[noreturn]] void Fail(const char* field, const char* message) {
  throw BadField{{ErrorCode::kMalformed, field, message}};
}

jobs::TaskKey TaskOf(const gen::WireRun& run) {
  if (run.occurrence < 0 || run.step < 0 || run.index < 0) {
    Fail("run", "has a negative part");
  }
  const std::int32_t capitals = run.__isset.job_capitals ? run.job_capitals : 0;
  if (capitals < 0 || capitals > std::numeric_limits<std::uint16_t>::max()) {
    Fail("job_capitals", "has more bits than an id has digits");
  }
  return {jobs::JobId{static_cast<std::uint64_t>(run.job), static_cast<std::uint16_t>(capitals)},
          static_cast<std::uint32_t>(run.occurrence), static_cast<std::uint32_t>(run.step),
          static_cast<std::uint32_t>(run.index)};
}

template <typename Enum>
Enum EnumOf(std::int32_t value, Enum last, const char* field) {
  if (value < 0 || value > static_cast<std::int32_t>(last)) {
    Fail(field, "is not one of the known values");
  }
  return static_cast<Enum>(value);
}

/// Sets what all orders have.
template <typename Order, typename WireOrder>
Carried<Order> CommonOf(const gen::WireOrderBatch& batch, const WireOrder& wire) {
  if (wire.target < 0 || static_cast<std::size_t>(wire.target) >= batch.targets.size()) {
    Fail("target", "is not in the list of endpoints");
  }
  const gen::WireTarget& target = batch.targets[static_cast<std::size_t>(wire.target)];
  if (target.port < 0 || target.port > kMostPort) {
    Fail("port", "should be from 0 to 65535");
  }
  Carried<Order> carried;
  carried.number = static_cast<std::uint64_t>(wire.number);
  carried.order.endpoint = target.endpoint;
  carried.order.address = {target.ip, static_cast<std::uint16_t>(target.port)};
  carried.order.token = static_cast<std::uint64_t>(wire.token);
  return carried;
}

Duration SpanOf(std::int32_t milliseconds, const char* field) {
  if (milliseconds < 0 || milliseconds > kLongestSpanMs) {
    Fail(field, "should be from 0 to 60000 ms");
  }
  return std::chrono::milliseconds(milliseconds);
}

OrderBatch FromWire(const gen::WireOrderBatch& wire) {
  OrderBatch batch;
  batch.reply_address = wire.reply_address;
  batch.timeout = SpanOf(wire.timeout, "timeout");
  if (wire.__isset.answer_delay) {
    batch.answer_delay = SpanOf(wire.answer_delay, "answer_delay");
  }
  for (const gen::WireStart& start : wire.starts) {
    auto carried = CommonOf<jobs::StartOrder>(wire, start);
    if (start.__isset.kept_payload) {
      carried.kept_payload = static_cast<std::uint64_t>(start.kept_payload);
    } else if (start.payload < 0 ||
               static_cast<std::size_t>(start.payload) >= wire.payloads.size()) {
      Fail("payload", "is not in the list of payloads");
    } else {
      carried.order.payload = wire.payloads[static_cast<std::size_t>(start.payload)];
    }
    carried.order.task = TaskOf(start.run);
    carried.order.run = static_cast<std::uint64_t>(start.run.run);
    carried.order.checkpoint = start.checkpoint;
    carried.order.ticket = start.ticket;
    carried.order.lease_end_ms = start.lease_end;
    batch.starts.push_back(std::move(carried));
  }
  for (const gen::WireStop& stop : wire.stops) {
    auto carried = CommonOf<jobs::StopOrder>(wire, stop);
    carried.order.task = TaskOf(stop.run);
    carried.order.run = static_cast<std::uint64_t>(stop.run.run);
    batch.stops.push_back(std::move(carried));
  }
  for (const gen::WirePace& pace : wire.paces) {
    auto carried = CommonOf<jobs::ThrottleOrder>(wire, pace);
    carried.order.task = TaskOf(pace.run);
    carried.order.run = static_cast<std::uint64_t>(pace.run.run);
    carried.order.percent = pace.percent;
    batch.paces.push_back(std::move(carried));
  }
  for (const gen::WireHold& hold : wire.holds) {
    auto carried = CommonOf<jobs::RenewalOrder>(wire, hold);
    carried.order.confirmed_end = static_cast<std::uint64_t>(hold.confirmed_end);
    carried.order.wait = SpanOf(hold.wait, "wait");
    if (hold.__isset.lease_end) {
      carried.order.lease_end_ms = hold.lease_end;
    }
    batch.holds.push_back(std::move(carried));
  }
  return batch;
}

jobs::RenewalReport FromWire(const gen::WireReport& wire) {
  jobs::RenewalReport report;
  report.clock_ms = wire.clock;
  report.born_ms = wire.born;
  for (const gen::WireActive& active : wire.active) {
    report.active.push_back({TaskOf(active.run), static_cast<std::uint64_t>(active.run.run),
                             active.checkpoint, active.percent, active.gauge});
  }
  for (const gen::WireEnded& ended : wire.ended) {
    report.ended.push_back({static_cast<std::uint64_t>(ended.number), TaskOf(ended.run),
                            static_cast<std::uint64_t>(ended.run.run),
                            EnumOf(ended.ending, jobs::RunEnd::kGangIncomplete, "ending"),
                            ended.checkpoint});
  }
  return report;
}

CarriedAnswers FromWire(const std::vector<gen::WireAnswer>& wire) {
  CarriedAnswers answers;
  for (const gen::WireAnswer& answer : wire) {
    CarriedAnswer read{static_cast<std::uint64_t>(answer.number),
                       EnumOf(answer.outcome, jobs::OrderOutcome::kPayloadMissing, "outcome"),
                       std::nullopt, answer.__isset.keeps_payload && answer.keeps_payload,
                       std::nullopt};
    if (answer.__isset.clock) {
      read.clock_ms = answer.clock;
    }
    if (answer.__isset.report) {
      read.report = FromWire(answer.report);
    }
    answers.push_back(std::move(read));
  }
  return answers;
}

}  // namespace

/// FNV-1a.
std::uint64_t PayloadDigest(std::string_view payload) {
  constexpr std::uint64_t kOffset = 0xcbf29ce484222325U;
  constexpr std::uint64_t kPrime = 0x100000001b3U;
  std::uint64_t digest = kOffset;
  for (const char byte : payload) {
    digest = (digest ^ static_cast<unsigned char>(byte)) * kPrime;
  }
  return digest;
}

namespace {

gen::WireQuestionBatch ToWire(const QuestionBatch& batch) {
  gen::WireQuestionBatch wire;
  wire.reply_address = batch.reply_address;
  wire.owner_address = batch.owner_address;
  for (const Question& question : batch.questions) {
    gen::WireQuestion& written = wire.questions.emplace_back();
    written.number = static_cast<std::int64_t>(question.number);
    written.target = question.target;
    written.body = question.body;
  }
  return wire;
}

std::vector<gen::WireReply> ToWire(const Replies& replies) {
  std::vector<gen::WireReply> wire;
  for (const Reply& reply : replies) {
    gen::WireReply& written = wire.emplace_back();
    written.number = static_cast<std::int64_t>(reply.number);
    written.status = static_cast<std::int32_t>(reply.status);
    written.body = reply.body;
  }
  return wire;
}

QuestionBatch FromWire(gen::WireQuestionBatch wire) {
  QuestionBatch batch{std::move(wire.reply_address), std::move(wire.owner_address), {}};
  for (gen::WireQuestion& question : wire.questions) {
    batch.questions.push_back({static_cast<std::uint64_t>(question.number),
                               std::move(question.target), std::move(question.body)});
  }
  return batch;
}

Replies FromWire(std::vector<gen::WireReply> wire) {
  Replies replies;
  for (gen::WireReply& reply : wire) {
    if (reply.status < kMinStatus || reply.status > kMaxStatus) {
      Fail("status", "is not an HTTP status");
    }
    replies.push_back({static_cast<std::uint64_t>(reply.number),
                       static_cast<unsigned>(reply.status), std::move(reply.body)});
  }
  return replies;
}

}  // namespace

std::string Encode(const CarrierMessage& message) {
  gen::WireCarrierMessage wire;
  if (const QuestionBatch* questions = std::get_if<QuestionBatch>(&message)) {
    wire.__set_questions(ToWire(*questions));
    return EncodeCompact(wire);
  }
  if (const Replies* replies = std::get_if<Replies>(&message)) {
    wire.__set_replies(ToWire(*replies));
    return EncodeCompact(wire);
  }
  if (const OrderBatch* batch = std::get_if<OrderBatch>(&message)) {
    wire.batch = OrderBatchWriter().Write(*batch);
    wire.__isset.batch = true;
    return EncodeCompact(wire);
  }
  const CarriedAnswers& answers = std::get<CarriedAnswers>(message);
  wire.__isset.answers = true;
  wire.answers.reserve(answers.size());
  for (const CarriedAnswer& answer : answers) {
    gen::WireAnswer& written = wire.answers.emplace_back();
    written.number = static_cast<std::int64_t>(answer.number);
    written.outcome = static_cast<std::int32_t>(answer.outcome);
    if (answer.report) {
      written.report = ToWire(*answer.report);
      written.__isset.report = true;
    }
    if (answer.keeps_payload) {
      written.__set_keeps_payload(true);
    }
    if (answer.clock_ms) {
      written.__set_clock(*answer.clock_ms);
    }
  }
  return EncodeCompact(wire);
}

Result<CarrierMessage> DecodeCarrierMessage(std::string_view bytes) {
  const Result<gen::WireCarrierMessage> wire =
      DecodeCompact<gen::WireCarrierMessage>(bytes, "carrier-message");
  if (!wire) {
    return wire.LastReason();
  }
  try {
    if (wire->__isset.batch) {
      return CarrierMessage(FromWire(wire->batch));
    }
    if (wire->__isset.answers) {
      return CarrierMessage(FromWire(wire->answers));
    }
    if (wire->__isset.questions) {
      return CarrierMessage(FromWire(wire->questions));
    }
    if (wire->__isset.replies) {
      return CarrierMessage(FromWire(wire->replies));
    }
  } catch (const BadField& bad) {
    return bad.reason;
  }
  return Reason{ErrorCode::kMalformed, "carrier-message",
                "has neither orders nor answers, questions or replies"};
}

}  // namespace chervilspar::rpc
