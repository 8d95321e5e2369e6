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
  links.fleet_observer = &this->endpoints;
  return Done{};
}

void OrderExchange::SetMayStart(std::function<bool()> may_start) {
  if (this->carrier) {
    this->carrier->SetMayStart(std::move(may_start));
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
  Result<rpc::CarrierMessage> message = rpc::DecodeCarrierMessage(frame);
  if (!message) {
    this->context.metrics.Count({"chervilspar_carrier_messages_unreadable_total", {}});
    LogEvent(telemetry::LogLevel::kWarning, "carrier_message_unreadable",
             ToString(message.LastReason()), {{"bytes", std::to_string(frame.size())}});
    return;
  }
  if (const rpc::OrderBatch* batch = std::get_if<rpc::OrderBatch>(&*message)) {
    this->carrier->OnBatch(*batch);
  } else {
    this->endpoints.OnAnswers(std::get<rpc::CarriedAnswers>(*std::move(message)));
  }
}

}  // namespace chervilspar::job_entry
