#include "chervilspar/http/routes.h"

namespace chervilspar::http {

Result<Routes> Routes::Parse(const std::vector<std::string>& texts) {
  Routes routes;
  for (const std::string& text : texts) {
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos) {
      return Reason{ErrorCode::kInvalidArgument, "route", "'" + text + "' is not FROM=TO"};
    }
    const Result<SocketAddress> from = ParseSocketAddress(text.substr(0, equals));
    const Result<SocketAddress> to = ParseSocketAddress(text.substr(equals + 1));
    if (!from || !to) {
      const Reason& reason = from ? to.LastReason() : from.LastReason();
      return Reason{ErrorCode::kInvalidArgument, "route", reason.message};
    }
    if (!routes.targets.emplace(*from, *to).second) {
      return Reason{ErrorCode::kInvalidArgument, "route",
                    "'" + ToString(*from) + "' has two routes"};
    }
  }
  return routes;
}

SocketAddress Routes::Resolve(const SocketAddress& address) const {
  const auto found = this->targets.find(address);
  return found == this->targets.end() ? address : found->second;
}

}  // namespace chervilspar::http
