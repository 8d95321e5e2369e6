// Starts entry processes with the command and the environment of the deploy file, and calls them as
// clients do.
#pragma once

#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <string>
#include <vector>

#include <sys/prctl.h>
#include <sys/wait.h>

#include "http.hpp"

namespace review {

/// What was sent, answered and run, with milliseconds since the begin.
class Record {
 public:
  explicit Record(const std::string& path) : file(std::fopen(path.c_str(), "w")) {}
  ~Record() {
    if (this->file != nullptr) {
      std::fclose(this->file);
    }
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Write(const std::string& line) { this->WriteAt(NowMs(), line); }
  void WriteAt(double at_ms, const std::string& line) {
    if (this->file != nullptr) {
      std::fprintf(this->file, "%9.1f %s\n", at_ms, line.c_str());
      std::fflush(this->file);
    }
  }

 private:
  std::FILE* file;
};

struct Entry {
  std::string name;
  std::string zone;
  pid_t pid = -1;
  std::uint16_t front = 0;
  std::uint16_t ready = 0;
  std::uint16_t control = 0;
  std::uint16_t carrier = 0;
  std::uint16_t metrics = 0;
};

/// The entry processes; those that still run are killed at the end.
class Entries {
 public:
  Entries(std::string program, std::string log_folder, std::uint16_t store, std::uint16_t cloud)
      : program(std::move(program)),
        log_folder(std::move(log_folder)),
        store(store),
        cloud(cloud) {}
  ~Entries() {
    for (Entry& entry : this->entries) {
      this->Kill(entry);
    }
  }
  Entries(const Entries&) = delete;
  Entries& operator=(const Entries&) = delete;

  void Start(const std::vector<std::string>& zones) {
    for (std::size_t i = 0; i < zones.size(); ++i) {
      this->entries.push_back({"frontend-" + zones[i] + "-" + std::to_string(i + 1), zones[i], -1,
                               FreePort(), FreePort(), FreePort(), FreePort(), FreePort()});
    }
    for (Entry& entry : this->entries) {
      this->Spawn(entry);
    }
  }

  std::vector<Entry>& All() { return this->entries; }

  bool AreReady(double timeout_ms) {
    const double end = NowMs() + timeout_ms;
    for (Entry& entry : this->entries) {
      while (true) {
        const auto response = Call(entry.ready, "GET", "/-/ready", {}, "", 500);
        if (response && response->status == 200) {
          break;
        }
        if (NowMs() > end) {
          return false;
        }
        SleepMs(50);
      }
    }
    return true;
  }

  void Kill(Entry& entry) {
    if (entry.pid > 0) {
      ::kill(entry.pid, SIGCONT);
      ::kill(entry.pid, SIGKILL);
      ::waitpid(entry.pid, nullptr, 0);
      entry.pid = -1;
    }
  }

  void Spawn(Entry& entry) {
    std::string seeds;
    std::string zones;
    std::string last_zone;
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      if (i < 3) {
        seeds += (i > 0 ? "," : "") + AddressOf(this->entries[i].control);
      }
      if (this->entries[i].zone != last_zone) {
        zones += (zones.empty() ? "" : ",") + this->entries[i].zone;
        last_zone = this->entries[i].zone;
      }
    }
    // As in deploy/system.toml, filled in for a small deployment.
    const std::vector<std::string> environment = {
        "PATH=/usr/bin:/bin",
        "CHERVILSPAR_ID=" + entry.name,
        "CHERVILSPAR_ZONE=" + entry.zone,
        "CHERVILSPAR_CALLERS_ADDRESS=" + AddressOf(entry.front),
        "CHERVILSPAR_HEALTH_ADDRESS=" + AddressOf(entry.ready),
        "CHERVILSPAR_HEALTH_PATH=/-/ready",
        "CHERVILSPAR_PEER_ADDRESS=" + AddressOf(entry.control),
        "CHERVILSPAR_SEED_PEER=" + seeds,
        "CHERVILSPAR_CARRIER_ADDRESS=" + AddressOf(entry.carrier),
        "CHERVILSPAR_METRICS_ADDRESS=" + AddressOf(entry.metrics),
        "CHERVILSPAR_STORE_ADDRESS=" + AddressOf(this->store),
        "CHERVILSPAR_VM_SERVICE_ADDRESS=" + AddressOf(this->cloud),
        "CHERVILSPAR_ADVICE_ADDRESS=",
        "CHERVILSPAR_LEASE_LIMIT=10000ms",
        "CHERVILSPAR_CORDON_BOUND=",
        "CHERVILSPAR_FLEET_ZONE=" + zones,
        "CHERVILSPAR_JOB_PARTITIONS=8",
        "CHERVILSPAR_VM_ORDER_PAUSE=500ms",
        "CHERVILSPAR_VM_ORDER_RATE=64.0",
        "CHERVILSPAR_VM_SERVICE_COMPARES_TOKENS=true",
        "CHERVILSPAR_CORES=0.25",
        "CHERVILSPAR_LINK_RATE=1000.0",
        "CHERVILSPAR_PROGRESS_FORM=compact",
        "CHERVILSPAR_ACCOUNT_SHARES=true",
        "CHERVILSPAR_JOB_ADMISSION=true",
        "CHERVILSPAR_PREEMPTION=true",
        "CHERVILSPAR_STOP_LIMIT=200ms",
        "CHERVILSPAR_POOL_SIZING=demand",
        "CHERVILSPAR_LINK_BUDGET=true"};
    std::vector<char*> variables;
    for (const std::string& variable : environment) {
      variables.push_back(const_cast<char*>(variable.c_str()));
    }
    variables.push_back(nullptr);
    const std::string log = this->log_folder + "/" + entry.name + ".log";
    std::string command = "job-entry";
    char* arguments[] = {this->program.data(), command.data(), nullptr};
    entry.pid = ::fork();
    if (entry.pid == 0) {
      // An entry doesn't outlive the process that started it.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::execve(this->program.c_str(), arguments, variables.data());
      ::_exit(127);
    }
  }

 private:
  std::string program;
  std::string log_folder;
  std::uint16_t store;
  std::uint16_t cloud;
  std::vector<Entry> entries;
};

/// A client of one queue that records each call.
class Client {
 public:
  Client(Record& record, std::string host, std::string prefix, std::string key)
      : record(record), host(std::move(host)), prefix(std::move(prefix)), key(std::move(key)) {}

  std::optional<Response> Send(const Entry& entry, const std::string& method, const std::string& id,
                               const std::string& body) {
    const double sent = NowMs();
    const std::optional<Response> response = Call(entry.front, method, this->prefix + id,
                                                  {{"Host", this->host},
                                                   {"Api-Key", this->key},
                                                   {"Content-Type", "application/json"},
                                                   {"Chervilspar-Deadline-Ms", "3000"}},
                                                  body, 3000);
    this->record.WriteAt(sent,
                         "client " + method + " " + this->prefix + id + " to " + entry.name + ": " +
                             (response ? std::to_string(response->status) + " " + response->body
                                       : std::string("no answer")) +
                             " at " + std::to_string(NowMs()));
    return response;
  }

 private:
  Record& record;
  std::string host;
  std::string prefix;
  std::string key;
};

}  // namespace review
