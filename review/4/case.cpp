// A job repeats often enough that the record of its progress reaches the store's limit of
// `record_bytes`. Looks for jobs of another tenant that are accepted afterwards and never start.
#include <cstdlib>

#include "../standin-2/entries.hpp"
#include "../standin-2/workers.hpp"

namespace review {
namespace {

constexpr int kWorkers = 10;
constexpr int kSteps = 4;
constexpr double kWorkMs = 15;
constexpr std::int64_t kIntervalMs = 1000;
/// With these, the job's progress takes more, and less, than `record_bytes`. All of them are due
/// when the job is handed in.
constexpr int kManyRepeats = 3000;
constexpr int kFewRepeats = 1500;
constexpr double kMaxWaitMs = 40000;
constexpr double kFinishMs = 14000;
/// For this long at the end, a job may have nothing running at most.
constexpr double kIdleMs = 3000;
constexpr const char* kRepeating = "5c0e7a21d94b36f8";
const std::vector<std::string> kLater = {"7d41c09be2a65f13", "90b2f6d7c3418ea5",
                                         "a6e35d1f08c94b72"};

json::object Route(const char* name, const char* prefix) {
  return {{"name", name},
          {"host", "kit.example"},
          {"path_prefix", prefix},
          {"service", "guide-roster"},
          {"prio", 1},
          {"attempts", 4},
          {"slack_factor", 4.0},
          {"target_runtime_ms", 20000}};
}

json::object Tenant(const char* name, const char* key) {
  return {{"name", name},
          {"api_keys", {key}},
          {"weight", 10},
          {"cap", {{"cpu", 0}, {"mem_mb", 0}, {"gpu", 0}}}};
}

std::string Config() {
  return json::serialize(json::object{
      {"version", 3},
      {"routes", {Route("route-kit", "/kit/"), Route("deposit-hold", "/deposit/")}},
      {"services", {{{"name", "guide-roster"}, {"admission_check", true}}}},
      {"tenants", {Tenant("counter", "key-counter"), Tenant("workshop", "key-workshop")}},
      {"limits", json::object{}}});
}

json::object Step(int count, double estimate_ms) {
  return {{"count", count}, {"cpu", 500}, {"mem_mb", 256}, {"estimate_ms", estimate_ms}};
}

std::string RepeatingJob(int repeats) {
  json::array steps;
  for (int i = 0; i < kSteps; ++i) {
    steps.push_back(Step(1, kWorkMs));
  }
  return json::serialize(json::object{{"spec", "roster of the guides"},
                                      {"steps", std::move(steps)},
                                      {"repeats", repeats},
                                      {"first_ms", UnixMs() - repeats * kIntervalMs},
                                      {"interval_ms", kIntervalMs}});
}

std::size_t CountDone(Fleet& fleet, const std::string& job) {
  std::size_t count = 0;
  for (const WorkerEvent& event : fleet.Events()) {
    count += event.what == "done" && event.task.starts_with(job) ? 1 : 0;
  }
  return count;
}

int Main(const std::string& program, const std::string& folder, const std::string& logs,
         bool has_trouble) {
  Record record(folder + "/record.txt");
  // Their threads run until the process ends.
  Store& store = *new Store;
  Fleet& fleet = *new Fleet(
      store, {},
      [](const std::string&) {
        return TaskNeed{500, 256, kWorkMs, false};
      },
      [](const std::string&, std::uint64_t) { return std::string("done"); });
  const char* const zones[] = {"is-south-a", "is-south-b", "is-south-c"};
  for (int i = 0; i < kWorkers; ++i) {
    fleet.Add("host-" + std::to_string(i), "guide-roster", zones[i % 3],
              "r" + std::to_string(i % 3) + "-1");
  }
  store.Put("keyed.op", "config", Config());
  Entries entries(program, logs, store.Port(), fleet.CloudPort());
  entries.Start({zones[0], zones[1], zones[2]});
  if (!entries.AreReady(15000)) {
    record.Write("the entries did not become ready");
    return 2;
  }
  SleepMs(3000);
  Client counter(record, "kit.example", "/kit/", "key-counter");
  Client workshop(record, "kit.example", "/deposit/", "key-workshop");
  const Entry& entry = entries.All()[0];
  const int repeats = has_trouble ? kManyRepeats : kFewRepeats;
  record.Write("a job with " + std::to_string(repeats) + " repeats, every " +
               std::to_string(kIntervalMs) + " ms, all of which are due, is handed in");
  const auto submitted = counter.Send(entry, "POST", kRepeating, RepeatingJob(repeats));
  if (!submitted || submitted->status != 200) {
    return 2;
  }
  // Until it is done, or the store has refused a record of its progress.
  const double begin = NowMs();
  const auto tasks = static_cast<std::size_t>(repeats * kSteps);
  while (CountDone(fleet, kRepeating) < tasks && store.Sizes().first == 0 &&
         NowMs() - begin < kMaxWaitMs) {
    SleepMs(1000);
  }
  SleepMs(2000);
  record.Write(std::to_string(CountDone(fleet, kRepeating)) + " of its " + std::to_string(tasks) +
               " tasks are done; the largest record in the store has " +
               std::to_string(store.Sizes().second) + " bytes; " +
               std::to_string(store.Sizes().first) + " appends were refused as too large");
  for (const std::string& id : kLater) {
    const auto accepted = workshop.Send(
        entry, "POST", id,
        json::serialize(json::object{{"spec", "deposit"}, {"steps", {Step(2, kWorkMs)}}}));
    if (!accepted || accepted->status != 200) {
      return 2;
    }
  }
  SleepMs(kFinishMs);
  std::vector<std::string> unfinished;
  for (const std::string& id : kLater) {
    const auto shown = workshop.Send(entry, "GET", id, "");
    if (!shown || shown->body.find("complete") == std::string::npos) {
      unfinished.push_back(id);
    }
  }
  counter.Send(entry, "GET", kRepeating, "");
  SleepMs(kIdleMs);
  int idle = 0;
  for (const std::string& id : unfinished) {
    bool has_started = false;
    for (const WorkerEvent& event : fleet.Events()) {
      has_started = has_started || (event.what == "start" && event.task.starts_with(id));
    }
    idle += has_started ? 0 : 1;
  }
  for (const WorkerEvent& event : fleet.Events()) {
    record.WriteAt(event.at_ms, "worker " + event.worker + " " + event.what + " " + event.task +
                                    " run " + std::to_string(event.run));
  }
  record.Write(std::to_string(fleet.Active().size()) + " tasks are running on " +
               std::to_string(kWorkers) + " workers; " + std::to_string(store.Sizes().first) +
               " appends were refused as too large");
  record.Write(std::to_string(idle) + " of " + std::to_string(kLater.size()) +
               " jobs of the other tenant were accepted and have not started");
  return idle > 0 ? 1 : 0;
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
