#include "cli/program.h"

#include <algorithm>
#include <functional>

#include <CLI/CLI.hpp>

#include "cli/flags.h"

namespace chervilspar::cli {

namespace {

constexpr const char* kAbout =
    "chervilspar keeps a fleet of VMs serving while it is maintained and moved: it takes callers'\n"
    "requests, shares the fleet between teams, and drains, reboots and moves VMs within their\n"
    "pools' availability budgets.";

constexpr const char* kFooter =
    "Every flag can be given as an environment variable: --log-address is "
    "CHERVILSPAR_LOG_ADDRESS;\n"
    "flags that may be repeated take a list with commas there.\n"
    "\n"
    "Exit codes:\n"
    "   0  done\n"
    "   1  refused: a fault in the inventory, a stale base version, a key that isn't accepted\n"
    "   2  a flag or variable is wrong; nothing was done\n"
    "   3  no entry could be reached, or the log took nothing; nothing was done\n"
    "   4  the outcome isn't known; look at the status before trying again\n"
    "   5  the entry could not start\n"
    "   6  the entry shut down and had to give up requests in flight\n"
    "   7  done, but some entries are missing from the answer\n"
    "  70  a failure of the program itself";

/// What the parsed command line asks for.
struct Choice {
  entry::RawEntrySettings entry;
  job_entry::RawJobEntrySettings job_entry;
  RawOperatorFlags operator_flags;
  CheckOptions check;
  PublishOptions publish;
  KeyGiveOptions give;
  KeyWithdrawOptions withdraw;
  EntryGoneOptions gone;
  ExplainOptions explain;
  ExplainJobOptions explain_job;
  bool as_json = false;
  bool as_inventory = false;
};

/// The command line: one function for each command that adds its flags and what it runs.
class Program {
 public:
  Program(CommandRunner& runner, const Console& console) : runner(runner), console(console) {
    this->app.footer(kFooter);
    this->app.require_subcommand(1);
    this->app.fallthrough(false);
    this->AddEntry();
    this->AddJobEntry();
    this->AddCheck();
    this->AddPublish();
    this->AddKey();
    this->AddEntryGone();
    this->AddPlan();
    this->AddStatus();
    this->AddExplain();
    this->AddExplainJob();
    this->AddTimeline();
  }

  ExitCode Run(std::vector<std::string> arguments) {
    std::reverse(arguments.begin(), arguments.end());
    try {
      this->app.parse(std::move(arguments));
    } catch (const CLI::ParseError& error) {
      const int code = this->app.exit(error, this->console.out, this->console.err);
      return code == 0 ? ExitCode::kOk : ExitCode::kUsage;
    }
    return this->selected();
  }

 private:
  /// A command that talks to entries.
  using OperatorCommand = std::function<ExitCode(const OperatorClient&)>;

  void RunsWithEntries(CLI::App& command, OperatorCommand run) {
    AddOperatorFlags(command, this->choice.operator_flags);
    command.final_callback([this, run = std::move(run)] {
      this->selected = [this, run] { return this->RunOperatorCommand(run); };
    });
  }

  ExitCode PrintFaults(const std::vector<Reason>& faults) {
    for (const Reason& fault : faults) {
      this->console.err << "chervilspar: " << fault.field << ": " << fault.message << "\n";
    }
    return ExitCode::kUsage;
  }

  ExitCode RunOperatorCommand(const OperatorCommand& run) {
    const OperatorFlagsOutcome outcome = CheckOperatorFlags(this->choice.operator_flags);
    if (!outcome.options) {
      return this->PrintFaults(outcome.faults);
    }
    const auto connection = this->runner.Connect(this->choice.operator_flags.routes);
    if (!connection) {
      return this->PrintFaults({connection.LastReason()});
    }
    return run(OperatorClient(**connection, *outcome.options));
  }

  ExitCode RunEntryCommand() {
    const entry::SettingsOutcome outcome = entry::CheckSettings(this->choice.entry);
    if (!outcome.settings) {
      return this->PrintFaults(outcome.faults);
    }
    return this->runner.Entry(*outcome.settings);
  }

  void AddEntry() {
    CLI::App& command = *this->app.add_subcommand("entry", "Run an entry until SIGTERM");
    AddEntryFlags(command, this->choice.entry);
    command.final_callback([this] { this->selected = [this] { return this->RunEntryCommand(); }; });
  }

  ExitCode RunJobEntryCommand() {
    const job_entry::JobEntrySettingsOutcome outcome =
        job_entry::CheckSettings(this->choice.job_entry);
    if (!outcome.settings) {
      return this->PrintFaults(outcome.faults);
    }
    return this->runner.JobEntry(*outcome.settings);
  }

  void AddJobEntry() {
    CLI::App& command = *this->app.add_subcommand(
        "job-entry", "Run an entry that takes, stores and schedules jobs until SIGTERM");
    AddJobEntryFlags(command, this->choice.job_entry);
    command.final_callback(
        [this] { this->selected = [this] { return this->RunJobEntryCommand(); }; });
  }

  void AddCheck() {
    CLI::App& command =
        *this->app.add_subcommand("check", "Check an inventory file; needs no network");
    command.add_option("FILE", this->choice.check.file, "Inventory, - for standard input")
        ->required();
    AddFlag(command, "--at", this->choice.check.at,
            "Check as if it were this time, such as 2027-03-31T18:00:00Z [now]");
    command.final_callback([this] {
      this->selected = [this] { return RunCheck(this->choice.check, this->console); };
    });
  }

  void AddPublish() {
    CLI::App& command = *this->app.add_subcommand(
        "publish", "Put an inventory in force; returns when it has been read back from the log");
    command.add_option("FILE", this->choice.publish.file, "Inventory")->required();
    command
        .add_option("--base-version", this->choice.publish.base_version,
                    "Version that the file was made from; needed once there is one")
        ->envname("CHERVILSPAR_BASE_VERSION");
    this->RunsWithEntries(command, [this](const OperatorClient& client) {
      return RunPublish(this->choice.publish, client, this->console);
    });
  }

  void AddKey() {
    CLI::App& key = *this->app.add_subcommand("key", "Give or withdraw a team's key");
    key.require_subcommand(1);
    CLI::App& give = *key.add_subcommand("give", "Make a key for a team and print it");
    AddFlag(give, "--team", this->choice.give.team, "Team that the key belongs to")->required();
    AddFlag(give, "--digest", this->choice.give.digest,
            "SHA-256 in hex of a key made elsewhere [make a new key]");
    this->RunsWithEntries(give, [this](const OperatorClient& client) {
      return RunKeyGive(this->choice.give, client, this->console);
    });
    CLI::App& withdraw = *key.add_subcommand(
        "withdraw", "Stop a key for good, at every entry given; works while the log is down");
    CLI::Option* digest =
        AddFlag(withdraw, "--digest", this->choice.withdraw.digest, "SHA-256 in hex of the key");
    AddFlag(withdraw, "--key-file", this->choice.withdraw.key_file, "File that holds the key")
        ->excludes(digest);
    this->RunsWithEntries(withdraw, [this](const OperatorClient& client) {
      return RunKeyWithdraw(this->choice.withdraw, client, this->console);
    });
  }

  void AddEntryGone() {
    CLI::App& command = *this->app.add_subcommand(
        "entry-gone", "Say that an entry taken off the inventory is deleted or switched off");
    command.add_option("ENTRY", this->choice.gone.entry, "The entry's id")->required();
    this->RunsWithEntries(command, [this](const OperatorClient& client) {
      return RunEntryGone(this->choice.gone, client, this->console);
    });
  }

  OutputForm Form() const { return this->choice.as_json ? OutputForm::kJson : OutputForm::kText; }

  void AddJsonFlag(CLI::App& command) {
    command.add_flag("--json", this->choice.as_json, "Print the entry's answer as JSON")
        ->envname("CHERVILSPAR_JSON");
  }

  void AddPlan() {
    CLI::App& command = *this->app.add_subcommand(
        "plan", "Show the next maintenance steps, the end, and why each VM waits");
    this->AddJsonFlag(command);
    this->RunsWithEntries(command, [this](const OperatorClient& client) {
      return RunPlan(this->Form(), client, this->console);
    });
  }

  void AddStatus() {
    CLI::App& command = *this->app.add_subcommand("status", "Show the fleet as an entry sees it");
    this->AddJsonFlag(command);
    command
        .add_flag("--inventory", this->choice.as_inventory,
                  "Print the inventory in force, to change and publish it")
        ->envname("CHERVILSPAR_INVENTORY");
    this->RunsWithEntries(command, [this](const OperatorClient& client) {
      const StatusPart part =
          this->choice.as_inventory ? StatusPart::kInventory : StatusPart::kSummary;
      return RunStatus(part, this->Form(), client, this->console);
    });
  }

  void AddExplain() {
    CLI::App& command = *this->app.add_subcommand(
        "explain", "Say why a VM waits, what a team gets, or what became of a request");
    command.add_option("KIND", this->choice.explain.kind, "vm, team or request")
        ->required()
        ->check(CLI::IsMember({"vm", "team", "request"}));
    command.add_option("ID", this->choice.explain.id, "Its id")->required();
    this->RunsWithEntries(command, [this](const OperatorClient& client) {
      return RunExplain(this->choice.explain, client, this->console);
    });
  }

  void AddExplainJob() {
    CLI::App& command = *this->app.add_subcommand(
        "explain-job", "Say from collected logs what became of a job; needs no network");
    command.add_option("ID", this->choice.explain_job.id, "The job's id")->required();
    AddListFlag(command, "--logs", this->choice.explain_job.logs, "Log file, - for standard input")
        ->required();
    command.final_callback([this] {
      this->selected = [this] { return RunExplainJob(this->choice.explain_job, this->console); };
    });
  }

  void AddTimeline() {
    CLI::App& command = *this->app.add_subcommand(
        "timeline", "Print the events of all reachable entries in one order, as JSON lines");
    this->RunsWithEntries(command, [this](const OperatorClient& client) {
      return RunTimeline(client, this->console);
    });
  }

  CommandRunner& runner;
  const Console& console;
  CLI::App app{kAbout, "chervilspar"};
  Choice choice;
  std::function<ExitCode()> selected = [] { return ExitCode::kUsage; };
};

}  // namespace

ExitCode RunProgram(const std::vector<std::string>& arguments, CommandRunner& runner,
                    const Console& console) {
  return Program(runner, console).Run(arguments);
}

}  // namespace chervilspar::cli
