#pragma once

#include <cstddef>

#include "chervilspar/base/time.h"

namespace chervilspar::job_entry {

/// For how long renewals to one carrier, and its answers, are collected so that they share frames.
///
/// Each frame takes an owner some tens of microseconds, whatever it holds. Without this, the number
/// of frames would grow with the endpoints and with the carriers, and fill the owner's processor
/// when the load is highest. With it, the frames of a second depend on the owner's cores only.
Duration FrameInterval(std::size_t carriers, double cores);

}  // namespace chervilspar::job_entry
