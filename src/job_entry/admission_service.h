#pragma once

#include <map>
#include <optional>
#include <string>

#include "chervilspar/jobs/promised_room.h"
#include "chervilspar/jobs/scheduler.h"

#include "job_entry/context.h"

namespace chervilspar::job_entry {

/// Answers the entries that ask the owner for the admission outlook, and keeps the room that they
/// have promised to refused callers. Belongs to a term of the owner.
class AdmissionService {
 public:
  AdmissionService(const Context& context, const jobs::Scheduler& scheduler)
      : context(context), scheduler(scheduler) {}

  /// `listed`: the capacity of all VMs, as in `Scheduler::Outlook`.
  jobs::AdmissionOutlook Answer(const jobs::AdmissionQuestion& question,
                                const jobs::Resources& listed);

 private:
  /// Counts the entry, and returns how many have asked in the last second.
  std::uint32_t CountEntries(const std::string& entry);
  /// How long an entry waits between two questions, so that the answers to all entries take a small
  /// part of the owner's link.
  double AskAgainMs(const jobs::AdmissionOutlook& outlook) const;

  const Context context;
  const jobs::Scheduler& scheduler;
  jobs::PromisedRoom room;
  /// When each entry asked last.
  std::map<std::string, TimePoint> asked;
  std::optional<jobs::AdmissionOutlook> outlook;
  TimePoint computed_at{};
  TimePoint next_outlook{};
};

}  // namespace chervilspar::job_entry
