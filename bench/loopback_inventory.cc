#include "bench/loopback_inventory.h"

#include <fstream>

#include "chervilspar/inventory/document.h"

#include "bench/big_inventory.h"

namespace chervilspar::bench {

namespace {

constexpr std::uint32_t kFirstPeerPort = 21000;
constexpr std::uint32_t kFirstHttpPort = 22000;

std::string Loopback(std::uint32_t port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

Status WriteLoopbackInventory(const std::string& path, std::uint32_t vms, std::uint32_t entries) {
  FleetShape shape = ScaledShape(vms);
  shape.entries = entries;
  inventory::Inventory fleet = MakeBigInventory(shape);
  for (std::uint32_t i = 0; i < entries; ++i) {
    inventory::EntryVm& entry = fleet.entries.at(EntryId{"entry-" + std::to_string(i)});
    entry.peer_address = Loopback(kFirstPeerPort + i);
    entry.http_address = Loopback(kFirstHttpPort + i);
  }
  fleet.maintenance.every = Duration::zero();
  std::ofstream out(path);
  out << inventory::Serialize(fleet);
  if (!out.flush()) {
    return Reason{ErrorCode::kUnavailable, "--write-inventory", "can't write " + path};
  }
  return Done{};
}

}  // namespace chervilspar::bench
