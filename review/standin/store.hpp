// Stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata store").
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "http.hpp"
#include "record.hpp"

namespace review {

namespace json = boost::json;

class Store {
 public:
  Store(asio::io_context& io, unsigned short port, Record& record)
      : io(io),
        record(record),
        server(io, port, [this](Request request) { return this->Handle(std::move(request)); }) {}

  void Start() { this->server.Start(); }

  /// The newest record of a key changes; for the operator and the workers.
  void Put(const std::string& topic, const std::string& key, const std::string& value) {
    this->Append(this->PartOf(topic, 0), topic, {KeyedRecord(key, value)});
  }

  std::string Newest(const std::string& topic, const std::string& key) {
    const Part& part = this->PartOf(topic, 0);
    const auto found = part.newest.find(key);
    return found == part.newest.end() ? "" : found->second.first;
  }

 private:
  struct Producer {
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
    bool has_next = false;
    std::map<std::uint64_t, std::pair<std::uint64_t, std::uint64_t>> answers;
  };
  struct Part {
    std::vector<std::string> records;
    /// By key: the value and its offset.
    std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
    std::map<std::string, Producer> producers;
    std::vector<std::shared_ptr<asio::steady_timer>> waiters;
    Clock::time_point busy_until{};
  };
  struct Member {
    Clock::time_point expires{};
    std::uint64_t generation = 0;
  };
  struct Group {
    std::map<std::string, Member> members;
    std::uint64_t generation = 1;
    std::vector<std::pair<std::string, int>> seats;
    /// Who holds a seat, and from which generation on it is to be another's.
    std::map<std::pair<std::string, int>, std::string> holder;
  };

  static std::string Number(std::uint64_t value, int bytes) {
    std::string out;
    for (int i = bytes - 1; i >= 0; --i) {
      out += static_cast<char>(value >> (8 * i));
    }
    return out;
  }
  static std::string KeyedRecord(const std::string& key, const std::string& value) {
    return static_cast<char>(key.size()) + key + value;
  }
  static std::map<std::string, std::string> Query(std::string_view target) {
    std::map<std::string, std::string> out;
    const std::size_t mark = target.find('?');
    if (mark == std::string_view::npos) {
      return out;
    }
    std::string_view rest = target.substr(mark + 1);
    while (!rest.empty()) {
      const std::string_view one = rest.substr(0, rest.find('&'));
      rest.remove_prefix(std::min(rest.size(), one.size() + 1));
      const std::size_t equals = one.find('=');
      std::string value;
      for (std::size_t i = equals + 1; i < one.size(); ++i) {
        if (one[i] == '%') {
          value += static_cast<char>(std::stoi(std::string(one.substr(i + 1, 2)), nullptr, 16));
          i += 2;
        } else {
          value += one[i];
        }
      }
      out[std::string(one.substr(0, equals))] = value;
    }
    return out;
  }
  static std::string Base64(const std::string& in) {
    constexpr const char* kDigits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
      std::uint32_t bits = 0;
      for (std::size_t j = 0; j < 3; ++j) {
        bits = bits << 8U | (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0U);
      }
      for (std::size_t j = 0; j < 4; ++j) {
        out += i + j <= in.size() ? kDigits[bits >> (18 - 6 * j) & 63U] : '=';
      }
    }
    return out;
  }

  Part& PartOf(const std::string& topic, int part) { return this->topics[topic][part]; }

  void Append(Part& part, const std::string& topic, const std::vector<std::string>& records) {
    for (const std::string& one : records) {
      if (topic.starts_with("keyed.")) {
        const auto length = static_cast<unsigned char>(one[0]);
        const std::string key = one.substr(1, length);
        const std::string value = one.substr(1 + length);
        if (value.empty()) {
          part.newest.erase(key);
        } else {
          part.newest[key] = {value, part.records.size()};
        }
      }
      part.records.push_back(one);
    }
    for (const auto& waiter : part.waiters) {
      waiter->cancel();
    }
    part.waiters.clear();
  }

  asio::awaitable<std::optional<Response>> Handle(Request request) {
    const std::string target(request.target());
    const std::string path = target.substr(0, target.find('?'));
    auto query = Query(target);
    if (path == "/-/log-append") {
      co_return co_await this->OnAppend(query, request.body());
    }
    if (path == "/-/log-read") {
      co_return co_await this->OnRead(query);
    }
    if (path == "/-/log-newest") {
      co_await Sleep(std::chrono::milliseconds(4));
      co_return this->OnNewest(query);
    }
    if (path == "/-/log-join") {
      co_await Sleep(std::chrono::milliseconds(4));
      co_return this->OnJoin(json::parse(request.body()).as_object());
    }
    if (path == "/-/log-leave") {
      const json::value body = json::parse(request.body());
      this->Remove(std::string(body.at("group").as_string()),
                   std::string(body.at("member").as_string()));
      co_return Reply(200, "{}");
    }
    if (path == "/-/log-owners") {
      co_await Sleep(std::chrono::milliseconds(4));
      co_return this->OnOwners(query["group"]);
    }
    if (path == "/-/log-trim") {
      co_return Reply(200, "{}");
    }
    co_return Reply(404, "{}");
  }

  asio::awaitable<std::optional<Response>> OnAppend(std::map<std::string, std::string> query,
                                                    std::string body) {
    const std::string topic = query["topic"];
    if (topic == "keyed.op" || topic == "keyed.servers") {
      co_return Reply(403, "{}");
    }
    std::vector<std::string> records;
    for (std::size_t at = 0; at + 4 <= body.size();) {
      std::uint32_t length = 0;
      for (int i = 0; i < 4; ++i) {
        length = length << 8U | static_cast<unsigned char>(body[at + i]);
      }
      records.push_back(body.substr(at + 4, length));
      at += 4 + length;
    }
    Part& part = this->PartOf(topic, std::stoi(query["part"]));
    // A partition processes its appends one at a time.
    const auto now = Clock::now();
    part.busy_until = std::max(part.busy_until, now) + std::chrono::milliseconds(4);
    co_await Sleep(std::chrono::duration_cast<std::chrono::milliseconds>(part.busy_until - now));
    if (query.contains("at") && std::stoull(query["at"]) != part.records.size()) {
      co_return Reply(412, json::serialize(json::object{{"end_offset", part.records.size()}}));
    }
    if (query.contains("producer")) {
      Producer& producer = part.producers[query["producer"]];
      const std::uint64_t epoch = std::stoull(query["epoch"]);
      const std::uint64_t seq = std::stoull(query["seq"]);
      if (epoch < producer.epoch) {
        co_return Reply(409, R"({"reason":"fenced"})");
      }
      if (epoch > producer.epoch) {
        producer = {};
        producer.epoch = epoch;
      }
      if (!records.empty()) {
        const auto again = producer.answers.find(seq);
        if (again != producer.answers.end()) {
          co_return Reply(200, json::serialize(json::object{{"offset", again->second.first},
                                                            {"end_offset", again->second.second}}));
        }
        if (producer.has_next && seq != producer.next) {
          co_return Reply(409,
                          json::serialize(json::object{{"reason", "seq"}, {"seq", producer.next}}));
        }
        producer.has_next = true;
        producer.next = seq + 1;
        producer.answers[seq] = {part.records.size(), part.records.size() + records.size()};
        if (producer.answers.size() > 5) {
          producer.answers.erase(producer.answers.begin());
        }
      }
    }
    const std::uint64_t offset = part.records.size();
    this->Append(part, topic, records);
    co_return Reply(200, json::serialize(json::object{{"offset", offset},
                                                      {"end_offset", part.records.size()}}));
  }

  asio::awaitable<std::optional<Response>> OnRead(std::map<std::string, std::string> query) {
    Part& part = this->PartOf(query["topic"], std::stoi(query["part"]));
    const std::uint64_t from = std::stoull(query["from"]);
    const int wait = query.contains("wait_ms") ? std::stoi(query["wait_ms"]) : 0;
    if (part.records.size() <= from && wait > 0) {
      auto timer = std::make_shared<asio::steady_timer>(this->io, std::chrono::milliseconds(wait));
      part.waiters.push_back(timer);
      boost::system::error_code error;
      co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, error));
      std::erase(part.waiters, timer);
    }
    std::string body = Number(part.records.size(), 8) + Number(0, 8);
    const std::size_t limit = 1024 * 1024;
    for (std::uint64_t i = from; i < part.records.size() && body.size() < limit; ++i) {
      body += Number(part.records[i].size(), 4) + part.records[i];
    }
    co_return Reply(200, body, "application/octet-stream");
  }

  Response OnNewest(std::map<std::string, std::string> query) {
    Part& part = this->PartOf(query["topic"], std::stoi(query["part"]));
    json::array items;
    auto place =
        query.contains("after") ? part.newest.upper_bound(query["after"]) : part.newest.begin();
    for (; place != part.newest.end() && items.size() < 500; ++place) {
      items.push_back(json::object{{"key", place->first},
                                   {"value", Base64(place->second.first)},
                                   {"offset", place->second.second}});
    }
    return Reply(200, json::serialize(json::object{{"items", items},
                                                   {"has_more", place != part.newest.end()},
                                                   {"end_offset", part.records.size()}}));
  }

  void DropExpired(Group& group) {
    const auto now = Clock::now();
    if (std::erase_if(group.members, [&](const auto& one) { return one.second.expires < now; })) {
      ++group.generation;
    }
  }
  void Remove(const std::string& name, const std::string& member) {
    Group& group = this->groups[name];
    if (group.members.erase(member) > 0) {
      ++group.generation;
    }
  }
  /// Seats are dealt evenly; one that goes to another member does so when its holder has joined
  /// with the newest generation or is gone.
  void Deal(Group& group) {
    if (group.members.empty()) {
      return;
    }
    std::vector<std::string> names;
    for (const auto& [name, member] : group.members) {
      names.push_back(name);
    }
    std::size_t next = 0;
    for (const auto& seat : group.seats) {
      const std::string& wanted = names[next++ % names.size()];
      std::string& holder = group.holder[seat];
      const auto now = group.members.find(holder);
      if (now == group.members.end() || now->second.generation >= group.generation) {
        holder = wanted;
      }
    }
  }

  Response OnJoin(const json::object& body) {
    Group& group = this->groups[std::string(body.at("group").as_string())];
    if (group.seats.empty()) {
      for (const json::value& topic : body.at("topics").as_array()) {
        for (int part = 0; part < 8; ++part) {
          group.seats.emplace_back(topic.as_string(), part);
        }
      }
    }
    this->DropExpired(group);
    const std::string name(body.at("member").as_string());
    if (!group.members.contains(name)) {
      ++group.generation;
    }
    Member& member = group.members[name];
    member.expires = Clock::now() + std::chrono::milliseconds(body.at("ttl_ms").to_number<int>());
    member.generation = body.at("generation").to_number<std::uint64_t>();
    this->Deal(group);
    json::array parts;
    for (const auto& [seat, holder] : group.holder) {
      if (holder == name) {
        parts.push_back(json::array{seat.first, seat.second, 0});
      }
    }
    return Reply(200, json::serialize(json::object{{"generation", group.generation},
                                                   {"ttl_ms", body.at("ttl_ms")},
                                                   {"parts", parts}}));
  }

  Response OnOwners(const std::string& name) {
    Group& group = this->groups[name];
    this->DropExpired(group);
    json::array rows;
    for (const auto& [seat, holder] : group.holder) {
      if (group.members.contains(holder)) {
        rows.push_back(json::array{seat.first, seat.second, holder, 0});
      }
    }
    return Reply(200, json::serialize(json::object{{"parts", rows}}));
  }

  asio::io_context& io;
  Record& record;
  std::map<std::string, std::map<int, Part>> topics;
  std::map<std::string, Group> groups;
  Server server;
};

}  // namespace review
