#include "job_entry/endpoint_registry.h"

#include <boost/asio/co_spawn.hpp>
#include <gtest/gtest.h>

#include "tests/job_entry/fake_fleet.h"

namespace chervilspar::job_entry {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

class RegistryTest : public ::testing::Test {
 protected:
  RegistryTest()
      : fleet(this->io, 2),
        entry(this->io, this->fleet.store, this->fleet.endpoints, this->fleet.vms, "a"),
        registry(this->entry.context, [this] { ++this->changes; }) {
    asio::co_spawn(
        this->io,
        [this]() -> asio::awaitable<void> {
          this->is_loaded = co_await this->registry.Load();
          this->registry.Follow();
        },
        asio::detached);
    this->io.run_for(milliseconds(100));
  }

  void Write(const std::string& key, std::optional<std::string> value) {
    this->fleet.store.At(Topic::kEndpoints, 0).records.push_back({key, std::move(value)});
  }

  asio::io_context io;
  FakeFleet fleet;
  FakeEntry entry;
  int changes = 0;
  bool is_loaded = false;
  EndpointRegistry registry;
};

/// Guards against endpoints that become known late: one registers when its VM is up, and each 100
/// ms of delay counts for the work that waits for it.
TEST_F(RegistryTest, FollowsRegistrationsAndRemovals) {
  ASSERT_TRUE(this->is_loaded);
  EXPECT_EQ(this->registry.Count(), 2U);
  this->Write("i7", "x");
  this->Write("i0", std::nullopt);
  this->io.run_for(milliseconds(300));
  ASSERT_EQ(this->registry.Count(), 2U);
  EXPECT_EQ(this->registry.Endpoints()[0].id, "i1");
  EXPECT_EQ(this->registry.Endpoints()[1].id, "i7");
  EXPECT_GE(this->changes, 1);
}

/// Guards against a registry that stops following the list at a record that it can't read.
TEST_F(RegistryTest, GoesOnAfterAnUnreadableRecord) {
  this->Write("odd", "?");
  this->Write("", "?");
  this->Write("i1", "?");
  this->Write("i7", "x");
  this->io.run_for(milliseconds(300));
  ASSERT_EQ(this->registry.Count(), 2U);
  EXPECT_EQ(this->registry.Endpoints()[0].id, "i0");
  EXPECT_EQ(this->registry.Endpoints()[1].id, "i7");
  this->Write("i1", "x");
  this->io.run_for(milliseconds(300));
  EXPECT_EQ(this->registry.Count(), 3U);
}

/// Guards against renewed registrations that count as changes: endpoints renew theirs every second
/// or two, and each change causes a pass over all endpoints.
TEST_F(RegistryTest, ReportsOnlyChanges) {
  this->Write("i0", "x");
  this->Write("i1", "x");
  this->io.run_for(milliseconds(300));
  EXPECT_EQ(this->changes, 0);
}

/// Guards against a registry that drops all endpoints after an outage of the store that exceeds the
/// lifetime of registrations: nothing could be placed until they have registered again.
TEST_F(RegistryTest, KeepsLapsedRegistrationsAfterAnOutage) {
  this->entry.store->is_disconnected = true;
  this->io.run_for(milliseconds(2500));
  this->Write("i0", std::nullopt);
  this->Write("i1", std::nullopt);
  this->entry.store->is_disconnected = false;
  this->io.run_for(milliseconds(1800));
  EXPECT_EQ(this->registry.Count(), 2U);
  this->Write("i1", "x");
  this->io.run_for(milliseconds(2500));
  this->registry.DropLapsed();
  ASSERT_EQ(this->registry.Count(), 1U);
  EXPECT_EQ(this->registry.Endpoints()[0].id, "i1");
}

}  // namespace
}  // namespace chervilspar::job_entry
