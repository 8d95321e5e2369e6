// A stand-in of the platform's store: partitions of records, newest records by key, and groups.
#pragma once

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

#include <boost/json.hpp>

#include "http.hpp"

namespace review {

namespace json = boost::json;

inline std::string Base64(std::string_view in) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      bits = bits << 8 | (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j <= in.size() ? kDigits[bits >> (18 - 6 * j) & 63U] : '=';
    }
  }
  return out;
}

class Store {
 public:
  Store() : server([this](const Request& request) { return this->Handle(request); }) {}

  std::uint16_t Port() const { return this->server.Port(); }

  /// Writes a record as the operator or a worker does.
  void Put(const std::string& topic, const std::string& key, const std::string& value) {
    std::string record(1, static_cast<char>(key.size()));
    record += key + value;
    const std::lock_guard lock(this->mutex);
    this->PartitionOf(topic, 0).records.push_back(std::move(record));
    this->changed.notify_all();
  }

  /// Appends that were refused since a record or the call was too large, and the size of the
  /// largest record that was stored.
  std::pair<int, std::size_t> Sizes() {
    const std::lock_guard lock(this->mutex);
    return {this->oversized, this->largest};
  }

  /// Returns the newest value of a key; empty if there is none.
  std::string Newest(const std::string& topic, const std::string& key) {
    const std::lock_guard lock(this->mutex);
    const Partition& partition = this->PartitionOf(topic, 0);
    for (auto record = partition.records.rbegin(); record != partition.records.rend(); ++record) {
      if (KeyOf(*record) == key) {
        return record->substr(1 + key.size());
      }
    }
    return {};
  }

 private:
  struct Producer {
    std::uint64_t epoch = 0;
    std::optional<std::uint64_t> next;
    std::deque<std::pair<std::uint64_t, std::string>> answers;
  };
  struct Partition {
    std::vector<std::string> records;
    std::map<std::string, Producer> producers;
    std::mutex append;
  };
  struct Group {
    struct Member {
      double expires_ms = 0;
      double ttl_ms = 0;
      std::vector<std::pair<std::string, int>> parts;
    };
    std::uint64_t generation = 0;
    std::set<std::string> topics;
    std::map<std::string, Member> members;
  };

  static constexpr int kParts = 8;
  static constexpr double kAppendMs = 4;
  static constexpr std::size_t kRecordBytes = 262144;
  static constexpr std::size_t kCallBytes = 2097152;

  static std::string KeyOf(const std::string& record) {
    return record.substr(1, static_cast<unsigned char>(record[0]));
  }

  static Response Json(unsigned status, const json::object& body) {
    return {status, json::serialize(body), "application/json"};
  }

  Partition& PartitionOf(const std::string& topic, int part) {
    std::unique_ptr<Partition>& slot = this->partitions[{topic, part}];
    if (slot == nullptr) {
      slot = std::make_unique<Partition>();
    }
    return *slot;
  }

  static std::uint64_t Number(const Request& request, const char* name, std::uint64_t fallback) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? fallback
                                        : std::strtoull(found->second.c_str(), nullptr, 10);
  }

  std::optional<Response> Handle(const Request& request) {
    if (request.path == "/-/log-append") {
      return this->Append(request);
    }
    if (request.path == "/-/log-read") {
      return this->Read(request);
    }
    if (request.path == "/-/log-newest") {
      return this->ReadNewest(request);
    }
    if (request.path == "/-/log-join" || request.path == "/-/log-leave") {
      return this->Join(request);
    }
    if (request.path == "/-/log-owners") {
      return this->Owners(request);
    }
    return Response{404, "{}", "application/json"};
  }

  Response Append(const Request& request) {
    const std::string topic = request.query.at("topic");
    const int part = static_cast<int>(Number(request, "part", 0));
    if (topic == "keyed.op" || topic == "keyed.servers") {
      return Json(403, {});
    }
    std::unique_lock lock(this->mutex);
    Partition& partition = this->PartitionOf(topic, part);
    lock.unlock();
    // Appends of one partition are processed one at a time.
    const std::lock_guard one_at_a_time(partition.append);
    SleepMs(kAppendMs);
    lock.lock();
    const std::uint64_t end = partition.records.size();
    if (request.query.contains("at") && Number(request, "at", 0) != end) {
      return Json(412, {{"end_offset", end}});
    }
    Producer* producer = nullptr;
    const std::uint64_t sequence = Number(request, "seq", 0);
    if (request.query.contains("producer")) {
      producer = &partition.producers[request.query.at("producer")];
      const std::uint64_t epoch = Number(request, "epoch", 0);
      if (epoch < producer->epoch) {
        return Json(409, {{"reason", "fenced"}});
      }
      if (epoch > producer->epoch) {
        *producer = Producer{epoch, std::nullopt, {}};
      }
      if (request.body.empty()) {
        return Json(200, {{"offset", end}, {"end_offset", end}});
      }
      for (const auto& [number, answer] : producer->answers) {
        if (number == sequence) {
          return {200, answer, "application/json"};
        }
      }
      if (producer->next && *producer->next != sequence) {
        return Json(409, {{"reason", "seq"}, {"seq", *producer->next}});
      }
    }
    // All or nothing: a record or a call that is too large is refused whole.
    std::vector<std::string> records;
    std::size_t total = 0;
    for (std::size_t at = 0; at + 4 <= request.body.size();) {
      std::size_t length = 0;
      for (std::size_t i = 0; i < 4; ++i) {
        length = length << 8 | static_cast<unsigned char>(request.body[at + i]);
      }
      records.push_back(request.body.substr(at + 4, length));
      at += 4 + length;
      total += length;
      if (length > kRecordBytes || total > kCallBytes) {
        ++this->oversized;
        return Json(400, {});
      }
    }
    for (std::string& record : records) {
      this->largest = std::max(this->largest, record.size());
      partition.records.push_back(std::move(record));
    }
    const Response response =
        Json(200, {{"offset", end}, {"end_offset", partition.records.size()}});
    if (producer != nullptr) {
      producer->next = sequence + 1;
      producer->answers.emplace_back(sequence, response.body);
      if (producer->answers.size() > 5) {
        producer->answers.pop_front();
      }
    }
    this->changed.notify_all();
    return response;
  }

  Response Read(const Request& request) {
    const std::uint64_t from = Number(request, "from", 0);
    const auto wait = std::chrono::milliseconds(Number(request, "wait_ms", 0));
    const std::uint64_t max_bytes = Number(request, "max_kb", 1024) * 1024;
    std::unique_lock lock(this->mutex);
    Partition& partition =
        this->PartitionOf(request.query.at("topic"), static_cast<int>(Number(request, "part", 0)));
    this->changed.wait_for(lock, wait, [&] { return partition.records.size() > from; });
    Response response{200, "", "application/octet-stream"};
    const auto put = [&](std::uint64_t number, int bytes) {
      for (int i = bytes; i-- > 0;) {
        response.body += static_cast<char>(number >> (8 * i) & 255U);
      }
    };
    put(partition.records.size(), 8);
    put(0, 8);
    for (std::uint64_t i = from; i < partition.records.size() && response.body.size() < max_bytes;
         ++i) {
      put(partition.records[i].size(), 4);
      response.body += partition.records[i];
    }
    return response;
  }

  Response ReadNewest(const Request& request) {
    constexpr std::size_t kPage = 500;
    const auto after = request.query.find("after");
    const std::lock_guard lock(this->mutex);
    const Partition& partition =
        this->PartitionOf(request.query.at("topic"), static_cast<int>(Number(request, "part", 0)));
    std::map<std::string, std::size_t> newest;
    for (std::size_t i = 0; i < partition.records.size(); ++i) {
      newest[KeyOf(partition.records[i])] = i;
    }
    json::array items;
    bool has_more = false;
    for (const auto& [key, offset] : newest) {
      const std::string& record = partition.records[offset];
      const std::string value = record.substr(1 + key.size());
      if (value.empty() || (after != request.query.end() && key <= after->second)) {
        continue;
      }
      if (items.size() == kPage) {
        has_more = true;
        break;
      }
      items.push_back(json::object{{"key", key}, {"value", Base64(value)}, {"offset", offset}});
    }
    return Json(200, {{"items", std::move(items)},
                      {"has_more", has_more},
                      {"end_offset", partition.records.size()}});
  }

  /// Gives each part to one member, evenly. A member keeps its first parts when others join.
  static void Distribute(Group& group) {
    std::set<std::pair<std::string, int>> free;
    for (const std::string& topic : group.topics) {
      for (int part = 0; part < kParts; ++part) {
        free.insert({topic, part});
      }
    }
    const std::size_t total = free.size();
    if (group.members.empty()) {
      return;
    }
    const std::size_t most = (total + group.members.size() - 1) / group.members.size();
    for (auto& [name, member] : group.members) {
      member.parts.resize(std::min(member.parts.size(), most));
      for (const auto& part : member.parts) {
        free.erase(part);
      }
    }
    for (auto& [name, member] : group.members) {
      while (member.parts.size() < most && !free.empty()) {
        member.parts.push_back(*free.begin());
        free.erase(free.begin());
      }
    }
  }

  static void DropExpired(Group& group) {
    const auto expired = std::erase_if(
        group.members, [](const auto& entry) { return entry.second.expires_ms < NowMs(); });
    if (expired > 0) {
      ++group.generation;
      Distribute(group);
    }
  }

  Response Join(const Request& request) {
    const json::object body = json::parse(request.body).as_object();
    const std::string name(body.at("member").as_string());
    const std::lock_guard lock(this->mutex);
    Group& group = this->groups[std::string(body.at("group").as_string())];
    DropExpired(group);
    if (request.path == "/-/log-leave") {
      if (group.members.erase(name) > 0) {
        ++group.generation;
        Distribute(group);
      }
      return Json(200, {});
    }
    for (const json::value& topic : body.at("topics").as_array()) {
      group.topics.insert(std::string(topic.as_string()));
    }
    const bool is_new = !group.members.contains(name);
    Group::Member& member = group.members[name];
    member.ttl_ms = body.at("ttl_ms").to_number<double>();
    member.expires_ms = NowMs() + member.ttl_ms;
    if (is_new) {
      ++group.generation;
      Distribute(group);
    }
    json::array parts;
    for (const auto& [topic, part] : member.parts) {
      parts.push_back(json::array{topic, part, 0});
    }
    return Json(200, {{"generation", group.generation}, {"parts", std::move(parts)}});
  }

  Response Owners(const Request& request) {
    const std::lock_guard lock(this->mutex);
    Group& group = this->groups[request.query.at("group")];
    DropExpired(group);
    json::array rows;
    for (const auto& [name, member] : group.members) {
      for (const auto& [topic, part] : member.parts) {
        rows.push_back(json::array{topic, part, name, 0});
      }
    }
    return Json(200, {{"owners", std::move(rows)}});
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::pair<std::string, int>, std::unique_ptr<Partition>> partitions;
  std::map<std::string, Group> groups;
  int oversized = 0;
  std::size_t largest = 0;
  Server server;
};

}  // namespace review
