#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/json/fwd.hpp>

#include "chervilspar/http/server.h"

#include "entry/config_plane.h"
#include "entry/entry_context.h"
#include "entry/limit_keeper.h"
#include "entry/maintenance_plane.h"
#include "entry/peer_plane.h"
#include "entry/service_plane.h"

namespace chervilspar::entry {

/// Answers the operators' calls of docs/PROTOCOLS.md.
class OperatorApi {
 public:
  struct Parts {
    ConfigPlane& config;
    PeerPlane& peers;
    LimitKeeper& limits;
    ServicePlane& services;
    MaintenancePlane& maintenance;
  };

  OperatorApi(const EntryContext& context, const Parts& parts);

  boost::asio::awaitable<http::Response> Serve(http::Request request);

 private:
  bool IsOperator(const http::Request& request) const;
  boost::asio::awaitable<http::Response> Publish(const http::Request& request);
  boost::asio::awaitable<http::Response> GiveKey(const http::Request& request);
  boost::asio::awaitable<http::Response> WithdrawKey(std::string digest);
  boost::asio::awaitable<http::Response> DeclareGone(EntryId entry);
  /// Appends and waits until the records' fate is known.
  boost::asio::awaitable<config_log::AppendOutcome> Append(RecordId subject,
                                                           std::vector<config_log::Record> records);
  http::Response Status() const;
  http::Response Inventory() const;
  http::Response Events() const;
  boost::json::array PeerRows() const;
  boost::json::array PoolRows() const;
  boost::json::array TeamRows() const;
  boost::json::array ServiceRows() const;

  const EntryContext& context;
  Parts parts;
};

}  // namespace chervilspar::entry
