// Stand-ins of workers (PROTOCOL.md, "Running tasks") and of the machines' platform ("Machines"),
// with the checks of the rules TWICE, UNASKED and LIMIT.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "http.hpp"
#include "record.hpp"
#include "store.hpp"

namespace review {

using std::chrono::milliseconds;

struct Bounds {
  milliseconds hold_max{10000};
  milliseconds stop{200};
  milliseconds heartbeat{1500};
  milliseconds maintenance{2000};
  milliseconds gang{3000};
};

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Every run on every worker, for the checks.
class Runs {
 public:
  explicit Runs(Record& record) : record(record) {}

  struct Run {
    std::string worker;
    std::uint64_t number = 0;
    bool is_active = true;
    std::string how;
    bool is_noted = false;
  };

  void OnStart(const std::string& task, const std::string& worker, std::uint64_t number) {
    for (const Run& run : this->runs[task]) {
      if (run.is_active) {
        this->record.Break("TWICE", "run " + std::to_string(number) + " of " + task +
                                        " starts on " + worker + " while run " +
                                        std::to_string(run.number) + " works on " + run.worker);
      }
    }
    this->runs[task].push_back({worker, number});
  }
  void OnEnd(const std::string& task, const std::string& worker, std::uint64_t number,
             const std::string& how) {
    if (Run* run = this->Find(task, worker, number)) {
      run->is_active = false;
      run->how = how;
    }
  }
  /// `ack_cursor` has reached the end of this run.
  void OnNoted(const std::string& task, const std::string& worker, std::uint64_t number) {
    Run* const noted = this->Find(task, worker, number);
    if (noted == nullptr || noted->is_noted) {
      return;
    }
    noted->is_noted = true;
    bool is_later = false;
    for (const Run& run : this->runs[task]) {
      if (is_later && noted->how == "done") {
        this->record.Break("TWICE", "run " + std::to_string(run.number) + " of " + task +
                                        " was started on " + run.worker + " after run " +
                                        std::to_string(number) + " had ended done on " + worker);
      }
      is_later = is_later || &run == noted;
    }
  }
  bool IsActive(const std::string& task) const {
    const auto found = this->runs.find(task);
    return found != this->runs.end() && std::any_of(found->second.begin(), found->second.end(),
                                                    [](const Run& run) { return run.is_active; });
  }

 private:
  Run* Find(const std::string& task, const std::string& worker, std::uint64_t number) {
    for (Run& run : this->runs[task]) {
      if (run.worker == worker && run.number == number && !run.is_noted) {
        return &run;
      }
    }
    return nullptr;
  }

  Record& record;
  std::map<std::string, std::vector<Run>> runs;
};

/// The workers' agreement on gangs: the members of one run work from the moment when all are
/// present, and end together.
class Gangs {
 public:
  struct Member {
    std::string task;
    std::function<void(const std::string&)> finish;
  };

  /// Returns true when this member completes the gang.
  bool Join(const std::string& step, std::uint64_t run, std::size_t count, Member member) {
    Gang& gang = this->gangs[{step, run}];
    gang.members.push_back(std::move(member));
    gang.is_whole = gang.members.size() == count;
    return gang.is_whole && !gang.is_over;
  }
  bool IsWhole(const std::string& step, std::uint64_t run) {
    return this->gangs[{step, run}].is_whole;
  }
  /// Ends all members but those named; they get `how`.
  void End(const std::string& step, std::uint64_t run, const std::string& how,
           const std::set<std::string>& except) {
    Gang& gang = this->gangs[{step, run}];
    if (gang.is_over) {
      return;
    }
    gang.is_over = true;
    if (how == "broken" && !except.empty()) {
      ++this->broken;
    }
    const std::vector<Member> members = gang.members;
    for (const Member& member : members) {
      if (!except.contains(member.task)) {
        member.finish(how);
      }
    }
  }

 private:
  struct Gang {
    std::vector<Member> members;
    bool is_whole = false;
    bool is_over = false;
  };
  std::map<std::pair<std::string, std::uint64_t>, Gang> gangs;

 public:
  int broken = 0;
};

/// The service that knows which workers may run a step, and the tickets that it gives out.
class Adviser {
 public:
  Adviser(asio::io_context& io, unsigned short port, Record& record)
      : record(record),
        server(io, port, [this](Request request) { return this->Handle(std::move(request)); }) {}

  void Start() { this->server.Start(); }
  void Allow(std::set<std::string> workers) { this->allowed = std::move(workers); }
  static std::string Ticket(const std::string& step, const std::string& worker) {
    return "t-" + std::to_string(std::hash<std::string>()(step + "/" + worker));
  }

 private:
  asio::awaitable<std::optional<Response>> Handle(Request request) {
    const json::value parsed = json::parse(request.body());
    const std::string step(parsed.at("step").as_string());
    const json::array& workers = parsed.at("workers").as_array();
    co_await Sleep(milliseconds(20 + workers.size()));
    json::array good;
    std::string names;
    std::string named;
    for (const json::value& worker : workers) {
      const std::string id(worker.as_string());
      if (this->allowed.contains(id)) {
        good.push_back(json::array{id, Ticket(step, id)});
        names += " " + id;
      }
    }
    if (!workers.empty()) {
      named = std::string(workers.front().as_string()) + " to " +
              std::string(workers.back().as_string());
    }
    const std::string line = "adviser: " + step + ", asked about " +
                             std::to_string(workers.size()) + " workers (" + named +
                             "), good:" + (names.empty() ? " none" : names);
    if (line != this->last_line) {
      this->record.Line(line);
    }
    this->last_line = line;
    co_return Reply(200, json::serialize(json::object{{"good", good}, {"valid_ms", 3000}}));
  }

  Record& record;
  std::set<std::string> allowed;
  std::string last_line;
  Server server;
};

struct WorkerPlace {
  std::string service;
  std::string zone;
  std::string rack;
  std::int64_t cpu = 4000;
  std::string kind = "a";
};

/// One life after another of a worker under one id.
class Worker : public std::enable_shared_from_this<Worker> {
 public:
  Worker(asio::io_context& io, Store& store, Runs& runs, Record& record, const Bounds& bounds,
         Gangs& gangs, std::string id, unsigned short port, WorkerPlace place)
      : io(io),
        store(store),
        runs(runs),
        record(record),
        bounds(bounds),
        gangs(gangs),
        id(std::move(id)),
        port(port),
        place(std::move(place)),
        server(io, port, [this](Request request) { return this->Handle(std::move(request)); }) {}

  /// Begins a life; it registers for the first time after `until_first_beat`.
  void Start(milliseconds until_first_beat) {
    ++this->life;
    this->is_up = true;
    this->born_ms = UnixMs();
    this->begin = Clock::now();
    this->lease_until = 0;
    this->last_lapse = -1;
    this->fence = 0;
    this->next_end = 1;
    this->seq = 0;
    this->active.clear();
    this->finished.clear();
    this->highest.clear();
    this->server.Start();
    this->record.Line("worker " + this->id + " starts, born " + std::to_string(this->born_ms));
    asio::co_spawn(this->io, this->Beat(this->shared_from_this(), this->life, until_first_beat),
                   asio::detached);
    asio::co_spawn(this->io, this->WatchLease(this->shared_from_this(), this->life),
                   asio::detached);
  }

  /// The life ends: what runs is gone, connections are reset.
  void Crash(const char* why) {
    this->record.Line("worker " + this->id + " ends (" + why + "), " +
                      std::to_string(this->active.size()) + " runs with it");
    for (const auto& [task, run] : this->active) {
      this->runs.OnEnd(task, this->id, run.number, "lost");
    }
    this->active.clear();
    this->is_up = false;
    ++this->life;
    this->server.Stop();
    this->Wake();
  }

  void Unregister() { this->store.Put("keyed.servers", this->id, ""); }

  /// While it is cut off, nothing that is sent to it arrives, and none of its answers do. A request
  /// that was held up is lost, as its sender resets the connection.
  void Cut(bool is_cut) {
    this->is_cut = is_cut;
    ++this->cuts;
    this->record.Line("worker " + this->id + (is_cut ? " is cut off" : " is reachable again"));
  }

  /// It fails all that it starts: its runs end `failed` together, 200 ms after the first has
  /// started.
  void FailAll() { this->fails_all = true; }

  const std::string& Id() const { return this->id; }
  const WorkerPlace& Place() const { return this->place; }
  /// How often it was held and looked at.
  int Holds() const { return this->holds; }
  std::size_t ActiveCount() const { return this->active.size(); }
  std::int64_t LeaseLeftMs() const { return this->lease_until - this->ClockMs(); }

 private:
  struct Run {
    std::uint64_t number = 0;
    std::int64_t cpu = 0;
    std::int64_t work_ms = 0;
    std::int64_t started_ms = 0;
    bool is_stopping = false;
  };
  struct End {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
    /// On the worker's clock.
    std::int64_t at_ms = 0;
  };

  std::int64_t ClockMs() const {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - this->begin).count();
  }

  asio::awaitable<void> Beat(std::shared_ptr<Worker>, int own_life, milliseconds first) {
    co_await Sleep(first);
    while (this->life == own_life) {
      const json::object entry{
          {"service", this->place.service},
          {"address", "127.0.0.1:" + std::to_string(this->port)},
          {"zone", this->place.zone},
          {"version", "v1"},
          {"slots", 8},
          {"phase", "ready"},
          {"cold_left_ms", 0},
          {"capacity", json::object{{"cpu", this->place.cpu}, {"mem_mb", 65536}, {"gpu", 0}}},
          {"labels", json::array{this->place.kind, this->place.rack}},
          {"clock_ms", this->ClockMs()},
          {"born", this->born_ms},
          {"seq", ++this->seq}};
      this->store.Put("keyed.servers", this->id, json::serialize(entry));
      co_await Sleep(this->bounds.heartbeat);
    }
  }

  asio::awaitable<void> WatchLease(std::shared_ptr<Worker>, int own_life) {
    while (this->life == own_life) {
      co_await Sleep(milliseconds(5));
      if (this->life == own_life && !this->active.empty() && this->ClockMs() >= this->lease_until) {
        const auto all = this->active;
        for (const auto& [task, run] : all) {
          this->Finish(task, run.number, "lapsed");
        }
      }
    }
  }

  void Wake() {
    for (const auto& waiter : this->waiters) {
      waiter->cancel();
    }
    this->waiters.clear();
  }

  void Finish(const std::string& task, std::uint64_t number, const std::string& how) {
    const auto found = this->active.find(task);
    if (found == this->active.end() || found->second.number != number) {
      return;
    }
    this->active.erase(found);
    this->highest[task] = std::max(this->highest[task], number);
    this->finished.push_back({this->next_end++, task, number, how, this->ClockMs()});
    this->runs.OnEnd(task, this->id, number, how);
    this->record.Line("worker " + this->id + " run " + std::to_string(number) + " of " + task +
                      " ended " + how);
    this->Wake();
  }

  Response Answer(unsigned status, json::object body) {
    body["clock_ms"] = this->ClockMs();
    body["born"] = this->born_ms;
    return Reply(status, json::serialize(body));
  }

  void TakeLease(const json::object& body) {
    if (const json::value* until = body.if_contains("until_ms")) {
      const std::int64_t longest = this->ClockMs() + this->bounds.hold_max.count();
      if (this->lease_until <= this->ClockMs()) {
        this->last_lapse = this->lease_until;
      }
      const std::int64_t taken = std::min(until->to_number<std::int64_t>(), longest);
      if (until->to_number<std::int64_t>() > longest) {
        this->record.Line("worker " + this->id + " is sent until_ms " +
                          std::to_string(until->to_number<std::int64_t>()) + " at its clock " +
                          std::to_string(this->ClockMs()) + "; shortened to hold_max_ms");
      }
      this->lease_until = std::max(this->lease_until, taken);
    }
  }

  asio::awaitable<std::optional<Response>> Handle(Request request) {
    if (this->is_cut) {
      co_return std::nullopt;
    }
    const int own_life = this->life;
    const int cuts = this->cuts;
    std::optional<Response> response = co_await this->Execute(std::move(request));
    if (own_life != this->life || cuts != this->cuts) {
      co_return std::nullopt;
    }
    co_return response;
  }

  asio::awaitable<std::optional<Response>> Execute(Request request) {
    const std::string path(request.target());
    if (path == "/health") {
      co_return Reply(200, "{}");
    }
    const std::string target(request["Chervilspar-Target-Worker"]);
    if (!target.empty() && target != this->id) {
      co_return this->Answer(421, {});
    }
    const json::value parsed = json::parse(request.body());
    const json::object& body = parsed.as_object();
    const std::uint64_t token =
        body.contains("fence") ? body.at("fence").to_number<std::uint64_t>() : 0;
    if (token < this->fence) {
      co_return this->Answer(409, {{"reason", "fence"}});
    }
    this->fence = token;
    if (path == "/-/run-start") {
      co_return this->OnStart(body);
    }
    if (path == "/-/run-stop") {
      co_return this->OnStop(body);
    }
    if (path == "/-/hold") {
      co_return co_await this->OnHold(body);
    }
    co_return this->Answer(200, {});
  }

  /// The payload says how a task works: "cpu=1000 work=20000"; without `work` it lasts.
  static std::int64_t Field(const std::string& payload, const std::string& name) {
    const std::size_t at = payload.find(name + "=");
    return at == std::string::npos ? 0 : std::stoll(payload.substr(at + name.size() + 1));
  }

  Response OnStart(const json::object& body) {
    const std::string task(body.at("task").as_string());
    const auto number = body.at("run").to_number<std::uint64_t>();
    const std::string spec(body.at("spec").as_string());
    const auto there = this->active.find(task);
    if (there != this->active.end() && there->second.number == number) {
      this->TakeLease(body);
      return this->Answer(200, {});
    }
    const auto refuse = [&](const char* reason) {
      this->record.Line("worker " + this->id + " refuses run " + std::to_string(number) + " of " +
                        task + ": " + reason);
      return this->Answer(409, {{"reason", reason}});
    };
    if (body.at("until_ms").to_number<std::int64_t>() <= this->ClockMs()) {
      return refuse("late");
    }
    this->TakeLease(body);
    const auto ended = this->highest.find(task);
    if (there != this->active.end() || (ended != this->highest.end() && number <= ended->second)) {
      return refuse("old");
    }
    std::int64_t used = 0;
    for (const auto& [name, run] : this->active) {
      used += run.cpu;
    }
    if (Field(spec, "advice") > 0 &&
        (!body.contains("ticket") ||
         body.at("ticket").as_string() !=
             Adviser::Ticket(task.substr(0, task.rfind('.')), this->id))) {
      return refuse("ticket");
    }
    Run run{number, Field(spec, "cpu"), Field(spec, "work"), this->ClockMs()};
    if (used + run.cpu > this->place.cpu) {
      return refuse("room");
    }
    this->active[task] = run;
    this->record.Line("worker " + this->id + " starts run " + std::to_string(number) + " of " +
                      task + ", lease left " + std::to_string(this->LeaseLeftMs()) + " ms");
    this->runs.OnStart(task, this->id, number);
    if (this->fails_all) {
      this->to_fail[task] = number;
      if (this->to_fail.size() == 1) {
        asio::co_spawn(this->io, this->Fail(this->shared_from_this(), this->life), asio::detached);
      }
    }
    const auto gang = static_cast<std::size_t>(Field(spec, "gang"));
    if (gang > 0) {
      this->JoinGang(task, run, gang);
    } else if (run.work_ms > 0 && !this->fails_all) {
      asio::co_spawn(this->io, this->Work(this->shared_from_this(), this->life, task, run),
                     asio::detached);
    }
    return this->Answer(200, {});
  }

  asio::awaitable<void> Work(std::shared_ptr<Worker>, int own_life, std::string task, Run run) {
    co_await Sleep(milliseconds(run.work_ms));
    if (this->life == own_life) {
      this->Finish(task, run.number, "done");
    }
  }

  static std::string StepOf(const std::string& task) { return task.substr(0, task.rfind('.')); }

  void JoinGang(const std::string& task, const Run& run, std::size_t count) {
    const auto finish = [weak = this->weak_from_this(), life = this->life, task,
                         number = run.number](const std::string& how) {
      const auto self = weak.lock();
      if (self && self->life == life) {
        self->Finish(task, number, how);
      }
    };
    const std::string step = StepOf(task);
    if (this->gangs.Join(step, run.number, count, {task, finish})) {
      this->record.Line("gang " + step + ", run " + std::to_string(run.number) + ": all present");
      asio::co_spawn(this->io, this->WorkTogether(step, run), asio::detached);
    }
    asio::co_spawn(this->io, this->AwaitGang(this->shared_from_this(), this->life, task, run),
                   asio::detached);
  }

  asio::awaitable<void> WorkTogether(std::string step, Run run) {
    co_await Sleep(milliseconds(run.work_ms));
    this->gangs.End(step, run.number, "done", {});
  }

  asio::awaitable<void> AwaitGang(std::shared_ptr<Worker>, int own_life, std::string task,
                                  Run run) {
    co_await Sleep(this->bounds.gang);
    if (this->life == own_life && !this->gangs.IsWhole(StepOf(task), run.number)) {
      this->Finish(task, run.number, "alone");
    }
  }

  asio::awaitable<void> Fail(std::shared_ptr<Worker>, int own_life) {
    co_await Sleep(milliseconds(200));
    const auto all = std::exchange(this->to_fail, {});
    if (this->life != own_life) {
      co_return;
    }
    std::set<std::string> names;
    for (const auto& [task, number] : all) {
      names.insert(task);
      this->Finish(task, number, "failed");
    }
    for (const auto& [task, number] : all) {
      this->gangs.End(StepOf(task), number, "broken", names);
    }
  }

  Response OnStop(const json::object& body) {
    const std::string task(body.at("task").as_string());
    const auto number = body.at("run").to_number<std::uint64_t>();
    this->record.Line("worker " + this->id + " is told to stop run " + std::to_string(number) +
                      " of " + task);
    const auto found = this->active.find(task);
    if (found != this->active.end() && found->second.number == number) {
      if (!found->second.is_stopping) {
        found->second.is_stopping = true;
        asio::co_spawn(this->io, this->Stop(this->shared_from_this(), this->life, task, number),
                       asio::detached);
      }
    } else if (found == this->active.end()) {
      this->highest[task] = std::max(this->highest[task], number);
    }
    return this->Answer(200, {});
  }

  asio::awaitable<void> Stop(std::shared_ptr<Worker>, int own_life, std::string task,
                             std::uint64_t number) {
    co_await Sleep(this->bounds.stop / 2);
    if (this->life == own_life) {
      this->Finish(task, number, "stopped");
    }
  }

  asio::awaitable<Response> OnHold(json::object body) {
    const int own_life = this->life;
    ++this->holds;
    this->TakeLease(body);
    const auto cursor =
        body.contains("ack_cursor") ? body.at("ack_cursor").to_number<std::uint64_t>() : 0;
    for (const End& end : this->finished) {
      // A lease that lapsed between the end and its acknowledgement stands for good.
      const bool has_lapsed =
          end.at_ms <= this->last_lapse ||
          (end.at_ms <= this->lease_until && this->lease_until <= this->ClockMs());
      if (end.number <= cursor && !has_lapsed) {
        this->runs.OnNoted(end.task, this->id, end.run);
      }
    }
    std::erase_if(this->finished, [&](const End& end) { return end.number <= cursor; });
    const auto wait = body.contains("wait_ms") ? body.at("wait_ms").to_number<int>() : 0;
    if (wait > 0 && this->finished.empty()) {
      auto timer = std::make_shared<asio::steady_timer>(this->io, milliseconds(wait));
      this->waiters.push_back(timer);
      boost::system::error_code error;
      co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, error));
      std::erase(this->waiters, timer);
    }
    json::array active;
    json::array ended;
    if (this->life == own_life) {
      for (const auto& [task, run] : this->active) {
        const std::int64_t age = this->ClockMs() - run.started_ms;
        const std::int64_t percent = run.work_ms == 0
                                         ? (age > 900 ? 100 : age / 9)
                                         : std::min<std::int64_t>(99, age * 100 / run.work_ms);
        active.push_back(
            json::array{task, run.number, "", percent, run.work_ms == 0 ? 20 : run.cpu});
      }
      for (const End& end : this->finished) {
        ended.push_back(json::array{end.number, end.task, end.run, end.how, ""});
      }
    }
    co_return this->Answer(200, {{"active", active}, {"finished", ended}});
  }

  asio::io_context& io;
  Store& store;
  Runs& runs;
  Record& record;
  const Bounds bounds;
  Gangs& gangs;
  const std::string id;
  const unsigned short port;
  const WorkerPlace place;
  Server server;
  int life = 0;
  bool is_up = false;
  bool is_cut = false;
  bool fails_all = false;
  /// What it has started since it fails all, by task.
  std::map<std::string, std::uint64_t> to_fail;
  int cuts = 0;
  int holds = 0;
  std::int64_t born_ms = 0;
  Clock::time_point begin{};
  std::int64_t lease_until = 0;
  /// When the lease lapsed last before it was granted anew, on the worker's clock.
  std::int64_t last_lapse = -1;
  std::uint64_t fence = 0;
  std::uint64_t next_end = 1;
  int seq = 0;
  std::map<std::string, Run> active;
  std::vector<End> finished;
  /// By task: the highest run that was stopped or has ended here.
  std::map<std::string, std::uint64_t> highest;
  std::vector<std::shared_ptr<asio::steady_timer>> waiters;
};

}  // namespace review
