#include <optional>

#include <gtest/gtest.h>

#include "chervilspar/base/random.h"
#include "chervilspar/dispatch/service_shard.h"

namespace chervilspar::dispatch {
namespace {

// A fleet starts: callers ask before the first VM has been seen, and are refused. When the VMs are
// there a moment later, the next request must start. It would otherwise wait in an idle fleet until
// its deadline, and the service looks dead to its callers.
TEST(LateEndpoints, TheFirstRequestAfterTheyComeStartsAtOnce) {
  SeededRandom random(1);
  scheduling::OpenGate gate;
  ServiceShard shard(ServiceId{"booking"}, EntryId{"e1"}, ZoneId{"a"});
  TimePoint now{std::chrono::hours(5)};
  shard.SetTeams({{TeamId{"t1"}, 1.0, scheduling::UrgentPermission::kDenied}}, now);
  shard.SetEndpoints({}, now);
  admission::Ticket ticket;
  ticket.team = TeamId{"t1"};
  for (std::uint64_t number = 1; number <= 8; ++number) {
    now += std::chrono::milliseconds(100);
    ticket.id = admission::TicketId{number};
    ticket.arrived = now;
    ticket.deadline = now + std::chrono::seconds(10);
    ASSERT_FALSE(shard.Admit(ticket, now, random).IsAccepted());
    shard.LocalReport(now);
  }
  now += std::chrono::milliseconds(100);
  shard.SetEndpoints({{VmId{"v1"}, ZoneId{"a"}, 8, {}},
                      {VmId{"v2"}, ZoneId{"b"}, 8, {}},
                      {VmId{"v3"}, ZoneId{"c"}, 8, {}}},
                     now);
  now += std::chrono::milliseconds(100);
  ticket.id = admission::TicketId{100};
  ticket.arrived = now;
  ticket.deadline = now + std::chrono::seconds(10);
  ASSERT_TRUE(shard.Admit(ticket, now, random).IsAccepted());
  std::optional<Start> start;
  for (int i = 0; i < 100 && !start; ++i) {
    start = shard.Next(now, gate, random);
    now += std::chrono::milliseconds(10);
  }
  EXPECT_TRUE(start.has_value());
}

}  // namespace
}  // namespace chervilspar::dispatch
