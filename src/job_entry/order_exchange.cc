#include "job_entry/order_exchange.h"

namespace chervilspar::job_entry {

namespace {

/// A frame holds the orders of a few milliseconds: some hundred starts with payloads of up to 4,000
/// bytes.
constexpr std::size_t kMaxFrameBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t kMaxQueueBytes = std::size_t{4} * 1024 * 1024;
/// All entries of a large fleet may connect to one owner.
constexpr std::size_t kMaxConnections = 512;
/// Close to the timeout of an order.
constexpr Duration kWriteTimeout = std::chrono::milliseconds(700);

}  // namespace

Status OrderExchange::Open(Links& links) {
  if (!this->context.settings.carrier) {
    return Done{};
  }
  rpc::TransportLimits limits;
  limits.frame_bytes = kMaxFrameBytes;
  limits.queue_bytes = kMaxQueueBytes;
  limits.arriving_bytes = this->context.settings.max_pending_bytes;
  limits.connections = kMaxConnections;
  limits.write_timeout = kWriteTimeout;
  const std::string address = ToString(*this->context.settings.carrier);
  auto opened = rpc::OpenPeerTransport(this->context.io, address, limits,
                                       [this](const std::string& frame) { this->OnFrame(frame); });
  if (!opened) {
    return opened.LastReason();
  }
  this->transport = std::move(opened).Value();
  this->carrier.emplace(this->context, this->endpoints.Direct(), *this->transport);
  this->endpoints.Open(*this->transport, address);
  this->questions.emplace(this->context, *this->transport, address);
  links.fleet_observer = &this->endpoints;
  links.owner_questions = &*this->questions;
  return Done{};
}

void OrderExchange::SetMayStart(std::function<bool()> may_start) {
  if (this->carrier) {
    this->carrier->SetMayStart(std::move(may_start));
  }
}

void OrderExchange::SetAnswerer(QuestionExchange::Answerer answerer) {
  if (this->questions) {
    this->questions->SetAnswerer(std::move(answerer));
  }
}

OrderExchange::Traffic OrderExchange::CarriedTraffic() const {
  if (this->transport == nullptr) {
    return {};
  }
  const rpc::TransportCounters counters = this->transport->Counters();
  return {counters.frames_sent, counters.frames_received, counters.bytes_sent,
          counters.bytes_received};
}

void OrderExchange::Close() {
  this->is_closed = true;
  if (this->transport != nullptr) {
    this->transport->Stop();
  }
}

void OrderExchange::OnFrame(const std::string& frame) {
  if (this->is_closed) {
    return;
  }
  const auto span = this->context.Measure(telemetry::WorkPart::kCarry);
  Result<rpc::CarrierMessage> decoded = rpc::DecodeCarrierMessage(frame);
  if (!decoded) {
    this->context.metrics.Count({"chervilspar_carrier_messages_unreadable_total", {}});
    LogEvent(telemetry::LogLevel::kWarning, "carrier_message_unreadable",
             ToString(decoded.LastReason()), {{"bytes", std::to_string(frame.size())}});
    return;
  }
  rpc::CarrierMessage message = *std::move(decoded);
  if (const auto* batch = std::get_if<rpc::OrderBatch>(&message)) {
    this->carrier->OnBatch(*batch);
  } else if (auto* answers = std::get_if<rpc::CarriedAnswers>(&message)) {
    this->endpoints.OnAnswers(std::move(*answers));
  } else if (const auto* questions = std::get_if<rpc::QuestionBatch>(&message)) {
    this->questions->OnQuestions(*questions);
  } else if (auto* replies = std::get_if<rpc::Replies>(&message)) {
    this->questions->OnReplies(std::move(*replies));
  }
}

}  // namespace chervilspar::job_entry
