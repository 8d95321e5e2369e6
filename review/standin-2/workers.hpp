// Stand-ins of the workers and of the machine service. A machine runs one worker at a time; a move
// or an upkeep ends it, and a new one joins later.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "store.hpp"

namespace review {

/// One start, stop or end at a worker, in the order in which they happened.
struct WorkerEvent {
  double at_ms = 0;
  std::string worker;
  /// "start", "refused", "stop" or an end: "done", "failed", "stopped", "lapsed", "lost".
  std::string what;
  std::string task;
  std::uint64_t run = 0;
  std::string note;
};

struct WorkerOptions {
  std::int64_t cpu = 64000;
  std::int64_t mem_mb = 131072;
  double hold_max_ms = 10000;
  double stop_ms = 200;
  double heartbeat_ms = 1500;
  double move_ms = 1500;
  double upkeep_ms = 2000;
};

struct TaskNeed {
  std::int64_t cpu = 0;
  std::int64_t mem_mb = 0;
  double work_ms = 1000;
  bool lasts = false;
};

class Fleet {
 public:
  /// `need_of`: what a task takes, by its name. `end_of`: how a run ends when its work is done,
  /// "done" or "failed".
  Fleet(Store& store, WorkerOptions options, std::function<TaskNeed(const std::string&)> need_of,
        std::function<std::string(const std::string&, std::uint64_t)> end_of)
      : store(store),
        options(options),
        need_of(std::move(need_of)),
        end_of(std::move(end_of)),
        cloud([this](const Request& request) { return this->HandleCloud(request); }) {
    std::thread([this] { this->Tick(); }).detach();
  }

  /// Adds a machine. In a pool that is on standby it has no worker.
  void Add(const std::string& host, const std::string& pool, const std::string& zone,
           const std::string& rack) {
    const std::lock_guard lock(this->mutex);
    auto machine = std::make_unique<Machine>();
    machine->host = host;
    machine->pool = pool;
    machine->zone = zone;
    machine->rack = rack;
    Machine* const added = machine.get();
    machine->server = std::make_unique<Server>(
        [this, added](const Request& request) { return this->HandleWorker(*added, request); });
    this->machines.push_back(std::move(machine));
    if (!this->standby.contains(pool)) {
      this->Begin(*added);
    }
  }

  void SetStandby(const std::string& pool) { this->standby.insert(pool); }
  std::uint16_t CloudPort() const { return this->cloud.Port(); }

  /// Requests to this worker get no answer and have no effect while it hangs. Those that wait for
  /// an end when it begins to hang get no answer either.
  void SetHanging(const std::string& worker, bool hangs) {
    const std::lock_guard lock(this->mutex);
    if (hangs) {
      this->hanging.insert(worker);
    } else {
      this->hanging.erase(worker);
    }
  }

  void SetDraining(const std::string& worker) {
    const std::lock_guard lock(this->mutex);
    for (const auto& machine : this->machines) {
      if (machine->life && machine->life->id == worker) {
        machine->life->is_draining = true;
        this->Register(*machine);
      }
    }
  }

  std::vector<WorkerEvent> Events() {
    const std::lock_guard lock(this->mutex);
    return this->events;
  }

  /// Runs that are active now, as worker and task.
  std::vector<std::pair<std::string, std::string>> Active() {
    const std::lock_guard lock(this->mutex);
    std::vector<std::pair<std::string, std::string>> out;
    for (const auto& machine : this->machines) {
      if (machine->life) {
        for (const auto& [task, run] : machine->life->active) {
          out.emplace_back(machine->life->id, task);
        }
      }
    }
    return out;
  }

 private:
  struct Run {
    std::uint64_t run = 0;
    TaskNeed need;
    double began_ms = 0;
    std::optional<double> stops_at;
  };
  struct End {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
  };
  /// One life of a worker.
  struct Life {
    std::string id;
    std::int64_t born = 0;
    double clock_begin = 0;
    std::uint64_t seq = 0;
    double next_beat = 0;
    bool is_draining = false;
    std::uint64_t fence = 0;
    double lease_until = 0;
    std::map<std::string, Run> active;
    /// The highest run of a task that was stopped or has ended here.
    std::map<std::string, std::uint64_t> settled;
    std::vector<End> ends;
    std::uint64_t last_end = 0;
  };
  struct Machine {
    std::string host;
    std::string pool;
    std::string zone;
    std::string rack;
    std::string phase = "up";
    double up_at = 0;
    std::uint64_t fence = 0;
    std::unique_ptr<Life> life;
    std::unique_ptr<Server> server;
  };

  void Begin(Machine& machine) {
    machine.life = std::make_unique<Life>();
    machine.life->id = machine.host + "-w" + std::to_string(++this->lives);
    machine.life->born = UnixMs();
    machine.life->clock_begin = NowMs();
    this->Register(machine);
  }

  void Register(Machine& machine) {
    Life& life = *machine.life;
    life.next_beat = NowMs() + this->options.heartbeat_ms;
    json::object entry{
        {"service", machine.pool},
        {"address", AddressOf(machine.server->Port())},
        {"zone", machine.zone},
        {"version", "1"},
        {"slots", 8},
        {"phase", life.is_draining ? "draining" : "ready"},
        {"cold_left_ms", 0},
        {"seq", ++life.seq},
        {"born", life.born},
        {"capacity", {{"cpu", this->options.cpu}, {"mem_mb", this->options.mem_mb}, {"gpu", 0}}},
        {"labels", {"kind-a", machine.rack}}};
    if (life.is_draining) {
      entry["remaining_ms"] = 2000;
    }
    this->store.Put("keyed.servers", life.id, json::serialize(entry));
  }

  void EndLife(Machine& machine) {
    if (!machine.life) {
      return;
    }
    for (const auto& [task, run] : machine.life->active) {
      this->Note(*machine.life, "lost", task, run.run, "");
    }
    this->store.Put("keyed.servers", machine.life->id, "");
    machine.life.reset();
  }

  void Note(const Life& life, std::string what, std::string task, std::uint64_t run,
            std::string note) {
    this->events.push_back(
        {NowMs(), life.id, std::move(what), std::move(task), run, std::move(note)});
  }

  static std::int64_t ClockOf(const Life& life) {
    return static_cast<std::int64_t>(NowMs() - life.clock_begin);
  }

  void Finish(Life& life, const std::string& task, const std::string& how) {
    const auto found = life.active.find(task);
    const std::uint64_t run = found->second.run;
    life.active.erase(found);
    life.settled[task] = std::max(life.settled[task], run);
    life.ends.push_back({++life.last_end, task, run, how});
    this->Note(life, how, task, run, "");
    this->ended.notify_all();
  }

  void Tick() {
    while (true) {
      SleepMs(2);
      const std::lock_guard lock(this->mutex);
      const double now = NowMs();
      for (const auto& machine : this->machines) {
        if (machine->phase != "up" && now >= machine->up_at) {
          machine->phase = "up";
          if (!this->standby.contains(machine->pool)) {
            this->Begin(*machine);
          }
        }
        if (!machine->life) {
          continue;
        }
        Life& life = *machine->life;
        if (now >= life.next_beat) {
          this->Register(*machine);
        }
        std::vector<std::pair<std::string, std::string>> over;
        for (const auto& [task, run] : life.active) {
          if (static_cast<double>(ClockOf(life)) >= life.lease_until) {
            over.emplace_back(task, "lapsed");
          } else if (run.stops_at && now >= *run.stops_at) {
            over.emplace_back(task, "stopped");
          } else if (!run.need.lasts && now - run.began_ms >= run.need.work_ms) {
            over.emplace_back(task, this->end_of(task, run.run));
          }
        }
        for (const auto& [task, how] : over) {
          this->Finish(life, task, how);
        }
      }
    }
  }

  static Response Answer(unsigned status, const Life& life, json::object body = {}) {
    body["clock_ms"] = ClockOf(life);
    return {status, json::serialize(body), "application/json"};
  }

  void Extend(Life& life, double until) const {
    const double most = static_cast<double>(ClockOf(life)) + this->options.hold_max_ms;
    life.lease_until = std::max(life.lease_until, std::min(until, most));
  }

  std::optional<Response> HandleWorker(Machine& machine, const Request& request) {
    std::unique_lock lock(this->mutex);
    const auto target = request.headers.find("chervilspar-target-worker");
    if (!machine.life || (target != request.headers.end() && target->second != machine.life->id)) {
      return Response{421, "{}", "application/json"};
    }
    if (this->hanging.contains(machine.life->id)) {
      return std::nullopt;
    }
    Life& life = *machine.life;
    const json::object body = json::parse(request.body).as_object();
    const auto fence = body.contains("fence") ? body.at("fence").to_number<std::uint64_t>() : 0;
    if (fence < life.fence) {
      return Answer(409, life, {{"reason", "fence"}});
    }
    life.fence = fence;
    if (request.path == "/-/hold") {
      return this->Hold(machine, life.id, body, lock);
    }
    const std::string task(body.at("task").as_string());
    const auto run = body.at("run").to_number<std::uint64_t>();
    if (request.path == "/-/run-start") {
      return this->Start(life, task, run, body);
    }
    if (request.path == "/-/run-stop") {
      this->Note(life, "stop", task, run, "");
      life.settled[task] = std::max(life.settled[task], run);
      const auto found = life.active.find(task);
      if (found != life.active.end() && found->second.run <= run && !found->second.stops_at) {
        found->second.stops_at = NowMs() + this->options.stop_ms / 2;
      }
      return Answer(200, life);
    }
    return Answer(200, life);
  }

  Response Start(Life& life, const std::string& task, std::uint64_t run, const json::object& body) {
    const auto refuse = [&](const char* reason) {
      this->Note(life, "refused", task, run, reason);
      return Answer(409, life, {{"reason", reason}});
    };
    const auto until = body.at("until_ms").to_number<double>();
    if (until <= static_cast<double>(ClockOf(life))) {
      return refuse("late");
    }
    this->Extend(life, until);
    const auto found = life.active.find(task);
    if (found != life.active.end() && found->second.run == run) {
      return Answer(200, life);
    }
    const auto settled = life.settled.find(task);
    if (settled != life.settled.end() && run <= settled->second) {
      return refuse("old");
    }
    const TaskNeed need = this->need_of(task);
    std::int64_t cpu = need.cpu;
    std::int64_t mem_mb = need.mem_mb;
    for (const auto& [other, active] : life.active) {
      cpu += active.need.cpu;
      mem_mb += active.need.mem_mb;
    }
    if (cpu > this->options.cpu || mem_mb > this->options.mem_mb || found != life.active.end()) {
      return refuse("room");
    }
    life.active[task] = {run, need, NowMs(), std::nullopt};
    this->Note(life, "start", task, run, "");
    return Answer(200, life);
  }

  std::optional<Response> Hold(Machine& machine, const std::string& id, const json::object& body,
                               std::unique_lock<std::mutex>& lock) {
    Life* life = machine.life.get();
    if (body.contains("until_ms")) {
      this->Extend(*life, body.at("until_ms").to_number<double>());
    }
    if (body.contains("ack_cursor")) {
      const auto acked = body.at("ack_cursor").to_number<std::uint64_t>();
      std::erase_if(life->ends, [&](const End& end) { return end.number <= acked; });
    }
    const double wait = body.contains("wait_ms") ? body.at("wait_ms").to_number<double>() : 0;
    const auto is_over = [&] {
      return !machine.life || machine.life->id != id || !machine.life->ends.empty();
    };
    this->ended.wait_for(lock, std::chrono::duration<double, std::milli>(wait), is_over);
    life = machine.life.get();
    if (life == nullptr || life->id != id) {
      return Response{421, "{}", "application/json"};
    }
    if (this->hanging.contains(id)) {
      return std::nullopt;
    }
    json::array active;
    for (const auto& [task, run] : life->active) {
      const double share = run.need.lasts ? (NowMs() - run.began_ms) / run.need.work_ms
                                          : (NowMs() - run.began_ms) / run.need.work_ms;
      const int percent = std::min(static_cast<int>(share * 100), run.need.lasts ? 100 : 99);
      active.push_back(json::array{task, run.run, "", percent, run.need.cpu});
    }
    json::array finished;
    for (const End& end : life->ends) {
      finished.push_back(json::array{end.number, end.task, end.run, end.how, ""});
    }
    return Answer(
        200, *life,
        {{"born", life->born}, {"active", std::move(active)}, {"finished", std::move(finished)}});
  }

  std::optional<Response> HandleCloud(const Request& request) {
    const std::lock_guard lock(this->mutex);
    if (request.path == "/-/machines") {
      json::array list;
      for (const auto& machine : this->machines) {
        list.push_back(json::object{
            {"host_id", machine->host},
            {"pool", machine->pool},
            {"phase", machine->phase},
            {"zone", machine->zone},
            {"labels", {"kind-a", machine->rack}},
            {"capacity",
             {{"cpu", this->options.cpu}, {"mem_mb", this->options.mem_mb}, {"gpu", 0}}},
            {"id", machine->life ? machine->life->id : ""}});
      }
      return Response{
          200, json::serialize(json::object{{"machines", std::move(list)}, {"next_token", ""}}),
          "application/json"};
    }
    const json::object body = json::parse(request.body).as_object();
    for (const auto& machine : this->machines) {
      if (machine->host == std::string(body.at("host_id").as_string())) {
        return this->Order(*machine, request, body);
      }
    }
    return Response{400, "{}", "application/json"};
  }

  Response Order(Machine& machine, const Request& request, const json::object& body) {
    const std::uint64_t token =
        std::strtoull(request.headers.at("chervilspar-fencing-token").c_str(), nullptr, 10);
    if (token < machine.fence) {
      return {409, R"({"reason":"fence"})", "application/json"};
    }
    machine.fence = token;
    if (request.path != "/-/machine-move") {
      return {409, R"({"reason":"wave"})", "application/json"};
    }
    const std::string pool(body.at("pool").as_string());
    if (machine.pool == pool) {
      return {};
    }
    if (machine.phase != "up") {
      return {409, R"({"reason":"busy"})", "application/json"};
    }
    this->EndLife(machine);
    machine.pool = pool;
    machine.phase = "moving";
    machine.up_at = NowMs() + this->options.move_ms;
    return {};
  }

  Store& store;
  const WorkerOptions options;
  const std::function<TaskNeed(const std::string&)> need_of;
  const std::function<std::string(const std::string&, std::uint64_t)> end_of;
  std::mutex mutex;
  std::condition_variable ended;
  std::vector<std::unique_ptr<Machine>> machines;
  std::set<std::string> standby;
  std::set<std::string> hanging;
  std::vector<WorkerEvent> events;
  int lives = 0;
  Server cloud;
};

}  // namespace review
