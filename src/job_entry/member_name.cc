#include "job_entry/member_name.h"

#include "chervilspar/base/socket_address.h"

namespace chervilspar::job_entry {

namespace {

constexpr char kSeparator = ';';

}  // namespace

std::string WithCarrier(const std::string& member, const jobs::Carrier& carrier) {
  return member + kSeparator + carrier.zone.text + kSeparator + carrier.address;
}

std::optional<jobs::Carrier> CarrierOf(std::string_view member) {
  const std::size_t before_address = member.rfind(kSeparator);
  if (before_address == std::string_view::npos || before_address == 0) {
    return std::nullopt;
  }
  const std::size_t before_zone = member.rfind(kSeparator, before_address - 1);
  const std::string address(member.substr(before_address + 1));
  if (before_zone == std::string_view::npos || !ParseSocketAddress(address)) {
    return std::nullopt;
  }
  const std::string_view zone = member.substr(before_zone + 1, before_address - before_zone - 1);
  return jobs::Carrier{address, ZoneId{std::string(zone)}};
}

}  // namespace chervilspar::job_entry
