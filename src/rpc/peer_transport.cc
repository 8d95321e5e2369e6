#include "chervilspar/rpc/peer_transport.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include "rpc/endpoint_address.h"
#include "rpc/incoming_peer.h"
#include "rpc/outgoing_peer.h"

namespace chervilspar::rpc {

namespace asio = boost::asio;

namespace {

class TcpPeerTransport final : public PeerTransport {
 public:
  TcpPeerTransport(asio::io_context& context, asio::ip::tcp::acceptor acceptor,
                   const TransportLimits& limits, Receiver receiver)
      : core(std::make_shared<Core>(context, std::move(acceptor), limits, std::move(receiver))) {
    this->core->Accept();
  }

  ~TcpPeerTransport() override { this->core->Stop(); }

  void Send(const std::string& address, std::string frame) override {
    this->core->Send(address, std::move(frame));
  }

  void Stop() override { this->core->Stop(); }

  TransportCounters Counters() const override { return this->core->Counters(); }

 private:
  /// Kept alive by its pending accept, which may outlast the transport by a moment.
  class Core : public std::enable_shared_from_this<Core> {
   public:
    Core(asio::io_context& context, asio::ip::tcp::acceptor acceptor, const TransportLimits& limits,
         Receiver receiver)
        : context(context),
          acceptor(std::move(acceptor)),
          limits(limits),
          receiver(std::move(receiver)),
          // A frame's buffer grows by doubling.
          budget(std::make_shared<ByteBudget>(
              std::max(limits.arriving_bytes, 3 * limits.frame_bytes))),
          counters(std::make_shared<SharedCounters>()) {}

    void Accept() {
      const std::lock_guard lock(this->mutex);
      if (this->stopped) {
        return;
      }
      this->acceptor.async_accept(
          asio::make_strand(this->context),
          [self = this->shared_from_this()](const boost::system::error_code& error,
                                            asio::ip::tcp::socket socket) {
            if (!error) {
              self->OnAccepted(std::move(socket));
            }
            if (error != asio::error::operation_aborted) {
              self->Accept();
            }
          });
    }

    void Send(const std::string& address, std::string frame) {
      const std::shared_ptr<OutgoingPeer> peer = this->PeerAt(address);
      if (peer == nullptr || frame.size() > this->limits.frame_bytes) {
        ++this->counters->frames_dropped;
        return;
      }
      peer->Send(std::move(frame));
    }

    void Stop() {
      const std::lock_guard lock(this->mutex);
      this->stopped = true;
      boost::system::error_code ignored;
      this->acceptor.close(ignored);
      for (const auto& [address, peer] : this->outgoing) {
        peer->Stop();
      }
      for (const std::weak_ptr<IncomingPeer>& peer : this->incoming) {
        if (const auto alive = peer.lock()) {
          alive->Close();
        }
      }
    }

    TransportCounters Counters() const {
      return {this->counters->frames_sent,     this->counters->bytes_sent,
              this->counters->frames_received, this->counters->bytes_received,
              this->counters->frames_dropped,  this->counters->bad_frames};
    }

   private:
    void OnAccepted(asio::ip::tcp::socket socket) {
      const std::lock_guard lock(this->mutex);
      std::erase_if(this->incoming, [](const auto& peer) { return peer.expired(); });
      if (this->stopped || this->incoming.size() >= this->limits.connections) {
        return;
      }
      auto peer = std::make_shared<IncomingPeer>(std::move(socket), this->limits, this->budget,
                                                 this->counters, this->receiver);
      this->incoming.push_back(peer);
      peer->Start();
    }

    std::shared_ptr<OutgoingPeer> PeerAt(const std::string& address) {
      const std::lock_guard lock(this->mutex);
      const auto found = this->outgoing.find(address);
      if (found != this->outgoing.end()) {
        return found->second;
      }
      const auto endpoint = ParseEndpoint(address);
      if (!endpoint || this->stopped) {
        return nullptr;
      }
      auto peer =
          std::make_shared<OutgoingPeer>(this->context, *endpoint, this->limits, this->counters);
      this->outgoing.emplace(address, peer);
      return peer;
    }

    asio::io_context& context;
    asio::ip::tcp::acceptor acceptor;
    const TransportLimits limits;
    Receiver receiver;
    std::shared_ptr<ByteBudget> budget;
    std::shared_ptr<SharedCounters> counters;
    mutable std::mutex mutex;
    bool stopped = false;
    std::map<std::string, std::shared_ptr<OutgoingPeer>> outgoing;
    std::vector<std::weak_ptr<IncomingPeer>> incoming;
  };

  std::shared_ptr<Core> core;
};

}  // namespace

Result<std::unique_ptr<PeerTransport>> OpenPeerTransport(asio::io_context& context,
                                                         const std::string& listen_address,
                                                         const TransportLimits& limits,
                                                         PeerTransport::Receiver receiver) {
  const auto endpoint = ParseEndpoint(listen_address);
  if (!endpoint) {
    return endpoint.LastReason();
  }
  asio::ip::tcp::acceptor acceptor(asio::make_strand(context));
  boost::system::error_code error;
  acceptor.open(endpoint->protocol(), error);
  acceptor.set_option(asio::socket_base::reuse_address(true), error);
  acceptor.bind(*endpoint, error);
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Reason{ErrorCode::kUnavailable, "peer-address",
                  "can't listen on " + listen_address + ": " + error.message()};
  }
  return std::unique_ptr<PeerTransport>(std::make_unique<TcpPeerTransport>(
      context, std::move(acceptor), limits, std::move(receiver)));
}

}  // namespace chervilspar::rpc
