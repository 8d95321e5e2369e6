// Stand-in of the platform of the machines (PROTOCOL.md, "Machines") with the check of the rule
// LIMIT.
#pragma once

#include "fleet.hpp"

namespace review {

struct Machine {
  std::string host;
  std::shared_ptr<Worker> worker;
  std::string phase = "up";
  std::uint64_t token = 0;
  std::set<std::uint64_t> waves_done;
};

class Cloud {
 public:
  /// Makes the worker of the machine's next life.
  using MakeWorker = std::function<std::shared_ptr<Worker>(const Machine&)>;

  Cloud(asio::io_context& io, unsigned short port, Record& record, const Bounds& bounds,
        MakeWorker make_worker)
      : io(io),
        record(record),
        bounds(bounds),
        make_worker(std::move(make_worker)),
        server(io, port, [this](Request request) { return this->Handle(std::move(request)); }) {}

  void Start() { this->server.Start(); }
  Machine& Add(Machine machine) { return this->machines.emplace_back(std::move(machine)); }

  void SetWave(std::uint64_t wave, std::set<std::string> hosts, std::size_t cap) {
    this->wave_hosts[wave] = std::move(hosts);
    this->wave_caps[wave] = cap;
  }
  /// The next so many upkeep orders get no answer and are carried out so much later.
  void CarryOutLate(int count, milliseconds delay) {
    this->late_count = count;
    this->late_delay = delay;
  }
  std::size_t DoneIn(std::uint64_t wave) const {
    return std::count_if(this->machines.begin(), this->machines.end(),
                         [&](const Machine& one) { return one.waves_done.contains(wave); });
  }

 private:
  Machine* Find(const std::string& host) {
    const auto found = std::find_if(this->machines.begin(), this->machines.end(),
                                    [&](const Machine& one) { return one.host == host; });
    return found == this->machines.end() ? nullptr : &*found;
  }

  asio::awaitable<std::optional<Response>> Handle(Request request) {
    const std::string target(request.target());
    const std::string path = target.substr(0, target.find('?'));
    co_await Sleep(milliseconds(2));
    if (path == "/-/machines") {
      co_return this->List();
    }
    const json::value parsed = json::parse(request.body());
    const json::object body = parsed.as_object();
    const std::string holder(request["Chervilspar-Lease-Holder"]);
    const std::uint64_t token = std::stoull(std::string(request["Chervilspar-Fencing-Token"]));
    if (path == "/-/machine-upkeep") {
      const std::string host(body.at("host_id").as_string());
      const auto wave = body.at("wave").to_number<std::uint64_t>();
      this->record.Line("order: upkeep of " + host + " for wave " + std::to_string(wave) + " by " +
                        holder + ", token " + std::to_string(token));
      if (this->late_count > 0) {
        --this->late_count;
        this->record.Line("  gets no answer; will be carried out in " +
                          std::to_string(this->late_delay.count()) + " ms");
        asio::co_spawn(this->io, this->Late(host, wave, token), asio::detached);
        co_return std::nullopt;
      }
      co_return this->Upkeep(host, wave, token);
    }
    this->record.Line("order: " + path + " " + request.body());
    co_return Reply(409, R"({"reason":"busy"})");
  }

  Response List() {
    json::array rows;
    for (const Machine& machine : this->machines) {
      const WorkerPlace& place = machine.worker->Place();
      const bool is_up = machine.phase == "up";
      rows.push_back(json::object{
          {"host_id", machine.host},
          {"pool", place.service},
          {"phase", machine.phase},
          {"zone", place.zone},
          {"labels", json::array{place.kind, place.rack}},
          {"capacity", json::object{{"cpu", place.cpu}, {"mem_mb", 65536}, {"gpu", 0}}},
          {"id", is_up ? machine.worker->Id() : ""}});
    }
    return Reply(200, json::serialize(json::object{{"machines", rows}, {"next_token", nullptr}}));
  }

  asio::awaitable<void> Late(std::string host, std::uint64_t wave, std::uint64_t token) {
    co_await Sleep(this->late_delay);
    this->record.Line("the late order is carried out: upkeep of " + host);
    this->Upkeep(host, wave, token);
  }

  Response Upkeep(const std::string& host, std::uint64_t wave, std::uint64_t token) {
    const auto answer = [&](unsigned status, const std::string& reason) {
      this->record.Line("  upkeep of " + host + ": " + std::to_string(status) + " " + reason);
      return Reply(status, reason.empty() ? "{}" : R"({"reason":")" + reason + R"("})");
    };
    Machine* const machine = this->Find(host);
    if (machine == nullptr) {
      return answer(400, "");
    }
    if (token < machine->token) {
      return answer(409, "fence");
    }
    machine->token = token;
    if (!this->wave_hosts[wave].contains(host)) {
      return answer(409, "wave");
    }
    if (machine->waves_done.contains(wave)) {
      return answer(200, "");
    }
    if (machine->phase != "up") {
      return answer(409, "busy");
    }
    std::size_t down = 0;
    std::string names;
    for (const Machine& one : this->machines) {
      if (this->wave_hosts[wave].contains(one.host) && one.phase == "upkeep") {
        ++down;
        names += " " + one.host;
      }
    }
    if (down >= this->wave_caps[wave]) {
      this->record.Break("LIMIT", "the upkeep of " + host + " begins while" + names +
                                      " of its wave is down for its own; cap " +
                                      std::to_string(this->wave_caps[wave]));
    }
    this->record.Line("  machine " + host + " goes down for its upkeep");
    machine->waves_done.insert(wave);
    machine->phase = "upkeep";
    machine->worker->Crash("upkeep");
    machine->worker->Unregister();
    asio::co_spawn(this->io, this->Return(*machine), asio::detached);
    return answer(200, "");
  }

  asio::awaitable<void> Return(Machine& machine) {
    co_await Sleep(this->bounds.maintenance);
    machine.worker = this->make_worker(machine);
    machine.phase = "up";
    machine.worker->Start(milliseconds(100));
    this->record.Line("machine " + machine.host + " is up again with " + machine.worker->Id());
  }

  asio::io_context& io;
  Record& record;
  const Bounds bounds;
  const MakeWorker make_worker;
  std::deque<Machine> machines;
  std::map<std::uint64_t, std::set<std::string>> wave_hosts;
  std::map<std::uint64_t, std::size_t> wave_caps;
  int late_count = 0;
  milliseconds late_delay{};
  Server server;
};

}  // namespace review
