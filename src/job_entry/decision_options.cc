#include "chervilspar/job_entry/decision_options.h"

#include <array>
#include <charconv>
#include <optional>
#include <string>
#include <variant>

#include "chervilspar/inventory/document.h"

namespace chervilspar::job_entry {

namespace {

using SchedulerMember =
    std::variant<Duration jobs::SchedulerOptions::*, double jobs::SchedulerOptions::*,
                 bool jobs::SchedulerOptions::*>;
using SizerMember = std::variant<Duration jobs::SizerOptions::*, double jobs::SizerOptions::*,
                                 int jobs::SizerOptions::*, bool jobs::SizerOptions::*>;

using CarrierMember = std::variant<Duration jobs::CarrierOptions::*, double jobs::CarrierOptions::*,
                                   int jobs::CarrierOptions::*>;
using EntryMember = std::variant<bool DecisionOptions::*>;

template <typename Member>
struct NamedMember {
  std::string_view name;
  Member member;
};

constexpr std::array kSchedulerMembers = {
    NamedMember<SchedulerMember>{"scheduler.lease", &jobs::SchedulerOptions::lease},
    NamedMember<SchedulerMember>{"scheduler.ejection", &jobs::SchedulerOptions::ejection},
    NamedMember<SchedulerMember>{"scheduler.stall", &jobs::SchedulerOptions::stall_timeout},
    NamedMember<SchedulerMember>{"scheduler.overload", &jobs::SchedulerOptions::plans_overload},
    NamedMember<SchedulerMember>{"scheduler.shares", &jobs::SchedulerOptions::divides_shares},
    NamedMember<SchedulerMember>{"scheduler.preemption", &jobs::SchedulerOptions::preempts},
    NamedMember<SchedulerMember>{"scheduler.preemption_budget",
                                 &jobs::SchedulerOptions::preemption_budget},
    NamedMember<SchedulerMember>{"scheduler.link_budget", &jobs::SchedulerOptions::budgets_link},
};

constexpr std::array kCarrierMembers = {
    NamedMember<CarrierMember>{"carriers.endpoints_per_core",
                               &jobs::CarrierOptions::endpoints_per_core},
    NamedMember<CarrierMember>{"carriers.avoided", &jobs::CarrierOptions::avoided},
};

constexpr std::array kEntryMembers = {
    NamedMember<EntryMember>{"entry.relays_records", &DecisionOptions::relays_records},
    NamedMember<EntryMember>{"entry.admission", &DecisionOptions::admits_by_outlook},
};

constexpr std::array kSizerMembers = {
    NamedMember<SizerMember>{"sizer.move_time", &jobs::SizerOptions::move_time},
    NamedMember<SizerMember>{"sizer.slack_share", &jobs::SizerOptions::slack_share},
    NamedMember<SizerMember>{"sizer.trend", &jobs::SizerOptions::trend_gain},
    NamedMember<SizerMember>{"sizer.slow_averaging", &jobs::SizerOptions::slow_averaging_factor},
    NamedMember<SizerMember>{"sizer.noise", &jobs::SizerOptions::trend_threshold_std_devs},
    NamedMember<SizerMember>{"sizer.doubt", &jobs::SizerOptions::half_confidence_jobs},
    NamedMember<SizerMember>{"sizer.least_use", &jobs::SizerOptions::min_use_time},
    NamedMember<SizerMember>{"sizer.jobs_averaged", &jobs::SizerOptions::jobs_averaged},
    NamedMember<SizerMember>{"sizer.averaging", &jobs::SizerOptions::averaging_time},
    NamedMember<SizerMember>{"sizer.move_cost", &jobs::SizerOptions::move_cost},
    NamedMember<SizerMember>{"sizer.usable", &jobs::SizerOptions::usable_fraction},
    NamedMember<SizerMember>{"sizer.avoids_dark_zones",
                             &jobs::SizerOptions::avoids_unreachable_zones},
    NamedMember<SizerMember>{"sizer.late_gives_way", &jobs::SizerOptions::late_work_yields},
    NamedMember<SizerMember>{"sizer.lends", &jobs::SizerOptions::lends_idle_vms},
    NamedMember<SizerMember>{"sizer.by_demand", &jobs::SizerOptions::sizes_by_demand},
    NamedMember<SizerMember>{"sizer.least_vms", &jobs::SizerOptions::min_vms},
};

Reason InvalidOption(std::string_view name, std::string message) {
  return {ErrorCode::kInvalidArgument, std::string(name), std::move(message)};
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number{};
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  const bool is_number = parsed.ec == std::errc() && parsed.ptr == end;
  return is_number && number >= Number{} ? std::optional(number) : std::nullopt;
}

/// Sets one option; the type of the member determines how the text is parsed.
template <typename Options>
struct Setter {
  Options& options;
  std::string_view name;
  std::string_view text;

  Status operator()(Duration Options::*member) const {
    const Result<Duration> duration = inventory::ParseDuration(this->text);
    if (!duration) {
      return InvalidOption(this->name, "should be a duration such as 500ms");
    }
    this->options.*member = *duration;
    return Done{};
  }
  Status operator()(double Options::*member) const {
    const std::optional<double> number = ParseNumber<double>(this->text);
    if (!number) {
      return InvalidOption(this->name, "should be a non-negative number");
    }
    this->options.*member = *number;
    return Done{};
  }
  Status operator()(int Options::*member) const {
    const std::optional<int> number = ParseNumber<int>(this->text);
    if (!number) {
      return InvalidOption(this->name, "should be a non-negative whole number");
    }
    this->options.*member = *number;
    return Done{};
  }
  Status operator()(bool Options::*member) const {
    if (this->text != "on" && this->text != "off") {
      return InvalidOption(this->name, "should be on or off");
    }
    this->options.*member = this->text == "on";
    return Done{};
  }
};

/// Nothing if no member has this name.
template <typename Options, typename Members>
std::optional<Status> SetMember(Options& options, const Members& members, std::string_view name,
                                std::string_view text) {
  for (const auto& entry : members) {
    if (entry.name == name) {
      return std::visit(Setter<Options>{options, name, text}, entry.member);
    }
  }
  return std::nullopt;
}

Status SetOption(DecisionOptions& options, std::string_view part) {
  const std::size_t equals = part.find('=');
  if (equals == std::string_view::npos) {
    return InvalidOption(part, "should be NAME=VALUE");
  }
  const std::string_view name = part.substr(0, equals);
  const std::string_view text = part.substr(equals + 1);
  if (const auto set = SetMember(options.scheduler, kSchedulerMembers, name, text)) {
    return *set;
  }
  if (const auto set = SetMember(options.sizer, kSizerMembers, name, text)) {
    return *set;
  }
  if (const auto set = SetMember(options.carriers, kCarrierMembers, name, text)) {
    return *set;
  }
  if (const auto set = SetMember(options, kEntryMembers, name, text)) {
    return *set;
  }
  std::string known;
  for (const std::string_view other : DecisionOptionNames()) {
    known += (known.empty() ? "" : ", ") + std::string(other);
  }
  return InvalidOption(name, "is unknown; the known names are " + known);
}

}  // namespace

std::vector<std::string_view> DecisionOptionNames() {
  std::vector<std::string_view> names;
  names.reserve(kSchedulerMembers.size() + kSizerMembers.size() + kCarrierMembers.size() +
                kEntryMembers.size());
  for (const auto& entry : kSchedulerMembers) {
    names.push_back(entry.name);
  }
  for (const auto& entry : kSizerMembers) {
    names.push_back(entry.name);
  }
  for (const auto& entry : kCarrierMembers) {
    names.push_back(entry.name);
  }
  for (const auto& entry : kEntryMembers) {
    names.push_back(entry.name);
  }
  return names;
}

Result<DecisionOptions> ParseDecisionOptions(std::string_view text) {
  DecisionOptions options;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const Status set = SetOption(options, text.substr(0, comma));
    if (!set) {
      return set.LastReason();
    }
    text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
  }
  return options;
}

}  // namespace chervilspar::job_entry
