// Stand-ins of the platform for the cases of this review: the store, workers, the list of machines
// and callers, all in one process and on one thread, and entries as child processes.
#pragma once

#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <unistd.h>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace net = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
namespace json = boost::json;
using tcp = net::ip::tcp;
using net::awaitable;
using Request = bhttp::request<bhttp::string_body>;
using Response = bhttp::response<bhttp::string_body>;

inline net::io_context& Io() {
  static net::io_context io(1);
  return io;
}

/// Seconds since the start of the program, on the steady clock.
inline double Now() {
  static const auto begin = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline awaitable<void> Sleep(double seconds) {
  net::steady_timer timer(Io());
  timer.expires_after(
      std::chrono::microseconds(static_cast<std::int64_t>(std::max(seconds, 0.0) * 1e6)));
  boost::system::error_code error;
  co_await timer.async_wait(net::redirect_error(net::use_awaitable, error));
}

template <typename Task>
void Spawn(Task task) {
  net::co_spawn(Io(), std::move(task), [](std::exception_ptr error) {
    if (error) {
      try {
        std::rethrow_exception(error);
      } catch (const std::exception& fault) {
        std::fprintf(stderr, "stand-in: %s\n", fault.what());
      }
    }
  });
}

/// Writes what was sent, answered and run to record.txt.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { this->file = std::fopen(path.c_str(), "w"); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    if (this->file == nullptr) {
      return;
    }
    std::fprintf(this->file, "%9.3f  ", Now());
    va_list args;
    va_start(args, format);
    std::vfprintf(this->file, format, args);
    va_end(args);
    std::fputc('\n', this->file);
    std::fflush(this->file);
  }

 private:
  std::FILE* file = nullptr;
};
#define LINE(...) Record::Get().Line(__VA_ARGS__)

/// The rules that were broken.
struct Breaks {
  std::vector<std::string> lines;
  void Add(const std::string& text) {
    this->lines.push_back(text);
    LINE("BROKEN %s", text.c_str());
  }
};
inline Breaks& Broken() {
  static Breaks breaks;
  return breaks;
}

/// Listens at a port of its own for as long as the program runs, so that programs that run side by
/// side use different blocks of ports.
inline std::uint16_t TakePortBlock() {
  constexpr int kFirst = 20000;
  constexpr int kBlocks = 110;
  constexpr int kBlock = 100;
  static tcp::acceptor lock(Io());
  std::random_device random;
  while (true) {
    const auto port = static_cast<std::uint16_t>(kFirst + random() % kBlocks * kBlock);
    boost::system::error_code error;
    lock.open(tcp::v4(), error);
    lock.bind({net::ip::make_address("127.0.0.1"), port}, error);
    if (!error) {
      lock.listen(1, error);
    }
    if (!error) {
      return port;
    }
    lock.close();
  }
}

/// A port that nobody uses.
inline std::uint16_t FreePort() {
  static std::uint16_t next = TakePortBlock();
  while (true) {
    ++next;
    boost::system::error_code error;
    tcp::acceptor probe(Io());
    probe.open(tcp::v4(), error);
    probe.bind({net::ip::make_address("127.0.0.1"), next}, error);
    if (!error) {
      return next;
    }
  }
}

inline std::string Address(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

struct Reply {
  unsigned status = 200;
  std::string body;
  /// No answer is ever sent; the connection stays open until the caller closes it.
  bool is_withheld = false;
};

/// An HTTP server that can be closed with resets, and cut: nothing arrives and nothing leaves.
class Server : public std::enable_shared_from_this<Server> {
 public:
  using Handler = std::function<awaitable<Reply>(std::shared_ptr<Request>)>;
  Server(std::uint16_t port, Handler handler) : port(port), handler(std::move(handler)) {}

  void Open() {
    this->acceptor = std::make_shared<tcp::acceptor>(Io());
    this->acceptor->open(tcp::v4());
    this->acceptor->set_option(tcp::acceptor::reuse_address(true));
    this->acceptor->bind({net::ip::make_address("127.0.0.1"), this->port});
    this->acceptor->listen();
    Spawn(this->Accept(this->shared_from_this(), this->acceptor));
  }
  void Close() {
    boost::system::error_code ignored;
    if (this->acceptor) {
      this->acceptor->close(ignored);
    }
    this->Reset();
  }
  void Reset() {
    boost::system::error_code ignored;
    for (const auto& socket : std::set(this->sockets)) {
      socket->set_option(net::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
    this->sockets.clear();
  }
  /// Until GoBack, the connections are reset and no new one is taken: opening packets are dropped,
  /// as the queue of connections is full.
  void GoSilent() {
    boost::system::error_code ignored;
    this->acceptor->cancel(ignored);
    this->acceptor->listen(0, ignored);
    for (int i = 0; i < 4; ++i) {
      auto filler = std::make_shared<tcp::socket>(Io());
      filler->open(tcp::v4(), ignored);
      filler->async_connect({net::ip::make_address("127.0.0.1"), this->port},
                            [filler](const boost::system::error_code&) {});
      this->fillers.push_back(filler);
    }
    this->Reset();
  }
  void GoBack() {
    boost::system::error_code ignored;
    for (const auto& filler : this->fillers) {
      filler->close(ignored);
    }
    this->fillers.clear();
    this->acceptor->listen(net::socket_base::max_listen_connections, ignored);
    Spawn(this->Accept(this->shared_from_this(), this->acceptor));
  }
  /// Connections that were used while cut are reset when the cut ends, as their peers gave up.
  void SetCut(bool cut) {
    this->is_cut = cut;
    if (!cut) {
      this->Reset();
    }
  }

  const std::uint16_t port;
  bool is_cut = false;

 private:
  static awaitable<void> Accept(std::shared_ptr<Server> self,
                                std::shared_ptr<tcp::acceptor> acceptor) {
    while (acceptor->is_open()) {
      auto socket = std::make_shared<tcp::socket>(Io());
      boost::system::error_code error;
      co_await acceptor->async_accept(*socket, net::redirect_error(net::use_awaitable, error));
      if (error) {
        co_return;
      }
      socket->set_option(tcp::no_delay(true), error);
      self->sockets.insert(socket);
      Spawn(Serve(self, socket));
    }
  }
  static awaitable<void> Serve(std::shared_ptr<Server> self, std::shared_ptr<tcp::socket> socket) {
    beast::flat_buffer buffer;
    boost::system::error_code error;
    while (!error) {
      auto request = std::make_shared<Request>();
      co_await bhttp::async_read(*socket, buffer, *request,
                                 net::redirect_error(net::use_awaitable, error));
      if (error) {
        break;
      }
      if (self->is_cut) {
        continue;  // it never arrived
      }
      const Reply reply = co_await self->handler(request);
      if (reply.is_withheld || self->is_cut) {
        continue;
      }
      Response response(static_cast<bhttp::status>(reply.status), 11);
      response.set(bhttp::field::content_type, "application/json");
      response.body() = reply.body;
      response.keep_alive(true);
      response.prepare_payload();
      co_await bhttp::async_write(*socket, response,
                                  net::redirect_error(net::use_awaitable, error));
    }
    self->sockets.erase(socket);
    socket->close(error);
  }

  const Handler handler;
  std::shared_ptr<tcp::acceptor> acceptor;
  std::set<std::shared_ptr<tcp::socket>> sockets;
  std::vector<std::shared_ptr<tcp::socket>> fillers;
};

inline std::map<std::string, std::string> QueryOf(std::string_view target) {
  std::map<std::string, std::string> query;
  const std::size_t mark = target.find('?');
  std::string_view rest = mark == std::string_view::npos ? "" : target.substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view part = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), part.size() + 1));
    const std::size_t equals = part.find('=');
    std::string value;
    const std::string_view raw = equals == std::string_view::npos ? "" : part.substr(equals + 1);
    for (std::size_t i = 0; i < raw.size(); ++i) {
      if (raw[i] == '%' && i + 2 < raw.size()) {
        value.push_back(
            static_cast<char>(std::stoi(std::string(raw.substr(i + 1, 2)), nullptr, 16)));
        i += 2;
      } else {
        value.push_back(raw[i]);
      }
    }
    query[std::string(part.substr(0, equals))] = value;
  }
  return query;
}

/// The platform's store: keyed topics, groups, and conditions on appends.
class Store {
 public:
  explicit Store(std::uint16_t port)
      : server(std::make_shared<Server>(
            port, [this](std::shared_ptr<Request> request) { return this->Handle(request); })) {
    this->server->Open();
  }

  /// Writes a keyed record as the operator or a worker does; no value drops the key.
  void Put(const std::string& topic, const std::string& key, std::optional<std::string> value) {
    std::string raw(1, static_cast<char>(key.size()));
    raw += key + value.value_or("");
    this->Add(this->PartOf(topic, 0), raw);
  }
  std::optional<std::string> NewestIn(const std::string& topic, int part, const std::string& key) {
    auto& newest = this->PartOf(topic, part).newest;
    const auto found = newest.find(key);
    return found == newest.end() ? std::nullopt : std::optional(found->second.first);
  }

  const std::shared_ptr<Server> server;
  /// Called after each record that was appended, with its topic and key.
  std::function<void(const std::string&, const std::string&)> on_append;

 private:
  struct Producer {
    std::uint64_t epoch = 0;
    std::optional<std::uint64_t> seq;
    std::deque<std::pair<std::uint64_t, std::string>> answers;
  };
  struct Part {
    std::vector<std::string> records;
    /// The value and the offset by key.
    std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
    std::map<std::string, Producer> producers;
    std::vector<std::shared_ptr<net::steady_timer>> waiting;
  };

  Part& PartOf(const std::string& topic, int part) { return this->parts[{topic, part}]; }

  void Add(Part& part, const std::string& raw) {
    const std::size_t key_size = static_cast<unsigned char>(raw.at(0));
    const std::string key = raw.substr(1, key_size);
    const std::string value = raw.substr(1 + key_size);
    if (value.empty()) {
      part.newest.erase(key);
    } else {
      part.newest[key] = {value, part.records.size()};
    }
    part.records.push_back(raw);
    for (const auto& timer : part.waiting) {
      timer->cancel();
    }
    part.waiting.clear();
  }

  static std::string Big(std::uint64_t number, int bytes) {
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
      text.push_back(static_cast<char>((number >> shift) & 0xff));
    }
    return text;
  }
  static Reply Json(unsigned status, const json::object& body) {
    return {status, json::serialize(body)};
  }

  awaitable<Reply> Handle(std::shared_ptr<Request> request) {
    const std::string target(request->target());
    const std::string path = target.substr(0, target.find('?'));
    auto query = QueryOf(target);
    if (path == "/-/log-append") {
      co_await Sleep(0.004);
      co_return this->Append(query, request->body());
    }
    if (path == "/-/log-read") {
      co_return co_await this->Read(std::move(query));
    }
    if (path == "/-/log-newest") {
      co_return this->Newest(query);
    }
    if (path == "/-/log-join") {
      co_return this->Join(json::parse(request->body()).as_object());
    }
    if (path == "/-/log-leave") {
      const json::object body = json::parse(request->body()).as_object();
      this->members.erase(std::string(body.at("member").as_string()));
      ++this->generation;
      co_return Json(200, {});
    }
    if (path == "/-/log-owners") {
      co_return this->Owners();
    }
    co_return Json(404, {});
  }

  Reply Append(std::map<std::string, std::string>& query, const std::string& body) {
    Part& part = this->PartOf(query["topic"], std::stoi(query["part"]));
    const std::uint64_t end = part.records.size();
    if (query.contains("at") && std::stoull(query["at"]) != end) {
      return Json(412, {{"end_offset", end}});
    }
    Producer* producer = nullptr;
    std::uint64_t seq = 0;
    if (query.contains("producer")) {
      producer = &part.producers[query["producer"]];
      const std::uint64_t epoch = std::stoull(query["epoch"]);
      seq = std::stoull(query["seq"]);
      if (epoch < producer->epoch) {
        return Json(409, {{"reason", "fenced"}});
      }
      if (epoch > producer->epoch) {
        *producer = Producer{epoch, std::nullopt, {}};
      }
      for (const auto& [number, answer] : producer->answers) {
        if (number == seq && !body.empty()) {
          return {200, answer};
        }
      }
      if (producer->seq && seq != *producer->seq + 1 && !body.empty()) {
        return Json(409, {{"reason", "seq"}, {"seq", *producer->seq + 1}});
      }
    }
    for (std::size_t at = 0; at + 4 <= body.size();) {
      std::size_t size = 0;
      for (int i = 0; i < 4; ++i) {
        size = size * 256 + static_cast<unsigned char>(body[at + i]);
      }
      const std::string raw = body.substr(at + 4, size);
      this->Add(part, raw);
      if (this->on_append) {
        this->on_append(query["topic"], raw.substr(1, static_cast<unsigned char>(raw.at(0))));
      }
      at += 4 + size;
    }
    const Reply reply = Json(200, {{"offset", end}, {"end_offset", part.records.size()}});
    if (producer != nullptr && !body.empty()) {
      producer->seq = seq;
      producer->answers.emplace_back(seq, reply.body);
      if (producer->answers.size() > 5) {
        producer->answers.pop_front();
      }
    }
    return reply;
  }

  awaitable<Reply> Read(std::map<std::string, std::string> query) {
    const std::pair<std::string, int> name(query["topic"], std::stoi(query["part"]));
    const std::uint64_t from = std::stoull(query["from"]);
    const double until =
        Now() + (query.contains("wait_ms") ? std::stod(query["wait_ms"]) / 1000 : 0);
    while (this->parts[name].records.size() <= from && Now() < until) {
      auto timer = std::make_shared<net::steady_timer>(Io());
      timer->expires_after(std::chrono::milliseconds(static_cast<int>((until - Now()) * 1000) + 1));
      this->parts[name].waiting.push_back(timer);
      boost::system::error_code error;
      co_await timer->async_wait(net::redirect_error(net::use_awaitable, error));
    }
    const Part& part = this->parts[name];
    Reply reply;
    reply.body = Big(part.records.size(), 8) + Big(0, 8);
    for (std::uint64_t i = from; i < part.records.size() && reply.body.size() < 1000000; ++i) {
      reply.body += Big(part.records[i].size(), 4) + part.records[i];
    }
    co_return reply;
  }

  Reply Newest(std::map<std::string, std::string>& query) {
    Part& part = this->PartOf(query["topic"], std::stoi(query["part"]));
    json::array items;
    bool has_more = false;
    for (auto at = query.contains("after") ? part.newest.upper_bound(query["after"])
                                           : part.newest.begin();
         at != part.newest.end(); ++at) {
      if (items.size() == 500) {
        has_more = true;
        break;
      }
      std::string coded(beast::detail::base64::encoded_size(at->second.first.size()), '\0');
      coded.resize(beast::detail::base64::encode(coded.data(), at->second.first.data(),
                                                 at->second.first.size()));
      items.push_back({{"key", at->first}, {"value", coded}, {"offset", at->second.second}});
    }
    return Json(200,
                {{"items", items}, {"has_more", has_more}, {"end_offset", part.records.size()}});
  }

  void DropLapsed() {
    for (auto at = this->members.begin(); at != this->members.end();) {
      if (Now() > at->second) {
        LINE("group: %s has lapsed", at->first.c_str());
        at = this->members.erase(at);
        ++this->generation;
      } else {
        ++at;
      }
    }
  }
  Reply Join(const json::object& body) {
    this->DropLapsed();
    const std::string member(body.at("member").as_string());
    const bool is_new = !this->members.contains(member);
    this->members[member] = Now() + body.at("ttl_ms").to_number<double>() / 1000;
    if (is_new) {
      ++this->generation;
    }
    json::array rows;
    for (const json::array& row : this->Rows()) {
      if (row[2].as_string() == member) {
        rows.push_back(json::array{row[0], row[1], 0});
      }
    }
    return Json(200, {{"generation", this->generation}, {"parts", rows}});
  }
  /// The partitions of the eight topics, dealt evenly.
  std::vector<json::array> Rows() {
    std::vector<json::array> rows;
    if (this->members.empty()) {
      return rows;
    }
    auto at = this->members.begin();
    for (int topic = 0; topic < 8; ++topic) {
      for (int part = 0; part < 8; ++part) {
        rows.push_back({"chervilspar-seat-" + std::to_string(topic), part, at->first, 0});
        if (++at == this->members.end()) {
          at = this->members.begin();
        }
      }
    }
    return rows;
  }
  Reply Owners() {
    this->DropLapsed();
    json::array rows;
    for (const json::array& row : this->Rows()) {
      rows.push_back(row);
    }
    return Json(200, {{"owners", rows}});
  }

  std::map<std::pair<std::string, int>, Part> parts;
  std::map<std::string, double> members;
  std::uint64_t generation = 1;
};

/// A job that was handed in.
struct JobInfo {
  json::object body;
  double sent = 0;
  std::optional<double> accepted;
  std::optional<double> cancel_sent;
  std::optional<double> cancelled;
  std::string tenant;
};

struct Step {
  std::uint32_t count = 1;
  std::int64_t cpu = 0;
  std::int64_t memory = 0;
  std::vector<std::uint32_t> after;
  std::string requires_label;
  std::uint32_t max_per_server = 0;
  bool is_gang = false;
  bool is_lasting = false;
};

inline Step StepOf(const json::value& value) {
  const json::object& in = value.as_object();
  const auto number = [&](const char* name) -> std::int64_t {
    return in.contains(name) ? in.at(name).to_number<std::int64_t>() : 0;
  };
  Step step;
  step.count = static_cast<std::uint32_t>(std::max<std::int64_t>(number("count"), 1));
  step.cpu = number("cpu");
  step.memory = number("mem_mb");
  step.max_per_server = static_cast<std::uint32_t>(number("max_per_server"));
  if (in.contains("requires")) {
    step.requires_label = std::string(in.at("requires").as_string());
  }
  if (in.contains("after")) {
    for (const json::value& earlier : in.at("after").as_array()) {
      step.after.push_back(earlier.to_number<std::uint32_t>());
    }
  }
  step.is_gang = in.contains("gang") && in.at("gang").as_bool();
  step.is_lasting = in.contains("long_running") && in.at("long_running").as_bool();
  return step;
}

struct TaskName {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  friend auto operator<=>(const TaskName&, const TaskName&) = default;
};
inline TaskName ParseTask(const std::string& text) {
  TaskName name;
  name.job = text.substr(0, 16);
  std::sscanf(text.c_str() + 16, ".%u.%u.%u", &name.occurrence, &name.step, &name.index);
  return name;
}

class Worker;

/// What the workers together have run; judges each start by the rules.
struct Judge {
  struct Active {
    Worker* worker = nullptr;
    std::uint64_t run = 0;
  };
  std::map<std::string, JobInfo> jobs;
  /// Runs of each task, by its name, on workers that are up.
  std::map<std::string, std::vector<Active>> active;
  /// Tasks that ended `done`, with the time at which the end was taken note of.
  std::map<std::string, std::optional<double>> done;
  std::map<std::string, int> failed;
  std::map<std::string, std::uint64_t> starts;
  std::uint64_t total_starts = 0;
  std::map<std::string, int> ends;

  /// The members of each run of a gang, by job, occurrence, step and run.
  struct Gang {
    std::map<std::string, Worker*> members;
    bool is_complete = false;
  };
  std::map<std::string, Gang> gangs;
  std::int64_t cap = 0;
  std::uint64_t alone = 0;

  static std::string GangKey(const TaskName& name, std::uint64_t run) {
    return name.job + "." + std::to_string(name.occurrence) + "." + std::to_string(name.step) +
           "#" + std::to_string(run);
  }
  void JoinGang(Worker& worker, const std::string& task, std::uint64_t run, double work,
                bool fails);
  void LeaveGang(const std::string& task, std::uint64_t run);
  Step StepFor(const TaskName& name) const {
    return StepOf(this->jobs.at(name.job).body.at("steps").as_array().at(name.step));
  }
  void OnStart(Worker& worker, const std::string& task, std::uint64_t run);
  void OnEnd(Worker& worker, const std::string& task, std::uint64_t run, const std::string& how);
};
inline Judge& TheJudge() {
  static Judge judge;
  return judge;
}

struct Timing {
  double hold_max_s = 10;
  double stop_s = 0.1;
  double heartbeat_s = 1.5;
  /// From the start of a worker's process to its first entry in the store.
  double first_entry_s = 0.05;
  double gang_s = 3;
};
inline Timing& TheTiming() {
  static Timing timing;
  return timing;
}

/// One worker, possibly through several lives under one id.
class Worker {
 public:
  struct Run {
    std::uint64_t run = 0;
    double began = 0;
    /// Seconds of work; less than 0 if it lasts.
    double work = 1;
    bool fails = false;
    bool is_stopping = false;
    std::string saved;
  };
  struct End {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
  };

  Worker(Store& store, std::string id, std::string service, std::string zone, std::string kind,
         std::string rack, std::int64_t cpu, bool guards)
      : store(store),
        id(std::move(id)),
        service(std::move(service)),
        zone(std::move(zone)),
        kind(std::move(kind)),
        rack(std::move(rack)),
        cpu(cpu),
        guards(guards),
        server(std::make_shared<Server>(FreePort(), [this](std::shared_ptr<Request> request) {
          return this->Handle(request);
        })) {
    this->Start();
    Spawn(this->Tick());
  }

  /// Starts the process: it knows nothing of before.
  void Start() {
    ++this->life;
    this->is_up = true;
    this->born = UnixMs();
    this->began = Now();
    this->fence = 0;
    this->lease_end_ms = 0;
    this->runs.clear();
    this->finished.clear();
    this->next_end = 1;
    this->highest.clear();
    this->sequence = 0;
    this->server->Open();
    LINE("%s starts, kind %s, cpu %ld", this->id.c_str(), this->kind.c_str(),
         static_cast<long>(this->cpu));
    Spawn(this->Heartbeat(this->life));
  }
  /// SIGKILL: what runs is gone, connections are reset.
  void Crash() {
    LINE("%s crashes", this->id.c_str());
    this->is_up = false;
    ++this->life;
    this->server->Close();
    const std::map<std::string, Run> gone = std::exchange(this->runs, {});
    for (const auto& [task, run] : gone) {
      TheJudge().OnEnd(*this, task, run.run, "crashed");
    }
  }
  /// Cuts the worker off from all others, the store included.
  void SetCut(bool cut) {
    LINE("%s is %s", this->id.c_str(), cut ? "cut off" : "reached again");
    this->server->SetCut(cut);
  }

  std::int64_t ClockMs() const { return static_cast<std::int64_t>((Now() - this->began) * 1000); }
  std::int64_t UsedCpu() const;
  std::string Labels() const { return this->kind + "," + this->rack; }
  bool HasLabel(const std::string& label) const {
    return label.empty() || label == this->kind || label == this->rack;
  }
  void Finish(const std::string& task, const std::string& how) {
    const auto found = this->runs.find(task);
    if (found == this->runs.end()) {
      return;
    }
    const Run run = found->second;
    this->runs.erase(found);
    this->highest[task] = std::max(this->highest[task], run.run);
    this->finished.push_back({this->next_end++, task, run.run, how});
    TheJudge().OnEnd(*this, task, run.run, how);
    for (const auto& timer : std::exchange(this->waiting, {})) {
      timer->cancel();
    }
  }

  Store& store;
  const std::string id;
  const std::string service;
  const std::string zone;
  std::string kind;
  const std::string rack;
  std::int64_t cpu;
  const bool guards;
  const std::shared_ptr<Server> server;
  bool is_up = false;
  bool is_draining = false;
  std::int64_t born = 0;
  std::map<std::string, Run> runs;
  /// Decides for an order whether it gets no answer and is carried out after so many seconds.
  std::function<std::optional<double>(const std::string& path, const json::object& body)> late;
  /// Ends that were confirmed.
  std::uint64_t acked = 0;

 private:
  awaitable<void> Heartbeat(int life) {
    co_await Sleep(TheTiming().first_entry_s);
    while (this->life == life) {
      if (!this->server->is_cut) {
        this->store.Put("keyed.servers", this->id,
                        json::serialize(json::object{
                            {"service", this->service},
                            {"address", Address(this->server->port)},
                            {"zone", this->zone},
                            {"version", "1"},
                            {"slots", 8},
                            {"phase", this->is_draining ? "draining" : "ready"},
                            {"cold_left_ms", 0},
                            {"seq", ++this->sequence},
                            {"born", this->born},
                            {"capacity", {{"cpu", this->cpu}, {"mem_mb", 131072}, {"gpu", 0}}},
                            {"labels", json::array{this->kind, this->rack}}}));
        this->last_entry = Now();
      }
      co_await Sleep(TheTiming().heartbeat_s);
    }
  }

  awaitable<void> Tick() {
    while (true) {
      co_await Sleep(0.01);
      if (this->last_entry && Now() - *this->last_entry > 3 * TheTiming().heartbeat_s) {
        this->last_entry.reset();
        LINE("the store drops the entry of %s", this->id.c_str());
        this->store.Put("keyed.servers", this->id, std::nullopt);
      }
      if (!this->is_up) {
        continue;
      }
      std::vector<std::pair<std::string, std::string>> ended;
      for (const auto& [task, run] : this->runs) {
        if (this->ClockMs() >= this->lease_end_ms) {
          ended.emplace_back(task, "lapsed");
        } else if (run.work >= 0 && !run.is_stopping && !this->IsGang(task) &&
                   Now() - run.began >= run.work) {
          ended.emplace_back(task, run.fails ? "failed" : "done");
        }
      }
      for (const auto& [task, how] : ended) {
        this->Finish(task, how);
      }
    }
  }
  bool IsGang(const std::string& task) const {
    const TaskName name = ParseTask(task);
    return TheJudge().jobs.contains(name.job) && TheJudge().StepFor(name).is_gang;
  }

  Reply Answer(unsigned status, json::object body) const {
    body["clock_ms"] = this->ClockMs();
    body["born"] = this->born;
    return {status, json::serialize(body)};
  }

  awaitable<Reply> Handle(std::shared_ptr<Request> request) {
    const std::string path(request->target());
    if (!this->is_up) {
      co_return Reply{200, "", true};  // it arrived at the moment of the crash
    }
    if (request->find("Chervilspar-Target-Worker") == request->end() ||
        (*request)["Chervilspar-Target-Worker"] != this->id) {
      co_return this->Answer(421, {});
    }
    const json::object body = json::parse(request->body()).as_object();
    if (const std::optional<double> delay = this->late ? this->late(path, body) : std::nullopt) {
      LINE("%s gets %s %s without an answer; carried out in %.1f s", this->id.c_str(), path.c_str(),
           request->body().c_str(), *delay);
      Spawn(this->CarryOutLate(path, body, *delay));
      co_return Reply{200, "", true};
    }
    if (path == "/-/hold") {
      co_return co_await this->Hold(body);
    }
    co_return this->Order(path, body);
  }
  awaitable<void> CarryOutLate(std::string path, json::object body, double delay) {
    co_await Sleep(delay);
    if (!this->is_up || this->server->is_cut) {
      LINE("%s is %s when the late %s arrives", this->id.c_str(), this->is_up ? "cut off" : "down",
           path.c_str());
      co_return;
    }
    const Reply reply = this->Order(path, body);
    LINE("%s has carried out the late %s: %u %s", this->id.c_str(), path.c_str(), reply.status,
         reply.body.c_str());
  }
  bool TakesFence(const json::object& body) {
    const std::uint64_t given =
        body.contains("fence") ? body.at("fence").to_number<std::uint64_t>() : 0;
    if (given < this->fence) {
      return false;
    }
    this->fence = given;
    return true;
  }
  void Extend(const json::object& body) {
    if (body.contains("until_ms")) {
      const std::int64_t longest =
          this->ClockMs() + static_cast<std::int64_t>(TheTiming().hold_max_s * 1000);
      this->lease_end_ms = std::max(
          this->lease_end_ms, std::min(body.at("until_ms").to_number<std::int64_t>(), longest));
    }
  }
  Reply Order(const std::string& path, const json::object& body) {
    if (!this->TakesFence(body)) {
      return this->Answer(409, {{"reason", "fence"}});
    }
    const std::string task(body.contains("task") ? body.at("task").as_string().c_str() : "");
    const std::uint64_t run = body.contains("run") ? body.at("run").to_number<std::uint64_t>() : 0;
    if (path == "/-/run-start") {
      return this->BeginRun(body, task, run);
    }
    if (path == "/-/run-stop") {
      this->highest[task] = std::max(this->highest[task], run);
      const auto found = this->runs.find(task);
      if (found != this->runs.end() && found->second.run <= run && !found->second.is_stopping) {
        found->second.is_stopping = true;
        Spawn(this->EndStopped(task, found->second.run, this->life));
      }
      return this->Answer(200, {});
    }
    if (path == "/-/pace") {
      return this->Answer(200, {});
    }
    if (path == "/-/hold") {
      this->Extend(body);
      return this->Answer(200, {});
    }
    return this->Answer(400, {});
  }
  awaitable<void> EndStopped(std::string task, std::uint64_t run, int life) {
    co_await Sleep(TheTiming().stop_s);
    const auto found = this->runs.find(task);
    if (this->life == life && found != this->runs.end() && found->second.run == run) {
      this->Finish(task, "stopped");
    }
  }
  Reply BeginRun(const json::object& body, const std::string& task, std::uint64_t run) {
    const auto there = this->runs.find(task);
    if (there != this->runs.end() && there->second.run == run) {
      this->Extend(body);
      return this->Answer(200, {});
    }
    if (this->highest.contains(task) && run <= this->highest[task]) {
      this->Extend(body);
      return this->Answer(409, {{"reason", "old"}});
    }
    if (body.at("until_ms").to_number<std::int64_t>() <= this->ClockMs()) {
      return this->Answer(409, {{"reason", "late"}});
    }
    const TaskName name = ParseTask(task);
    Judge& judge = TheJudge();
    if (!judge.jobs.contains(name.job)) {
      Broken().Add("UNASKED " + this->id + " is told to start " + task);
      return this->Answer(400, {});
    }
    const Step step = judge.StepFor(name);
    if (this->guards && this->UsedCpu() + step.cpu > this->cpu) {
      this->Extend(body);
      return this->Answer(409, {{"reason", "room"}});
    }
    this->Extend(body);
    Run begun;
    begun.run = run;
    begun.began = Now();
    begun.work = step.is_lasting ? -1 : WorkOf(judge.jobs.at(name.job), name, run, begun.fails);
    this->runs[task] = begun;
    LINE("%s (kind %s, life born %ld) starts %s run %lu fence %lu, lease until %ld, clock %ld",
         this->id.c_str(), this->kind.c_str(), static_cast<long>(this->born), task.c_str(),
         static_cast<unsigned long>(run), static_cast<unsigned long>(this->fence),
         static_cast<long>(this->lease_end_ms), static_cast<long>(this->ClockMs()));
    judge.OnStart(*this, task, run);
    if (step.is_gang) {
      judge.JoinGang(*this, task, run, begun.work, begun.fails);
    }
    return this->Answer(200, {});
  }
  /// The specification "ms=N,N,.. fail=N": the work of each step, and how many runs of each task
  /// fail.
  static double WorkOf(const JobInfo& job, const TaskName& name, std::uint64_t run, bool& fails) {
    const std::string spec(job.body.at("spec").as_string());
    std::vector<double> work;
    std::string numbers = spec.substr(spec.find("ms=") + 3);
    numbers = numbers.substr(0, numbers.find(' '));
    for (std::size_t at = 0; at < numbers.size();) {
      const std::size_t comma = std::min(numbers.find(',', at), numbers.size());
      work.push_back(std::stod(numbers.substr(at, comma - at)) / 1000);
      at = comma + 1;
    }
    const std::size_t fail = spec.find("fail=");
    fails = fail != std::string::npos && run <= std::stoull(spec.substr(fail + 5));
    return work.at(std::min<std::size_t>(name.step, work.size() - 1));
  }

  awaitable<Reply> Hold(json::object body) {
    if (!this->TakesFence(body)) {
      co_return this->Answer(409, {{"reason", "fence"}});
    }
    const std::uint64_t acked =
        body.contains("ack_cursor") ? body.at("ack_cursor").to_number<std::uint64_t>() : 0;
    while (!this->finished.empty() && this->finished.front().number <= acked) {
      const End end = this->finished.front();
      this->finished.pop_front();
      if (end.how == "done") {
        TheJudge().done[end.task] = Now();
      }
    }
    this->Extend(body);
    const double wait =
        body.contains("wait_ms") ? body.at("wait_ms").to_number<double>() / 1000 : 0;
    const int life = this->life;
    if (wait > 0 && this->finished.empty()) {
      auto timer = std::make_shared<net::steady_timer>(Io());
      timer->expires_after(std::chrono::milliseconds(static_cast<int>(wait * 1000)));
      this->waiting.push_back(timer);
      boost::system::error_code error;
      co_await timer->async_wait(net::redirect_error(net::use_awaitable, error));
    }
    if (this->life != life) {
      co_return Reply{200, "", true};
    }
    json::array active;
    for (const auto& [task, run] : this->runs) {
      const double share = run.work < 0
                               ? (Now() - run.began > 0.2 ? 1.0 : 0.5)
                               : std::min(0.99, (Now() - run.began) / std::max(run.work, 0.01));
      active.push_back(json::array{task, run.run, "", static_cast<int>(share * 100), 100});
    }
    json::array ended;
    for (const End& end : this->finished) {
      if (ended.size() == 500) {
        break;
      }
      ended.push_back(json::array{end.number, end.task, end.run, end.how, ""});
    }
    co_return this->Answer(200, {{"active", active}, {"finished", ended}});
  }

  int life = 0;
  double began = 0;
  std::uint64_t fence = 0;
  std::int64_t lease_end_ms = 0;
  std::deque<End> finished;
  std::uint64_t next_end = 1;
  std::map<std::string, std::uint64_t> highest;
  std::uint64_t sequence = 0;
  std::optional<double> last_entry;
  std::vector<std::shared_ptr<net::steady_timer>> waiting;
};

inline std::int64_t Worker::UsedCpu() const {
  std::int64_t used = 0;
  for (const auto& [task, run] : this->runs) {
    used += TheJudge().StepFor(ParseTask(task)).cpu;
  }
  return used;
}

inline void Judge::OnStart(Worker& worker, const std::string& task, std::uint64_t run) {
  const TaskName name = ParseTask(task);
  const Step step = this->StepFor(name);
  ++this->total_starts;
  const std::string what = task + " run " + std::to_string(run) + " on " + worker.id;
  for (const Active& other : this->active[task]) {
    Broken().Add("TWICE " + what + " while run " + std::to_string(other.run) + " is at work on " +
                 other.worker->id);
  }
  if (const auto end = this->done.find(task); end != this->done.end() && end->second) {
    Broken().Add("TWICE " + what + " after an end `done` that was taken note of");
  }
  if (!worker.HasLabel(step.requires_label)) {
    Broken().Add("ROUTE " + what + ", a worker with the labels " + worker.Labels() +
                 "; the step requires " + step.requires_label);
  }
  if (!worker.guards && worker.UsedCpu() > worker.cpu) {
    Broken().Add("LIMIT " + what + ": " + std::to_string(worker.UsedCpu()) + " of " +
                 std::to_string(worker.cpu) + " in use");
  }
  if (step.max_per_server > 0) {
    std::uint32_t there = 0;
    for (const auto& [other, state] : worker.runs) {
      const TaskName key = ParseTask(other);
      there += key.job == name.job && key.occurrence == name.occurrence && key.step == name.step;
    }
    if (there > step.max_per_server) {
      Broken().Add("ROUTE " + what + ": beyond max_per_server");
    }
  }
  const json::array& steps = this->jobs.at(name.job).body.at("steps").as_array();
  for (const std::uint32_t earlier : step.after) {
    const Step before = StepOf(steps.at(earlier));
    for (std::uint32_t i = 0; i < before.count; ++i) {
      const std::string key = name.job + "." + std::to_string(name.occurrence) + "." +
                              std::to_string(earlier) + "." + std::to_string(i);
      if (!this->done.contains(key) && !(before.is_gang && i > 0)) {
        Broken().Add("ORDER " + what + " before the end of " + key);
      }
    }
  }
  const json::object& body = this->jobs.at(name.job).body;
  if (body.contains("repeats")) {
    const std::int64_t due = body.at("first_ms").to_number<std::int64_t>() +
                             name.occurrence * body.at("interval_ms").to_number<std::int64_t>();
    if (UnixMs() < due - 250) {
      Broken().Add("ORDER " + what + " before its time");
    }
  }
  const JobInfo& job = this->jobs.at(name.job);
  if (job.cancelled && Now() > *job.cancelled + 3.0) {
    Broken().Add("UNASKED " + what + " over 3 s after the cancelling");
  }
  this->active[task].push_back({&worker, run});
  std::int64_t running = 0;
  for (const auto& [other, runs] : this->active) {
    running += static_cast<std::int64_t>(runs.size()) * this->StepFor(ParseTask(other)).cpu;
  }
  if (this->cap > 0 && running > this->cap * 11 / 10 + step.cpu) {
    Broken().Add("QUOTA " + what + ": " + std::to_string(running) + " running, the cap is " +
                 std::to_string(this->cap));
  }
}

inline void Judge::OnEnd(Worker& worker, const std::string& task, std::uint64_t run,
                         const std::string& how) {
  LINE("%s: %s run %lu ends %s", worker.id.c_str(), task.c_str(), static_cast<unsigned long>(run),
       how.c_str());
  ++this->ends[how];
  std::erase_if(this->active[task],
                [&](const Active& one) { return one.worker == &worker && one.run == run; });
  if (how == "done") {
    this->done.try_emplace(task, std::nullopt);
  }
  if (how == "failed") {
    ++this->failed[task];
  }
  this->LeaveGang(task, run);
}

inline void Judge::JoinGang(Worker& worker, const std::string& task, std::uint64_t run, double work,
                            bool fails) {
  const TaskName name = ParseTask(task);
  const std::string key = GangKey(name, run);
  Gang& gang = this->gangs[key];
  gang.members[task] = &worker;
  if (gang.members.size() == this->StepFor(name).count) {
    gang.is_complete = true;
    Spawn([](std::string key, std::uint64_t run, double work, bool fails) -> awaitable<void> {
      co_await Sleep(work);
      const std::map<std::string, Worker*> members = TheJudge().gangs[key].members;
      if (!TheJudge().gangs[key].is_complete) {
        co_return;
      }
      if (fails) {
        members.begin()->second->Finish(members.begin()->first, "failed");
        co_return;
      }
      TheJudge().gangs.erase(key);
      for (const auto& [task, worker] : members) {
        if (worker->runs.contains(task) && worker->runs.at(task).run == run) {
          worker->Finish(task, "done");
        }
      }
    }(key, run, work, fails));
    return;
  }
  Spawn(
      [](Worker& worker, std::string key, std::string task, std::uint64_t run) -> awaitable<void> {
        co_await Sleep(TheTiming().gang_s);
        Judge& judge = TheJudge();
        const bool waits = judge.gangs.contains(key) && !judge.gangs[key].is_complete;
        if (waits && worker.runs.contains(task) && worker.runs.at(task).run == run) {
          ++judge.alone;
          worker.Finish(task, "alone");
        }
      }(worker, key, task, run));
}

inline void Judge::LeaveGang(const std::string& task, std::uint64_t run) {
  const std::string key = GangKey(ParseTask(task), run);
  const auto found = this->gangs.find(key);
  if (found == this->gangs.end()) {
    return;
  }
  const bool was_complete = found->second.is_complete;
  found->second.members.erase(task);
  found->second.is_complete = false;
  if (was_complete) {
    const std::map<std::string, Worker*> others = found->second.members;
    this->gangs.erase(found);
    for (const auto& [other, worker] : others) {
      net::post(Io(), [other, worker, run] {
        if (worker->runs.contains(other) && worker->runs.at(other).run == run) {
          worker->Finish(other, "broken");
        }
      });
    }
  }
}

/// The processes that were started and not ended.
inline std::set<int>& Children() {
  static std::set<int> children;
  return children;
}

/// An entry as a child process, started as the deploy file says.
class Entry {
 public:
  Entry(std::string binary, std::string log_dir, std::string name, std::string zone)
      : binary(std::move(binary)),
        log_dir(std::move(log_dir)),
        name(std::move(name)),
        zone(std::move(zone)) {
    for (std::uint16_t* port :
         {&this->callers, &this->health, &this->peers, &this->carrier, &this->metrics}) {
      *port = FreePort();
    }
  }
  ~Entry() { this->Signal(SIGKILL); }

  void Start(std::map<std::string, std::string> env) {
    env["CHERVILSPAR_ID"] = this->name;
    env["CHERVILSPAR_ZONE"] = this->zone;
    env["CHERVILSPAR_CALLERS_ADDRESS"] = Address(this->callers);
    env["CHERVILSPAR_HEALTH_ADDRESS"] = Address(this->health);
    env["CHERVILSPAR_PEER_ADDRESS"] = Address(this->peers);
    env["CHERVILSPAR_CARRIER_ADDRESS"] = Address(this->carrier);
    env["CHERVILSPAR_METRICS_ADDRESS"] = Address(this->metrics);
    std::vector<std::string> text;
    for (const auto& [key, value] : env) {
      if (!value.empty()) {
        text.push_back(key + "=" + value);
      }
    }
    const std::string log = this->log_dir + "/" + this->name + ".log";
    this->pid = fork();
    if (this->pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      std::FILE* out = std::freopen(log.c_str(), "a", stdout);
      std::FILE* err = std::freopen(log.c_str(), "a", stderr);
      if (out == nullptr || err == nullptr) {
        _exit(2);
      }
      for (int fd = 3; fd < 1024; ++fd) {
        close(fd);
      }
      std::vector<char*> environment;
      for (std::string& line : text) {
        environment.push_back(line.data());
      }
      environment.push_back(nullptr);
      char verb[] = "job-entry";
      char* const arguments[] = {this->binary.data(), verb, nullptr};
      execve(this->binary.c_str(), arguments, environment.data());
      _exit(2);
    }
    Children().insert(this->pid);
    LINE("entry %s starts, process %d, callers at %u", this->name.c_str(), this->pid,
         this->callers);
  }
  void Signal(int signal) {
    if (this->pid > 0) {
      kill(this->pid, signal);
      if (signal == SIGKILL) {
        waitpid(this->pid, nullptr, 0);
        Children().erase(this->pid);
        this->pid = 0;
      }
    }
  }

  std::string binary;
  const std::string log_dir;
  const std::string name;
  const std::string zone;
  int pid = 0;
  std::uint16_t callers = 0;
  std::uint16_t health = 0;
  std::uint16_t peers = 0;
  std::uint16_t carrier = 0;
  std::uint16_t metrics = 0;
};

/// One call of a client; status 0 if there was no answer in time.
inline awaitable<std::pair<unsigned, std::string>> Call(std::uint16_t port, std::string method,
                                                        std::string target, std::string key,
                                                        std::string body, double timeout = 3) {
  auto stream = std::make_shared<beast::tcp_stream>(Io());
  stream->expires_after(std::chrono::milliseconds(static_cast<int>(timeout * 1000)));
  boost::system::error_code error;
  const tcp::endpoint endpoint(net::ip::make_address("127.0.0.1"), port);
  co_await stream->async_connect(endpoint, net::redirect_error(net::use_awaitable, error));
  if (error) {
    co_return std::pair<unsigned, std::string>(0, "no connection");
  }
  Request request(bhttp::string_to_verb(method), target, 11);
  request.set(bhttp::field::host, "q.example");
  request.set("Api-Key", key);
  request.set("Chervilspar-Deadline-Ms", std::to_string(static_cast<int>(timeout * 1000)));
  if (!body.empty()) {
    request.set(bhttp::field::content_type, "application/json");
    request.body() = body;
  }
  request.prepare_payload();
  co_await bhttp::async_write(*stream, request, net::redirect_error(net::use_awaitable, error));
  beast::flat_buffer buffer;
  Response response;
  if (!error) {
    co_await bhttp::async_read(*stream, buffer, response,
                               net::redirect_error(net::use_awaitable, error));
  }
  if (error) {
    co_return std::pair<unsigned, std::string>(0, error.message());
  }
  co_return std::pair<unsigned, std::string>(response.result_int(), response.body());
}

/// A small deployment: three zones with two entries each, one service, and its workers.
class Fleet {
 public:
  Fleet(std::string binary, std::string log_dir)
      : binary(std::move(binary)), log_dir(std::move(log_dir)), store(FreePort()) {
    this->machines = std::make_shared<Server>(
        FreePort(), [this](std::shared_ptr<Request> request) { return this->Machines(request); });
    this->machines->Open();
  }

  Worker& AddWorker(const std::string& id, const std::string& kind, const std::string& rack,
                    std::int64_t cpu, bool guards = true) {
    const std::string zone = "z" + std::to_string(1 + this->workers.size() % 3);
    this->workers.push_back(
        std::make_unique<Worker>(this->store, id, "desk", zone, kind, rack, cpu, guards));
    return *this->workers.back();
  }

  /// The configuration, as the operator writes it.
  void Configure(bool checks, std::int64_t cap = 0, int attempts = 3, double slack = 4.0,
                 std::int64_t target_ms = 20000) {
    json::object tenant{{"name", "t1"}, {"weight", 1}, {"api_keys", json::array{"key-1"}}};
    if (cap > 0) {
      tenant["cap"] = {{"cpu", cap}, {"mem_mb", 0}, {"gpu", 0}};
    }
    const auto route = [&](const std::string& name, int priority, double slack_factor,
                           std::int64_t target) {
      return json::object{{"name", name},
                          {"host", "q.example"},
                          {"path_prefix", "/" + name + "/"},
                          {"service", "desk"},
                          {"prio", priority},
                          {"attempts", attempts},
                          {"slack_factor", slack_factor},
                          {"target_runtime_ms", target}};
    };
    const json::object config{
        {"version", ++this->version},
        {"routes", json::array{route("q", 0, slack, target_ms), route("night", 1, 1.6, 60000)}},
        {"tenants",
         json::array{tenant, {{"name", "t2"}, {"weight", 1}, {"api_keys", json::array{"key-2"}}}}},
        {"services", json::array{{{"name", "desk"}, {"admission_check", checks}}}}};
    this->store.Put("keyed.op", "config", json::serialize(config));
  }

  void StartEntries(std::map<std::string, std::string> extra = {}) {
    for (int i = 0; i < 6; ++i) {
      this->entries.push_back(std::make_unique<Entry>(this->binary, this->log_dir,
                                                      "frontend-" + std::to_string(i + 1),
                                                      "z" + std::to_string(1 + i % 3)));
    }
    this->extra = std::move(extra);
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      this->StartEntry(i);
    }
  }
  void StartEntry(std::size_t i) {
    std::string seeds;
    for (std::size_t j = 0; j < 3; ++j) {
      seeds += (j > 0 ? "," : "") + Address(this->entries[j]->peers);
    }
    // As the deploy file fills them in for a deployment like the smallest of the site files.
    std::map<std::string, std::string> env{
        {"CHERVILSPAR_HEALTH_PATH", "/-/ready"},
        {"CHERVILSPAR_SEED_PEER", seeds},
        {"CHERVILSPAR_STORE_ADDRESS", Address(this->store.server->port)},
        {"CHERVILSPAR_VM_SERVICE_ADDRESS", Address(this->machines->port)},
        {"CHERVILSPAR_LEASE_LIMIT",
         std::to_string(static_cast<int>(TheTiming().hold_max_s * 1000)) + "ms"},
        {"CHERVILSPAR_FLEET_ZONE", "z1,z2,z3"},
        {"CHERVILSPAR_JOB_PARTITIONS", "8"},
        {"CHERVILSPAR_RECORD_LIMIT", "262144"},
        {"CHERVILSPAR_APPEND_LIMIT", "2097152"},
        {"CHERVILSPAR_VM_ORDER_PAUSE", "500ms"},
        {"CHERVILSPAR_VM_ORDER_RATE", "64"},
        {"CHERVILSPAR_CORES", "0.25"},
        {"CHERVILSPAR_LINK_RATE", "1000"},
        {"CHERVILSPAR_PROGRESS_FORM", "compact"},
        {"CHERVILSPAR_ACCOUNT_SHARES", "true"},
        {"CHERVILSPAR_JOB_ADMISSION", "true"},
        {"CHERVILSPAR_PREEMPTION", "true"},
        {"CHERVILSPAR_STOP_LIMIT", "200ms"},
        {"CHERVILSPAR_POOL_SIZING", "demand"},
        {"CHERVILSPAR_LINK_BUDGET", "true"}};
    for (const auto& [key, value] : this->extra) {
      env[key] = value;
    }
    this->entries[i]->Start(env);
  }
  /// The entry that the newest claim names, for faults that strike the owner first.
  std::optional<std::size_t> Owner() {
    const std::optional<std::string> claim =
        this->store.NewestIn("keyed.chervilspar-owners", 0, "owner");
    if (claim) {
      const std::string name(json::parse(*claim).as_object().at("entry").as_string());
      for (std::size_t i = 0; i < this->entries.size(); ++i) {
        if (this->entries[i]->name == name) {
          return i;
        }
      }
    }
    return std::nullopt;
  }

  static std::string NewId() {
    static std::mt19937_64 random(std::random_device{}());
    char text[17];
    std::snprintf(text, sizeof text, "%016lx", static_cast<unsigned long>(random()));
    return text;
  }

  /// Hands a job in, with retries at other entries as the pages say; true when it was accepted.
  awaitable<bool> Submit(std::string id, json::object body, std::string queue = "q",
                         std::string key = "key-1") {
    JobInfo& job = TheJudge().jobs[id];
    job.body = body;
    job.sent = Now();
    const std::string text = json::serialize(body);
    for (int attempt = 0; attempt < 5; ++attempt) {
      Entry& entry = *this->entries[(this->next_entry++) % this->entries.size()];
      LINE("POST %s/%s at %s: %s", queue.c_str(), id.c_str(), entry.name.c_str(), text.c_str());
      const auto [status, answer] =
          co_await Call(entry.callers, "POST", "/" + queue + "/" + id, key, text);
      LINE("POST %s: %u %s", id.c_str(), status, answer.c_str());
      if (status >= 200 && status < 300) {
        TheJudge().jobs[id].accepted = Now();
        co_return true;
      }
      co_await Sleep(0.4);
    }
    co_return false;
  }
  awaitable<std::string> Phase(std::string id) {
    Entry& entry = *this->entries[(this->next_entry++) % this->entries.size()];
    const auto [status, answer] = co_await Call(entry.callers, "GET", "/q/" + id, "key-1", "");
    LINE("GET %s at %s: %u %s", id.c_str(), entry.name.c_str(), status, answer.c_str());
    if (status == 200) {
      co_return std::string(json::parse(answer).as_object().at("phase").as_string());
    }
    co_return std::to_string(status);
  }
  awaitable<bool> Cancel(std::string id) {
    for (int attempt = 0; attempt < 5; ++attempt) {
      Entry& entry = *this->entries[(this->next_entry++) % this->entries.size()];
      TheJudge().jobs[id].cancel_sent = Now();
      const auto [status, answer] = co_await Call(entry.callers, "DELETE", "/q/" + id, "key-1", "");
      LINE("DELETE %s at %s: %u %s", id.c_str(), entry.name.c_str(), status, answer.c_str());
      if ((status >= 200 && status < 300) || status == 410) {
        TheJudge().jobs[id].cancelled = Now();
        co_return true;
      }
      co_await Sleep(0.4);
    }
    co_return false;
  }
  /// Until all entries are ready and there is an owner that answers.
  awaitable<bool> AwaitReady(double limit) {
    const double end = Now() + limit;
    while (Now() < end) {
      co_await Sleep(0.3);
      std::size_t ready = 0;
      for (const auto& entry : this->entries) {
        const auto [status, answer] = co_await Call(entry->health, "GET", "/-/ready", "", "", 0.5);
        ready += status == 200;
      }
      if (ready == this->entries.size() && this->Owner()) {
        co_await Sleep(1.5);
        LINE("all entries are ready; the owner is %s", this->entries[*this->Owner()]->name.c_str());
        co_return true;
      }
    }
    co_return false;
  }

  awaitable<Reply> Machines(std::shared_ptr<Request> request) {
    const std::string target(request->target());
    if (target.starts_with("/-/machines")) {
      json::array rows;
      for (const auto& worker : this->workers) {
        rows.push_back({{"host_id", "host-" + worker->id},
                        {"pool", worker->service},
                        {"phase", worker->is_up ? "up" : "down"},
                        {"zone", worker->zone},
                        {"labels", json::array{worker->kind, worker->rack}},
                        {"capacity", {{"cpu", worker->cpu}, {"mem_mb", 131072}, {"gpu", 0}}},
                        {"id", worker->is_up ? worker->id : ""}});
      }
      co_return Reply{200, json::serialize(json::object{{"machines", rows}, {"next_token", ""}})};
    }
    if (target == "/-/machine-upkeep") {
      const Reply reply = this->Upkeep(*request);
      LINE("upkeep answered: %u %s", reply.status, reply.body.c_str());
      co_return reply;
    }
    LINE("machine order %s %s: busy", target.c_str(), request->body().c_str());
    co_return Reply{409, "{\"reason\":\"busy\"}"};
  }

  /// Fencing tokens aren't checked, as with `fencing_enabled` false.
  Reply Upkeep(const Request& request) {
    const json::object body = json::parse(request.body()).as_object();
    const std::string host(body.at("host_id").as_string());
    const std::string holder(request["Chervilspar-Lease-Holder"]);
    const std::string text(request["Chervilspar-Fencing-Token"]);
    const std::uint64_t token = std::stoull(text);
    LINE("upkeep of %s, wave %d, ordered by %s with token %s", host.c_str(),
         body.at("wave").to_number<int>(), holder.c_str(), text.c_str());
    auto& [highest, highest_holder] = this->tokens[host];
    if (token < highest) {
      Broken().Add("ONE: " + holder + " orders the upkeep of " + host + " with the token " + text +
                   " after " + highest_holder + " has ordered it with " + std::to_string(highest));
    } else if (token == highest && holder != highest_holder) {
      Broken().Add("ONE: two holders with the token " + text + " for " + host);
    }
    if (token > highest) {
      highest = token;
      highest_holder = holder;
    }
    this->holders.insert(holder);
    for (const auto& worker : this->workers) {
      if ("host-" + worker->id != host) {
        continue;
      }
      if (this->kept_up.contains(host)) {
        return Reply{200, "{}"};
      }
      if (!worker->is_up) {
        return Reply{409, "{\"reason\":\"busy\"}"};
      }
      this->kept_up.insert(host);
      worker->Crash();
      Spawn(this->EndUpkeep(*worker));
      return Reply{200, "{}"};
    }
    return Reply{400, "{}"};
  }
  /// The machine is back after `maintenance_s`.
  static awaitable<void> EndUpkeep(Worker& worker) {
    co_await Sleep(2.0);
    worker.Start();
  }

  const std::string binary;
  const std::string log_dir;
  /// The highest token and its holder, by machine.
  std::map<std::string, std::pair<std::uint64_t, std::string>> tokens;
  std::set<std::string> holders;
  std::set<std::string> kept_up;
  Store store;
  std::shared_ptr<Server> machines;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Entry>> entries;
  std::map<std::string, std::string> extra;
  std::size_t next_entry = 0;
  int version = 0;
};
