// A route is removed from the configuration while a job that was accepted on it runs, the process
// that schedules is killed, and one task of the job then fails once. The route comes back later.
// Looks for a job that is shown as `failed` after fewer failed runs than the queue's `attempts`.
#include <cstdlib>

#include "../standin-2/entries.hpp"
#include "../standin-2/workers.hpp"

namespace review {
namespace {

constexpr int kWorkers = 10;
constexpr int kAttempts = 4;
constexpr double kWorkMs = 9000;
constexpr const char* kJob = "5c0e7a21d94b36f8";
const std::string kFailingTask = std::string(kJob) + ".0.0.0";

json::object Route(const char* name, const char* prefix) {
  return {{"name", name},
          {"host", "kit.example"},
          {"path_prefix", prefix},
          {"service", "guide-roster"},
          {"prio", 1},
          {"attempts", kAttempts},
          {"slack_factor", 4.0},
          {"target_runtime_ms", 20000}};
}

std::string Config(int version, bool has_route) {
  json::array routes{Route("roster", "/roster/")};
  if (has_route) {
    routes.push_back(Route("route-kit", "/kit/"));
  }
  return json::serialize(
      json::object{{"version", version},
                   {"routes", std::move(routes)},
                   {"services", {{{"name", "guide-roster"}, {"admission_check", true}}}},
                   {"tenants",
                    {{{"name", "counter"},
                      {"api_keys", {"key-counter"}},
                      {"weight", 10},
                      {"cap", {{"cpu", 0}, {"mem_mb", 0}, {"gpu", 0}}}}}},
                   {"limits", json::object{}}});
}

std::string JobBody() {
  return json::serialize(json::object{
      {"spec", "route kits of the season"},
      {"steps", {{{"count", 4}, {"cpu", 2000}, {"mem_mb", 1024}, {"estimate_ms", kWorkMs}}}}});
}

/// The entry that the newest claim in the store names.
Entry* OwnerOf(Store& store, Entries& entries) {
  const std::string claim = store.Newest("keyed.chervilspar-owners", "owner");
  for (Entry& entry : entries.All()) {
    if (claim.find('"' + entry.name + '"') != std::string::npos) {
      return &entry;
    }
  }
  return nullptr;
}

int Main(const std::string& program, const std::string& folder, const std::string& logs,
         bool has_trouble) {
  Record record(folder + "/record.txt");
  // Their threads run until the process ends.
  Store& store = *new Store;
  Fleet& fleet = *new Fleet(
      store, {},
      [](const std::string&) {
        return TaskNeed{2000, 1024, kWorkMs, false};
      },
      [](const std::string& task, std::uint64_t run) {
        return std::string(task == kFailingTask && run == 1 ? "failed" : "done");
      });
  const char* const zones[] = {"is-south-a", "is-south-b", "is-south-c"};
  for (int i = 0; i < kWorkers; ++i) {
    fleet.Add("host-" + std::to_string(i), "guide-roster", zones[i % 3],
              "r" + std::to_string(i % 3) + "-1");
  }
  store.Put("keyed.op", "config", Config(3, true));
  Entries entries(program, logs, store.Port(), fleet.CloudPort());
  entries.Start({zones[0], zones[1], zones[2]});
  if (!entries.AreReady(15000)) {
    record.Write("the entries did not become ready");
    return 2;
  }
  SleepMs(4000);
  Client client(record, "kit.example", "/kit/", "key-counter");
  Entry* const owner = OwnerOf(store, entries);
  if (owner == nullptr) {
    record.Write("no entry has claimed to schedule");
    return 2;
  }
  const Entry& asked = &entries.All()[0] == owner ? entries.All()[1] : entries.All()[0];
  const auto submitted = client.Send(asked, "POST", kJob, JobBody());
  if (!submitted || submitted->status != 200) {
    return 2;
  }
  SleepMs(1500);
  store.Put("keyed.op", "config", Config(5, false));
  record.Write("configuration 5 without the route /kit/ was acknowledged");
  SleepMs(2500);
  if (has_trouble) {
    record.Write(owner->name + ", which schedules, is killed");
    entries.Kill(*owner);
    SleepMs(500);
    entries.Spawn(*owner);
    record.Write(owner->name + " is started again");
  }
  SleepMs(7500);
  store.Put("keyed.op", "config", Config(8, true));
  record.Write("configuration 8 with the route /kit/ was acknowledged");
  SleepMs(3000);
  std::string phase;
  for (int i = 0; i < 20; ++i) {
    const auto shown = client.Send(asked, "GET", kJob, "");
    if (shown && shown->status == 200) {
      phase = shown->body;
      if (phase.find("running") == std::string::npos && phase.find("queued") == std::string::npos) {
        break;
      }
    }
    SleepMs(1000);
  }
  int failed = 0;
  for (const WorkerEvent& event : fleet.Events()) {
    record.WriteAt(event.at_ms, "worker " + event.worker + " " + event.what + " " + event.task +
                                    " run " + std::to_string(event.run) + " " + event.note);
    failed += event.what == "failed" ? 1 : 0;
  }
  record.Write("the job is shown as " + phase + " after " + std::to_string(failed) +
               " failed run; the queue has " + std::to_string(kAttempts) + " attempts");
  if (phase.find("complete") != std::string::npos) {
    return 0;
  }
  return phase.find("failed") != std::string::npos && failed < kAttempts ? 1 : 2;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc < 4) {
    return 2;
  }
  const char* const trouble = std::getenv("TROUBLE");
  return review::Main(argv[1], argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0");
}
