#include "tests/prove/fault.h"

namespace chervilspar::prove {

const char* ToString(FaultKind kind) {
  constexpr std::array<const char*, kFaultKinds> kNames = {
      "kill-entry",    "pause-entry",   "cut-zones",       "cut-platform",     "log-outage",
      "retention-gap", "bad-network",   "kill-endpoint",   "failing-endpoint", "burst",
      "cancel-wave",   "publish-limit", "publish-entries", "operator-race",    "retire-entry",
      "withdraw-key",  "key-race"};
  return kNames.at(static_cast<std::size_t>(kind));
}

std::ostream& operator<<(std::ostream& out, const Fault& fault) {
  return out << ToString(fault.kind) << "{at " << fault.at_ms << " ms, lasts " << fault.lasts_ms
             << " ms, target " << fault.target << ", extra " << fault.extra << "}";
}

std::ostream& operator<<(std::ostream& out, const Case& run) {
  out << "seed " << run.seed << "\n";
  for (const Fault& fault : run.faults) {
    out << "  " << fault << "\n";
  }
  return out;
}

namespace {

rc::Gen<FaultKind> AnyKind() {
  return rc::gen::map(rc::gen::inRange<int>(0, static_cast<int>(kFaultKinds)),
                      [](int kind) { return static_cast<FaultKind>(kind); });
}

rc::Gen<Fault> AnyFault() {
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind, rc::gen::noShrink(AnyKind())),
      rc::gen::set(&Fault::at_ms, rc::gen::noShrink(rc::gen::inRange(kFirstFaultMs, kLastFaultMs))),
      rc::gen::set(&Fault::lasts_ms, rc::gen::inRange<std::uint32_t>(100, kLongestFaultMs)),
      rc::gen::set(&Fault::target, rc::gen::inRange<std::uint32_t>(0, 1000)),
      rc::gen::set(&Fault::extra, rc::gen::inRange<std::uint32_t>(0, 1000)));
}

}  // namespace

rc::Gen<Case> AnyCase() {
  constexpr int kFullRange = 100;
  const auto faults =
      rc::gen::container<std::vector<Fault>>(rc::gen::resize(kFullRange, AnyFault()));
  return rc::gen::build<Case>(
      rc::gen::set(&Case::seed, rc::gen::noShrink(rc::gen::resize(
                                    kFullRange, rc::gen::arbitrary<std::uint64_t>()))),
      rc::gen::set(&Case::faults, faults));
}

}  // namespace chervilspar::prove
