// Plays one case against entry processes that are running already: the store, the workers, the
// machines' platform, the operator and a client. Exits with 1 if a rule was broken, 0 if all held,
// 2 if the case couldn't run.
#include <cstdlib>
#include <iostream>
#include <sstream>

#include "cloud.hpp"
#include "fleet.hpp"
#include "http.hpp"
#include "record.hpp"
#include "store.hpp"

namespace review {

constexpr const char* kPool = "huvo11a";
constexpr const char* kHost = "cuzi25.example";
constexpr const char* kPrefix = "/kafi706/";
constexpr const char* kAdvisedPrefix = "/defi252/";
constexpr const char* kKey = "k-51c0a94e";

struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::vector<unsigned short> PortsOf(const char* name) {
  std::vector<unsigned short> ports;
  std::stringstream text(std::getenv(name) == nullptr ? "" : std::getenv(name));
  for (std::string one; std::getline(text, one, ',');) {
    ports.push_back(static_cast<unsigned short>(std::stoi(one)));
  }
  return ports;
}

class Stage {
 public:
  Stage(asio::io_context& io, Record& record, bool has_trouble)
      : io(io),
        record(record),
        has_trouble(has_trouble),
        runs(record),
        store(io, PortsOf("STORE_PORT").at(0), record),
        cloud(io, PortsOf("CLOUD_PORT").at(0), record, this->bounds,
              [this](const Machine& machine) { return this->NextLife(machine); }),
        adviser(io, PortsOf("ADVICE_PORT").at(0), record),
        worker_ports(PortsOf("WORKER_PORTS")),
        fronts(PortsOf("FRONT_PORTS")) {}

  void Open() {
    this->store.Start();
    this->cloud.Start();
    this->adviser.Start();
    json::object route{{"name", "r-4jcda9r"}, {"host", kHost},      {"path_prefix", kPrefix},
                       {"type", "mutating"},  {"timeout_ms", 3000}, {"target_runtime_ms", 2500},
                       {"prio", 0},           {"service", kPool},   {"attempts", 3},
                       {"slack_factor", 1.6}, {"public", false}};
    json::object advised = route;
    advised["name"] = "r-bkf83fg";
    advised["path_prefix"] = kAdvisedPrefix;
    advised["advice"] = json::object{{"decide_ms", 20}, {"each_ms", 1}, {"valid_ms", 3000}};
    const json::object config{
        {"version", 7},
        {"routes", json::array{route, advised}},
        {"services", json::array{json::object{{"name", kPool}, {"admission_check", true}}}},
        {"tenants", json::array{json::object{
                        {"name", "t-counter"},
                        {"weight", 1.0},
                        {"api_keys", json::array{kKey}},
                        {"cap", json::object{{"cpu", 400000}, {"mem_mb", 4000000}, {"gpu", 0}}}}}},
        {"limits", json::object{}}};
    this->store.Put("keyed.op", "config", json::serialize(config));
  }

  std::shared_ptr<Worker> AddWorker(std::string id, WorkerPlace place) {
    if (this->next_port >= this->worker_ports.size()) {
      throw CannotRun("too few ports for workers");
    }
    return std::make_shared<Worker>(this->io, this->store, this->runs, this->record, this->bounds,
                                    this->gangs, std::move(id),
                                    this->worker_ports[this->next_port++], std::move(place));
  }

  std::shared_ptr<Worker> NextLife(const Machine& machine) {
    return this->AddWorker(machine.worker->Id() + "b", machine.worker->Place());
  }

  asio::awaitable<std::optional<Response>> Send(http::verb method, const std::string& id,
                                                std::string body, std::string prefix = kPrefix) {
    Request request(method, prefix + id, 11);
    request.set(http::field::host, kHost);
    request.set("Api-Key", kKey);
    request.set("Chervilspar-Deadline-Ms", "3000");
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    const unsigned short port = this->fronts[this->next_front++ % this->fronts.size()];
    std::optional<Response> response = co_await Call(port, std::move(request), milliseconds(3000));
    this->record.Line("client: " + std::string(http::to_string(method)) + " " + id + " -> " +
                      (response ? std::to_string(response->result_int()) + " " + response->body()
                                : std::string("no answer")));
    co_return response;
  }

  /// Hands a job in as a client does: again after no answer or 5xx.
  asio::awaitable<void> Submit(const std::string& id, const std::string& body,
                               std::string prefix = kPrefix) {
    for (int i = 0; i < 30; ++i) {
      const auto response = co_await this->Send(http::verb::post, id, body, prefix);
      if (response && response->result_int() == 200) {
        co_return;
      }
      co_await Sleep(milliseconds(500));
    }
    throw CannotRun("a job was not accepted");
  }

  asio::awaitable<void> AwaitRuns(const Worker& worker, std::size_t count, milliseconds limit) {
    const auto end = Clock::now() + limit;
    while (worker.ActiveCount() < count) {
      if (Clock::now() > end) {
        throw CannotRun("the tasks did not start on " + worker.Id());
      }
      co_await Sleep(milliseconds(20));
    }
  }

  /// One task that lasts on each worker, as on a fleet in use: the pool keeps all of them.
  asio::awaitable<void> SubmitLasting(const std::vector<std::shared_ptr<Worker>>& workers) {
    co_await this->Submit(
        "90b1c7d45c0e7a21",
        R"({"spec":"cpu=1000","steps":[{"count":)" + std::to_string(workers.size()) +
            R"(,"cpu":1000,"mem_mb":256,"estimate_ms":900,"long_running":true,"max_per_server":1}]})");
    for (const auto& worker : workers) {
      co_await this->AwaitRuns(*worker, 1, milliseconds(8000));
    }
  }

  /// Workers of one pool in three zones, each with `cpu` 4000.
  std::vector<std::shared_ptr<Worker>> AddWorkers(int count) {
    std::vector<std::shared_ptr<Worker>> workers;
    for (int i = 0; i < count; ++i) {
      const std::string number = (i < 10 ? "0" : "") + std::to_string(i);
      const std::string zone = "is-south-" + std::string(1, "abc"[i % 3]);
      workers.push_back(this->AddWorker("i-7f3a91" + number,
                                        {kPool, zone, i == 0 ? "r1-1" : "r2-" + zone.substr(9)}));
      workers.back()->Start(milliseconds(100));
      this->cloud.Add({"m-0a3f" + number, workers.back()});
    }
    return workers;
  }

  asio::io_context& io;
  Record& record;
  const bool has_trouble;
  const Bounds bounds;
  Runs runs;
  Store store;
  Cloud cloud;
  Adviser adviser;
  Gangs gangs;
  const std::vector<unsigned short> worker_ports;
  const std::vector<unsigned short> fronts;
  std::size_t next_port = 0;
  std::size_t next_front = 0;
};

/// A worker restarts under its id; some seconds later it is cut off and runs on.
asio::awaitable<void> PlayRestartThenCut(Stage& stage) {
  const auto workers = stage.AddWorkers(14);
  const auto near = workers[0];
  co_await Sleep(milliseconds(5000));
  co_await stage.SubmitLasting(workers);
  const std::string id = "5c0e7a21d94b36f8";
  co_await stage.Submit(
      id,
      R"({"spec":"cpu=1000 work=25000","steps":[{"count":3,"cpu":1000,"mem_mb":256,"estimate_ms":25000,"affinity":"r1-1"}]})");
  co_await stage.AwaitRuns(*near, 4, milliseconds(8000));
  co_await Sleep(milliseconds(4000));
  const std::string trouble = std::getenv("TROUBLE") == nullptr ? "1" : std::getenv("TROUBLE");
  if (trouble == "1" || trouble == "restart") {
    near->Crash("its process is killed");
    co_await Sleep(milliseconds(200));
    // It writes to the store about every heartbeat_ms, so that its new life shows there only later.
    near->Start(milliseconds(700));
  }
  co_await Sleep(milliseconds(300));
  co_await stage.AwaitRuns(*near, 4, milliseconds(8000));
  co_await Sleep(milliseconds(1500));
  if (trouble == "1" || trouble == "cut") {
    // Late in the wait of a look, so that the owner misses the worker early.
    for (const int before = near->Holds(); near->Holds() == before;) {
      co_await Sleep(milliseconds(5));
    }
    co_await Sleep(milliseconds(600));
    near->Cut(true);
    co_await Sleep(milliseconds(5500));
    near->Cut(false);
  }
  for (int i = 0; i < 45; ++i) {
    co_await Sleep(milliseconds(1000));
    const auto shown = co_await stage.Send(http::verb::get, id, "");
    if (shown && shown->body().find("complete") != std::string::npos) {
      co_return;
    }
  }
  stage.record.Line("note: the job is not complete at the end");
}

/// A wave of upkeep, of which one order gets no answer and is carried out later.
asio::awaitable<void> PlayLateUpkeep(Stage& stage) {
  std::set<std::string> hosts;
  std::vector<std::shared_ptr<Worker>> workers;
  const std::vector<std::string> zones{"is-south-a", "is-south-b", "is-south-c"};
  for (int i = 0; i < 6; ++i) {
    workers.push_back(stage.AddWorker("i-7f3a91c" + std::to_string(i),
                                      {kPool, zones[i % 3], "r" + std::to_string(i % 3) + "-1"}));
    workers.back()->Start(milliseconds(100));
    const std::string host = "m-0a3f" + std::to_string(i);
    stage.cloud.Add({host, workers.back()});
    hosts.insert(host);
  }
  co_await Sleep(milliseconds(5000));
  co_await stage.Submit(
      "5c0e7a21d94b36f8",
      R"({"spec":"cpu=1000","steps":[{"count":3,"cpu":1000,"mem_mb":256,"estimate_ms":900,"long_running":true,"image":"img-1","target_ms":200,"max_per_server":1,"max_unavailable":1}]})");
  co_await Sleep(milliseconds(4000));
  if (stage.has_trouble) {
    stage.cloud.CarryOutLate(1, milliseconds(std::atoi(std::getenv("LATE_MS"))));
  }
  stage.cloud.SetWave(1, hosts, 1);
  json::array machines(hosts.begin(), hosts.end());
  stage.record.Line("operator: op/wave/1, 6 machines, cap 1");
  stage.store.Put("keyed.op", "wave/1",
                  json::serialize(json::object{
                      {"wave", 1}, {"machines", machines}, {"deadline_s", 45}, {"cap", 1}}));
  for (int i = 0; i < 60 && stage.cloud.DoneIn(1) < hosts.size(); ++i) {
    co_await Sleep(milliseconds(1000));
  }
  co_await Sleep(milliseconds(3000));
  stage.record.Line("status/wave/1: " + stage.store.Newest("keyed.status", "wave/1"));
}

/// On a queue with advice, the worker that runs the only task is lost for good. Others on which the
/// step may run have room.
asio::awaitable<void> PlayAdvice(Stage& stage) {
  constexpr int kWorkers = 40;
  const auto workers = stage.AddWorkers(kWorkers);
  std::set<std::string> allowed{workers[5]->Id()};
  for (int i = 34; i < kWorkers; ++i) {
    allowed.insert(workers[i]->Id());
  }
  stage.adviser.Allow(allowed);
  std::string names;
  for (const std::string& id : allowed) {
    names += " " + id;
  }
  stage.record.Line("the step may run on" + names);
  co_await Sleep(milliseconds(5000));
  co_await stage.SubmitLasting(workers);
  const std::string id = "5c0e7a21d94b36f8";
  const std::string task = id + ".0.0.0";
  co_await stage.Submit(
      id,
      R"({"spec":"cpu=1000 work=12000 advice=1","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":12000}]})",
      kAdvisedPrefix);
  for (int i = 0; i < 100 && !stage.runs.IsActive(task); ++i) {
    co_await Sleep(milliseconds(50));
  }
  if (!stage.runs.IsActive(task)) {
    throw CannotRun("the task did not start");
  }
  co_await Sleep(milliseconds(2000));
  const auto ended = Clock::now();
  if (stage.has_trouble) {
    workers[5]->Crash("lost for good");
    co_await Sleep(milliseconds(4500));
    workers[5]->Unregister();
    stage.record.Line("its entry has left the store");
  }
  // finish_s after the end of the traffic: for 3 s, the job has nothing running.
  co_await Sleep(
      std::chrono::duration_cast<milliseconds>(ended + std::chrono::seconds(14) - Clock::now()));
  auto idle_since = Clock::now();
  for (const auto end = Clock::now() + std::chrono::seconds(40); Clock::now() < end;) {
    co_await Sleep(milliseconds(1000));
    const auto shown = co_await stage.Send(http::verb::get, id, "", kAdvisedPrefix);
    if (shown && shown->body().find("complete") != std::string::npos) {
      co_return;
    }
    if (stage.runs.IsActive(task)) {
      idle_since = Clock::now();
    }
    if (Clock::now() - idle_since > std::chrono::seconds(3) && stage.record.breaks == 0) {
      stage.record.Break("LOST", "14 s after the end of the traffic, nothing of the accepted job " +
                                     id + " has been running for 3 s; its step may run on" + names +
                                     ", of which all but one are up and three quarters free");
    }
  }
}

/// One worker fails all that it starts; several members of a gang run there.
asio::awaitable<void> PlayGang(Stage& stage) {
  const auto workers = stage.AddWorkers(12);
  co_await Sleep(milliseconds(5000));
  co_await stage.SubmitLasting(workers);
  if (stage.has_trouble) {
    workers[0]->FailAll();
    stage.record.Line("from now on worker " + workers[0]->Id() + " fails all that it starts");
  }
  const std::string id = "5c0e7a21d94b36f8";
  co_await stage.Submit(
      id,
      R"({"spec":"cpu=1000 work=3000 gang=6","steps":[{"count":6,"cpu":1000,"mem_mb":256,"estimate_ms":3000,"gang":true,"affinity":"r1-1"}]})");
  for (int i = 0; i < 40; ++i) {
    co_await Sleep(milliseconds(500));
    const auto shown = co_await stage.Send(http::verb::get, id, "");
    if (!shown) {
      continue;
    }
    if (shown->body().find("complete") != std::string::npos) {
      co_return;
    }
    if (shown->body().find("failed") != std::string::npos) {
      if (stage.gangs.broken < 3) {
        stage.record.Break("LOST", "job " + id + " is shown as failed; its gang has failed " +
                                       std::to_string(stage.gangs.broken) +
                                       " time, no task more often, and `attempts` is 3");
      }
      co_return;
    }
  }
}

asio::awaitable<void> Play(Stage& stage, std::string name, int& code) {
  try {
    if (name == "restart-then-cut") {
      co_await PlayRestartThenCut(stage);
    } else if (name == "advice") {
      co_await PlayAdvice(stage);
    } else if (name == "gang") {
      co_await PlayGang(stage);
    } else if (name == "late-upkeep") {
      co_await PlayLateUpkeep(stage);
    } else {
      throw CannotRun("there is no case " + name);
    }
    code = stage.record.breaks > 0 ? 1 : 0;
  } catch (const std::exception& error) {
    stage.record.Line(std::string("can't run: ") + error.what());
    code = stage.record.breaks > 0 ? 1 : 2;
  }
  stage.record.Line("exit code " + std::to_string(code));
  stage.io.stop();
}

/// Prints `count` free ports, all from one block. The search begins with a block that depends on
/// `start`, so that runs side by side get blocks of their own. The ports are below those that the
/// system gives to outgoing connections, so that none of these takes one before it is bound.
int FreePorts(int count, int start) {
  constexpr int kLowest = 15000;
  constexpr int kBlockSize = 100;
  constexpr int kBlocks = 170;
  for (int i = 0; i < kBlocks; ++i) {
    const int first = kLowest + (start + i) % kBlocks * kBlockSize;
    asio::io_context io;
    std::vector<std::unique_ptr<tcp::acceptor>> taken;
    boost::system::error_code error;
    for (int port = first; port < first + count && !error; ++port) {
      taken.push_back(std::make_unique<tcp::acceptor>(io, tcp::v4()));
      taken.back()->bind({asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(port)},
                         error);
    }
    if (!error) {
      for (int port = first; port < first + count; ++port) {
        std::cout << port << '\n';
      }
      return 0;
    }
  }
  return 2;
}

}  // namespace review

int main(int count, char** words) {
  if (count == 4 && std::string(words[1]) == "free-ports") {
    return review::FreePorts(std::atoi(words[2]), std::atoi(words[3]));
  }
  if (count != 3) {
    std::cerr << "usage: standin CASE RECORD | standin free-ports N START\n";
    return 2;
  }
  review::asio::io_context io(1);
  review::Record record(words[2]);
  const char* trouble = std::getenv("TROUBLE");
  int code = 2;
  review::Stage stage(io, record, trouble == nullptr || std::string(trouble) != "0");
  try {
    stage.Open();
  } catch (const std::exception& error) {
    record.Line(std::string("can't run: ") + error.what());
    return 2;
  }
  review::asio::co_spawn(io, review::Play(stage, words[1], code), review::asio::detached);
  io.run();
  std::_Exit(code);
}
