#pragma once

#include "chervilspar/base/time.h"
#include "chervilspar/entry/settings.h"
#include "chervilspar/membership/membership.h"
#include "chervilspar/telemetry/event_ring.h"
#include "chervilspar/telemetry/metrics.h"

namespace chervilspar::entry {

/// What every part of the entry process shares; outlives them all.
struct EntryContext {
  const EntrySettings& settings;
  const Clock& clock;
  const membership::Self self;
  telemetry::EventRing& events;
  telemetry::MetricsRegistry& metrics;

  TimePoint Now() const { return this->clock.Now(); }
  WallTime WallNow() const { return this->clock.WallNow(); }
  /// Adds an event to the time line.
  void Note(telemetry::Event event) const { this->events.Add(std::move(event), this->WallNow()); }
};

}  // namespace chervilspar::entry
