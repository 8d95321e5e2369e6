#pragma once

#include <boost/json/value.hpp>

#include "chervilspar/maintenance/plan.h"

namespace chervilspar::entry {

/// A plan for operators: what comes next, when it ends, and why each VM waits.
boost::json::value PlanToJson(const maintenance::Plan& plan);

}  // namespace chervilspar::entry
