// A deployment with two shards. Four workers have a label that some jobs
// require; three of them are lost for good. The jobs that are handed in after
// that fit on the fourth one.

#include "review/lib-2/world.hpp"

using namespace world;

namespace {

constexpr int kRacks = 14;
constexpr int kWorkersPerRack = 8;
constexpr int kHosts = 3;
// The smallest hosts of the grown deployments have this many cores.
constexpr double kCpuShare = 0.12;
constexpr int kJobs = 12;
constexpr std::int64_t kWorkerCpu = 32000;
constexpr std::int64_t kTaskCpu = 2000;
constexpr std::int64_t kFinishMs = 14'000;
constexpr std::int64_t kIdleMs = 3'000;

}  // namespace

int main() {
  TheRecord().Open("review/9/record.txt");
  std::mt19937 random(std::random_device{}());
  std::mt19937_64 ids(std::random_device{}());
  const TemporaryFolder folder;
  Store store(RandomIp(random));
  if (!store.Open()) return 2;
  store.Put(
      "op", "config",
      R"({"version":7,"routes":[{"name":"orders","hostname":"desk.example","pathPrefix":"/orders/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1000,"priority":0,"service":"desk","maxAttempts":4,"stretch":2}],"services":[{"name":"desk","healthPath":"/health","maxConnections":64,"protocol":"h1","tls":false,"enforcesCapacity":false,"spare":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})");

  std::mutex mutex;
  std::map<std::string, int> starts;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<Worker*> special;
  for (int rack = 0; rack < kRacks; ++rack) {
    for (int i = 0; i < kWorkersPerRack; ++i) {
      const bool has_label = rack < 4 && i == 0;
      workers.push_back(std::make_unique<Worker>(
          Worker::Settings{.id = "i-" + RandomId(ids).substr(0, 10),
                           .ip = RandomIp(random),
                           .service = "desk",
                           .zone = "north",
                           .rack = "r1-" + std::to_string(10 + rack),
                           .tick_ms = 25},
          store));
      Worker& worker = *workers.back();
      worker.plan_of = [](const std::string&) {
        return TaskPlan{.cpu = kTaskCpu, .mem = 512, .run_ms = 500};
      };
      worker.on_start = [&](const StartEvent& start) {
        std::lock_guard lock(mutex);
        ++starts[JobOf(start.task)];
      };
      if (!worker.Start({has_label ? "b" : "a", kWorkerCpu, 128000})) return 2;
      if (has_label) special.push_back(&worker);
    }
  }
  SleepMs(500);
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back(std::make_unique<Host>(
        "front-" + std::to_string(i + 1), "north", RandomIp(random),
        folder.path(), store.address(), kCpuShare));
    hosts.back()->Start();
  }
  const std::int64_t begin = SteadyMs();
  while (!std::all_of(hosts.begin(), hosts.end(),
                      [](const auto& host) { return host->IsReady(); })) {
    if (SteadyMs() > begin + 20'000) return 2;
    SleepMs(100);
  }
  SleepMs(8000);

  const auto submit = [&](int count) {
    std::vector<std::string> accepted;
    for (int i = 0; i < count; ++i) {
      const std::string id = RandomId(ids);
      for (int attempt = 0; attempt < 5; ++attempt) {
        const Reply reply = hosts[static_cast<std::size_t>(i % kHosts)]->Request(
            "POST", "/orders/" + id,
            R"({"taskSpec":"t","steps":[{"count":1,"cpu":2000,"memMb":512,"estimatedRuntimeMs":500,"requirements":"b"}]})");
        Log("client POST ", id, " ", reply.status);
        if (reply.status == 200) {
          accepted.push_back(id);
          break;
        }
        SleepMs(300);
      }
    }
    return accepted;
  };
  const auto never_started = [&](const std::vector<std::string>& jobs) {
    int count = 0;
    for (const std::string& id : jobs) {
      const Reply reply = hosts[0]->Request("GET", "/orders/" + id, "");
      std::lock_guard lock(mutex);
      const int runs = starts[id];
      Log("client GET ", id, " ", reply.status, " ", reply.body, ", starts ",
          runs);
      if (runs == 0) ++count;
    }
    return count;
  };

  const std::vector<std::string> before = submit(kJobs);
  SleepMs(4000);
  if (before.size() != kJobs || never_started(before) > 0) {
    std::cout << "the deployment does not run the jobs without a disruption"
              << std::endl;
    return 2;
  }
  if (Trouble()) {
    Log("three of the four workers with the label are lost for good");
    std::vector<std::thread> crashes;
    for (std::size_t i = 0; i < 3; ++i) {
      special[i]->cut_from_store = true;
      crashes.emplace_back([&, i] { special[i]->Crash(); });
    }
    for (std::thread& crash : crashes) crash.join();
    SleepMs(4000);
    // The platform removes the entries after three heartbeat intervals.
    for (std::size_t i = 0; i < 3; ++i)
      store.Remove("servers", special[i]->id());
    SleepMs(3000);
  }
  const std::vector<std::string> after = submit(kJobs);
  Log("end of the traffic");
  std::vector<Worker*> alive;
  for (auto& worker : workers) {
    const bool lost =
        Trouble() && std::find(special.begin(), special.begin() + 3,
                               worker.get()) != special.begin() + 3;
    if (!lost) alive.push_back(worker.get());
  }
  const std::vector<Worker*> eligible = {special[3]};
  SleepMs(kFinishMs);
  bool room = HasRoomTwice(alive, eligible, kWorkerCpu, kTaskCpu);
  SleepMs(kIdleMs);
  room = HasRoomTwice(alive, eligible, kWorkerCpu, kTaskCpu) && room;
  const int lost = never_started(after);
  SleepMs(15'000);
  const int lost_later = never_started(after);
  Log("accepted ", after.size(), ", never started ", lost, ", 15 s later ",
      lost_later);
  std::cout << "accepted " << after.size() << ", never started " << lost
            << ", 15 s later " << lost_later << std::endl;
  for (auto& host : hosts) host->Kill();
  std::vector<std::thread> ends;
  for (auto& worker : workers) ends.emplace_back([&] { worker->Crash(); });
  for (std::thread& end : ends) end.join();
  store.Close();
  if (after.size() != kJobs || !room) return 2;
  return lost > 0 ? 1 : 0;
}
