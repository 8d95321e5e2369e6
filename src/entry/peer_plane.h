#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chervilspar/membership/membership.h"
#include "chervilspar/rpc/peer_message.h"
#include "chervilspar/rpc/peer_transport.h"

#include "entry/config_plane.h"
#include "entry/endpoint_view.h"
#include "entry/entry_context.h"
#include "entry/limit_keeper.h"
#include "entry/peer_sender.h"
#include "entry/request_ledger.h"
#include "entry/service_plane.h"

namespace chervilspar::entry {

/// The parts of the entry that messages of peers go to.
struct PeerTargets {
  ConfigPlane* config = nullptr;
  LimitKeeper* limits = nullptr;
  RequestLedger* ledger = nullptr;
  ServicePlane* services = nullptr;
};

/// Knows the other entries: sends heartbeats and messages, takes theirs apart and hands them on.
class PeerPlane final : public PeerSender {
 public:
  explicit PeerPlane(const EntryContext& context);

  /// Opens the port for other entries. Call `Connect` before.
  Status Open(boost::asio::io_context& io);
  /// Where messages go; the targets outlive the plane's last message.
  void Connect(const PeerTargets& targets) { this->targets = targets; }
  void Stop();

  void SendTo(const EntryId& entry, rpc::PeerBody body) override;
  bool IsHeard(const EntryId& entry) override;
  /// To every entry that heartbeats go to.
  void Broadcast(const rpc::PeerBody& body);

  void OnState(const config_log::FleetState& state);
  void OnReadToEnd();
  /// Sends heartbeats, notices pauses, asks peers that know more, and tells the modules what all
  /// have confirmed.
  void Heartbeat();
  /// Sends the load of the services.
  void SendReports();

  /// What a view of endpoints may count on.
  std::set<ZoneId> ZonesInAgreement();
  /// Whether any peer was heard within `span`.
  bool WasPeerHeardWithin(Duration span);
  /// Fresh entries, this one included, in the order of their ids.
  std::set<EntryId> LiveEntries();
  membership::PeerView View(const EntryId& peer);
  bool MayOwn();
  rpc::TransportCounters Counters() const;

 private:
  void OnFrame(const std::string& frame);
  void Dispatch(const rpc::PeerMessage& message);
  void WatchClock(const membership::Heartbeat& heartbeat);
  void OnHeartbeat(const membership::Heartbeat& heartbeat);
  void OnCatchUpRequest(const rpc::CatchUpRequest& request);
  void AskToCatchUp();
  void SendToAddress(const std::string& address, const rpc::PeerBody& body);
  void ShareAgreements();
  void UpdateLenders();
  void NoteSilentPeers();
  void NotePause(const membership::Pause& pause);

  const EntryContext& context;
  PeerTargets targets;
  std::unique_ptr<rpc::PeerTransport> transport;
  std::mutex mutex;
  membership::Membership membership;
  std::map<EntryId, std::string> addresses;
  std::map<EntryId, ZoneId> zones;
  config_log::Offset own_offset = 0;
  /// Entries that were live at the last heartbeat; touched by the control thread only.
  std::set<EntryId> last_live;
};

}  // namespace chervilspar::entry
