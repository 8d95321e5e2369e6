#pragma once

#include <string>

#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// Decides which endpoints a task may take, of those that could run it and have the free capacity.
class EndpointFilter {
 public:
  virtual ~EndpointFilter() = default;

  virtual bool Allows(const EndpointState& endpoint) = 0;
};

class AnyEndpoint final : public EndpointFilter {
 public:
  bool Allows(const EndpointState& /*endpoint*/) override { return true; }
};

/// Endpoints of one rack that another filter allows.
class OnRack final : public EndpointFilter {
 public:
  OnRack(const std::string& rack, EndpointFilter& inner) : rack(rack), inner(inner) {}

  bool Allows(const EndpointState& endpoint) override {
    return endpoint.record.rack == this->rack && this->inner.Allows(endpoint);
  }

 private:
  const std::string& rack;
  EndpointFilter& inner;
};

}  // namespace chervilspar::jobs
