#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "chervilspar/jobs/admission_outlook.h"

namespace chervilspar::job_entry {

/// The path at the owner's peer address at which entries ask for the outlook.
inline constexpr std::string_view kAdmissionPath = "/v1/admission";

/// The JSON bodies of a question and its answer:
///
///     {"entry":"e1","refused":[[JOB,TEAM,QUEUE,WORK,DUE_IN_MS],...]}
///     {"token":7,"age_ms":0,"entries":3,"ask_again_ms":250,"full":true,
///      "pools":[[POOL,CPU,REACHABLE_CPU],...],
///      "accounts":[[TEAM,QUEUE,DUE_CPU,OPEN_WORK,ON_TIME_WORK,PROMISED_WORK,PROMISED_UNTIL_MS,
///                   IS_BEYOND_SHARE],...],
///      "promises":[[JOB,TEAM,QUEUE,WORK,DUE_IN_MS],...]}
///
/// Cpu is in thousandths of a core, work in cores times milliseconds.
std::string EncodeAdmissionQuestion(const jobs::AdmissionQuestion& question);
std::string EncodeAdmissionOutlook(const jobs::AdmissionOutlook& outlook);

/// Nothing if the text is truncated, or a member is missing, of another type or out of range.
std::optional<jobs::AdmissionQuestion> DecodeAdmissionQuestion(std::string_view text);
std::optional<jobs::AdmissionOutlook> DecodeAdmissionOutlook(std::string_view text);

}  // namespace chervilspar::job_entry
