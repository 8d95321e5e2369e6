#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "chervilspar/config_log/folder.h"
#include "chervilspar/config_log/record_codec.h"
#include "chervilspar/rpc/peer_message.h"
#include "chervilspar/rpc/peer_transport.h"

#include "bench/big_inventory.h"
#include "bench/slopes.h"

namespace chervilspar::bench {

namespace {

constexpr std::uint32_t kSizes[] = {550, 1100, 2200, 4400, 8800};
constexpr int kRuns = 5;
constexpr double kMicrosecondsPerMs = 1000.0;
constexpr const char* kSender = "127.0.0.1:39471";
constexpr const char* kReceiver = "127.0.0.1:39472";

/// Waits for one frame at a time.
class FrameBox {
 public:
  void Put(std::string frame) {
    const std::lock_guard lock(this->mutex);
    this->frame = std::move(frame);
    this->has_frame = true;
    this->arrived.notify_one();
  }

  std::string Take() {
    std::unique_lock lock(this->mutex);
    this->arrived.wait(lock, [this] { return this->has_frame; });
    this->has_frame = false;
    return std::move(this->frame);
  }

 private:
  std::mutex mutex;
  std::condition_variable arrived;
  std::string frame;
  bool has_frame = false;
};

/// Two ends of the real transport over loopback, served by one thread.
class Link {
 public:
  Link() : work(boost::asio::make_work_guard(this->context)) {
    const rpc::TransportLimits limits;
    auto sender = rpc::OpenPeerTransport(this->context, kSender, limits, [](const std::string&) {});
    auto receiver =
        rpc::OpenPeerTransport(this->context, kReceiver, limits,
                               [this](std::string frame) { this->box.Put(std::move(frame)); });
    this->sender = std::move(sender).Value();
    this->receiver = std::move(receiver).Value();
    this->thread = std::thread([this] { this->context.run(); });
  }

  ~Link() {
    this->sender->Stop();
    this->receiver->Stop();
    this->work.reset();
    this->context.stop();
    this->thread.join();
  }

  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  std::string Carry(std::string frame) {
    this->sender->Send(kReceiver, std::move(frame));
    return this->box.Take();
  }

 private:
  boost::asio::io_context context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  FrameBox box;
  std::unique_ptr<rpc::PeerTransport> sender;
  std::unique_ptr<rpc::PeerTransport> receiver;
  std::thread thread;
};

/// How long a new entry takes to have a state that it can serve from.
class StartSlopes final : public Experiment {
 public:
  std::string Name() const override { return "slopes-start"; }

  void Run(const Options& options) override {
    Slope from_log{"start from a snapshot in the log, without the log's own time", "ms", "VMs", {}};
    Slope from_peer{"start from a peer over loopback TCP", "ms", "VMs", {}};
    Slope chunks{"records of a snapshot", "records", "VMs", {}};
    Link link;
    for (const std::uint32_t vms : kSizes) {
      const config_log::FleetState state = MakeBigState(ScaledShape(vms));
      const double size = vms;
      const auto records = config_log::MakeSnapshotRecords(RecordId{"snapshot"}, EntryId{"entry"},
                                                           WallTime(), state);
      std::vector<std::string> texts;
      texts.reserve(records.size());
      for (const config_log::Record& record : records) {
        texts.push_back(config_log::EncodeRecord(record));
      }
      chunks.points.push_back({size, static_cast<double>(records.size())});
      const double log_time = MedianMicroseconds(kRuns, [&] { StartFrom(texts); });
      from_log.points.push_back({size, log_time / kMicrosecondsPerMs});
      const double peer_time = MedianMicroseconds(kRuns, [&] { StartFrom(link, state); });
      from_peer.points.push_back({size, peer_time / kMicrosecondsPerMs});
    }
    for (const Slope& slope : {from_log, from_peer, chunks}) {
      ReportSlope(slope, options.out_dir);
    }
  }

 private:
  static void StartFrom(const std::vector<std::string>& texts) {
    std::string state;
    for (const std::string& text : texts) {
      const auto record = config_log::DecodeRecord(text);
      state += std::get<config_log::SnapshotChunk>(record.Value().body).text;
    }
    config_log::Folder folder(config_log::DecodeState(state).Value());
  }

  static void StartFrom(Link& link, const config_log::FleetState& state) {
    const rpc::PeerMessage message{EntryId{"entry"},
                                   rpc::CatchUpState{config_log::EncodeState(state)}};
    const auto arrived = rpc::Decode(link.Carry(rpc::Encode(message)));
    const auto& body = std::get<rpc::CatchUpState>(arrived.Value().body);
    config_log::Folder folder(config_log::DecodeState(body.state).Value());
  }
};

}  // namespace

void AddStartSlopes(ExperimentList& list) { list.push_back(std::make_unique<StartSlopes>()); }

}  // namespace chervilspar::bench
