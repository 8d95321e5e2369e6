#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>

namespace chervilspar {

/// A name of one kind of thing; the tag keeps a team's name from being passed as a pool's.
template <typename Tag>
struct Id {
  std::string text;

  bool IsEmpty() const { return this->text.empty(); }

  friend auto operator<=>(const Id&, const Id&) = default;
  friend std::ostream& operator<<(std::ostream& out, const Id& id) { return out << id.text; }
};

using TeamId = Id<struct TeamTag>;
using ClientAccountId = Id<struct ClientAccountTag>;
using ServiceId = Id<struct ServiceTag>;
using PoolId = Id<struct PoolTag>;
using VmId = Id<struct VmTag>;
using RackId = Id<struct RackTag>;
using ZoneId = Id<struct ZoneTag>;
using RegionId = Id<struct RegionTag>;
using SiteId = Id<struct SiteTag>;
using EntryId = Id<struct EntryTag>;
/// The caller's `Idempotency-Key`, or an id made by the entry for a request without one.
using RequestId = Id<struct RequestTag>;
/// One attempt of a request at one endpoint.
using TaskId = Id<struct TaskTag>;
using StepId = Id<struct StepTag>;
using RecordId = Id<struct RecordTag>;
using LoanId = Id<struct LoanTag>;

}  // namespace chervilspar

template <typename Tag>
struct std::hash<chervilspar::Id<Tag>> {
  std::size_t operator()(const chervilspar::Id<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.text);
  }
};
