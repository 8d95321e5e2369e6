#pragma once

#include "chervilspar/base/time.h"

namespace chervilspar::job_entry {

/// The pause between the end of a round of decisions that took `taken` and the next round.
///
/// A round costs more the more jobs wait. Rounds that followed each other at a fixed pause would
/// take the thread from the orders and answers that let waiting jobs run, so that more and more
/// would wait. So rounds become rarer as they become longer, and each decides on more facts.
Duration PauseAfterRound(Duration taken);

/// The least time until a pass over all open jobs or all VMs that took `taken` is repeated. Such
/// passes cost more the more waits, and serve decisions that change slowly: how many VMs each pool
/// gets, and which submissions are refused.
Duration PauseAfterPass(Duration taken);

}  // namespace chervilspar::job_entry
