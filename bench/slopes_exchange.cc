#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "chervilspar/rpc/peer_message.h"

#include "bench/slopes.h"

namespace chervilspar::bench {

namespace {

/// Heartbeats and reports a second to each peer, as the entry's settings have them.
constexpr double kMessagesASecond = 4.0;
/// Each frame's length prefix; TCP and IP headers are not counted.
constexpr double kFrameBytes = 4.0;
constexpr int kRuns = 101;

/// Numbers of the length that they have after some months.
constexpr std::int64_t kUsualOffset = 3'000'000;

membership::Heartbeat UsualHeartbeat() {
  membership::Heartbeat heartbeat;
  heartbeat.from = EntryId{"entry-17"};
  heartbeat.zone = ZoneId{"zone-5"};
  heartbeat.next_offset = kUsualOffset;
  heartbeat.applied_version = kUsualOffset / 10;
  heartbeat.settled_version = kUsualOffset / 10;
  heartbeat.applied_by_all = kUsualOffset / 10;
  heartbeat.settled_by_all = kUsualOffset / 10;
  heartbeat.sent_at.wall = WallTime(std::chrono::seconds(1'800'000'000));
  return heartbeat;
}

scheduling::ShardReport MakeReport(std::uint32_t service, std::uint32_t teams,
                                   std::uint32_t endpoints) {
  scheduling::ShardReport report;
  report.service = ServiceId{"service-" + std::to_string(service)};
  for (std::uint32_t i = 0; i < teams; ++i) {
    report.teams.push_back({TeamId{"team-" + std::to_string(i)}, 12 + i % 90, 3 + i % 7});
  }
  for (std::uint32_t i = 0; i < endpoints; ++i) {
    report.endpoints.push_back({VmId{"vm-" + std::to_string(service * 30 + i)}, 1 + i % 8});
  }
  return report;
}

/// Reports of `services`, each with teams at work and endpoints with tasks in flight.
rpc::PeerMessage MakeReports(std::uint32_t services, std::uint32_t teams, std::uint32_t endpoints) {
  rpc::ShardReports reports;
  reports.zone = ZoneId{"zone-5"};
  for (std::uint32_t i = 0; i < services; ++i) {
    reports.reports.push_back(MakeReport(i, teams, endpoints));
  }
  return rpc::PeerMessage{EntryId{"entry-17"}, std::move(reports)};
}

double SizeOf(const rpc::PeerMessage& message) {
  return static_cast<double>(rpc::Encode(message).size()) + kFrameBytes;
}

double HeartbeatBytes() { return SizeOf({EntryId{"entry-17"}, UsualHeartbeat()}); }

/// Bytes a second that one entry sends to all others.
double SentASecond(double entries, const rpc::PeerMessage& reports) {
  return (entries - 1) * kMessagesASecond * (HeartbeatBytes() + SizeOf(reports));
}

/// One reading of the platform's VM list in the form that docs/PROTOCOLS.md gives.
double VmListBytes(std::uint32_t vms) {
  std::string text = R"({"sequence":123456,"as_of_unix_ms":1800000000000,"vms":[)";
  for (std::uint32_t i = 0; i < vms; ++i) {
    text += R"({"vm":"vm-)" + std::to_string(i) + R"(","state":"live","address":"10.0.)" +
            std::to_string(i / 250) + '.' + std::to_string(i % 250) + R"(:9000"},)";
  }
  return static_cast<double>(text.size() + 1);
}

/// What entries send one another, with the real encoding, at full load: every team at work in every
/// service and every endpoint busy.
class ExchangeSlopes final : public Experiment {
 public:
  std::string Name() const override { return "slopes-exchange"; }

  void Run(const Options& options) override {
    std::printf("  heartbeat: %.0f bytes\n", HeartbeatBytes());
    Slope entries{
        "sent by one entry, 5 services, 6 teams, 10 endpoints each", "bytes/s", "entries", {}};
    for (const double count : {3, 6, 9, 18, 36, 72}) {
      entries.points.push_back({count, SentASecond(count, MakeReports(5, 6, 10))});
    }
    Slope teams{"reports of 5 services with 10 endpoints", "bytes", "teams at work", {}};
    for (const std::uint32_t count : {6U, 35U, 70U, 140U, 280U, 560U}) {
      teams.points.push_back({static_cast<double>(count), SizeOf(MakeReports(5, count, 10))});
    }
    Slope endpoints{"report of one service, 6 teams", "bytes", "endpoints", {}};
    for (const std::uint32_t count : {10U, 30U, 60U, 120U, 240U}) {
      endpoints.points.push_back({static_cast<double>(count), SizeOf(MakeReports(1, 6, count))});
    }
    Slope pools{"reports, 6 teams and 30 endpoints a service", "bytes", "services", {}};
    Slope encode{"reports encoded", "us", "services", {}};
    Slope decode{"reports decoded", "us", "services", {}};
    for (const std::uint32_t count : {5U, 37U, 74U, 148U, 295U}) {
      const rpc::PeerMessage message = MakeReports(count, 6, 30);
      const std::string bytes = rpc::Encode(message);
      const double size = count;
      pools.points.push_back({size, SizeOf(message)});
      encode.points.push_back(
          {size, MedianMicroseconds(kRuns, [&] { (void)rpc::Encode(message); })});
      decode.points.push_back(
          {size, MedianMicroseconds(kRuns, [&] { (void)rpc::Decode(bytes).Value(); })});
    }
    Slope list{"one reading of the VM list", "bytes", "VMs", {}};
    for (const std::uint32_t vms : {550U, 1100U, 2200U, 4400U, 8800U}) {
      list.points.push_back({static_cast<double>(vms), VmListBytes(vms)});
    }
    for (const Slope& slope : {entries, teams, endpoints, pools, encode, decode, list}) {
      ReportSlope(slope, options.out_dir);
    }
    PrintPlans();
  }

 private:
  /// What the exchange comes to at the size planned for, for ways to organise it. The 295 services
  /// of 30 VMs are spread over 18 entries in 6 zones of 3 regions.
  static void PrintPlans() {
    constexpr double kEntries = 18;
    const rpc::PeerMessage all = MakeReports(295, 20, 30);
    const rpc::PeerMessage in_region = MakeReports(98, 20, 30);
    // An entry's own tasks at one service: a few endpoints and teams at a time.
    const rpc::PeerMessage own_part = MakeReports(98, 4, 5);
    const rpc::PeerMessage sums = MakeReports(98, 20, 0);
    std::printf(
        "  at 18 entries, bytes/s sent by one entry (20 of 560 teams at work a service):\n");
    std::printf("    everyone to everyone, 4/s, every entry at work on all endpoints: %.0f\n",
                SentASecond(kEntries, all));
    std::printf("    reports only to the 5 others of the region, 4/s:                 %.0f\n",
                5 * kMessagesASecond * SizeOf(in_region));
    std::printf("    the same, only own tasks in flight (4 teams, 5 endpoints):       %.0f\n",
                5 * kMessagesASecond * SizeOf(own_part));
    std::printf("    the same, to the 2 others of the zone 4/s:                       %.0f\n",
                2 * kMessagesASecond * SizeOf(own_part));
    std::printf("    sums of teams without endpoints, one peer, once a second:        %.0f\n",
                SizeOf(sums));
    std::printf("    half of the region's services (49), 2 peers, every 2 s:           %.0f\n",
                2 * 0.5 * SizeOf(MakeReports(49, 4, 5)));
    std::printf("    heartbeats to 17 entries, 4/s:                                   %.0f\n",
                17 * kMessagesASecond * HeartbeatBytes());
    std::printf("    heartbeats to 5 entries, 2/s:                                    %.0f\n",
                5 * 2 * HeartbeatBytes());
  }
};

}  // namespace

void AddExchangeSlopes(ExperimentList& list) { list.push_back(std::make_unique<ExchangeSlopes>()); }

}  // namespace chervilspar::bench
