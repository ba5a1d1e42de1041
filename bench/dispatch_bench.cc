#include <chrono>
#include <ctime>
#include <iostream>
#include <random>
#include <string>

#include "gypsumfall/dispatch/internal/simulated_cluster.h"

// Measures the CPU time of scheduling decisions for a fleet under load. Runs on
// the simulated fleet of the dispatcher's tests, whose own cost is included in
// the result; use it to compare variants or as input for a profiler.
//
//   dispatch_bench WORKERS SECONDS

namespace gypsumfall {
namespace {

constexpr int kCatalogueImages = 18;
constexpr int kServingImages = 10;
// Job arrivals per second and worker, as in the users' larger deployments.
constexpr double kUrgentJobRate = 0.037;
constexpr double kBestEffortJobRate = 0.058;

JobSpec UrgentJob() {
  JobSpec spec;
  for (int i = 0; i < 2; ++i) {
    StepSpec step{.task_count = 9,
                  .need = {MilliCores(5700), MebiBytes(11000), {}},
                  .declared_run_time = milliseconds(640)};
    if (i > 0) step.after = {0};
    spec.steps.push_back(step);
  }
  return spec;
}

JobSpec BestEffortJob(int image) {
  JobSpec spec;
  for (int i = 0; i < 2; ++i) {
    StepSpec step{.task_count = 20,
                  .need = {MilliCores(3500), MebiBytes(6400), {}},
                  .declared_run_time = milliseconds(1700),
                  .checkpoints = true,
                  .image = ImageId("fill" + std::to_string(image)),
                  .best_effort = true};
    if (i > 0) step.after = {0};
    spec.steps.push_back(step);
  }
  return spec;
}

JobSpec ServingJob(int image) {
  JobSpec spec;
  spec.steps.push_back({.task_count = 14,
                        .need = {MilliCores(6400), MebiBytes(13000), {}},
                        .declared_run_time = milliseconds(400),
                        .max_per_worker = 1,
                        .long_running = true,
                        .image = ImageId("serve" + std::to_string(image)),
                        .tail_target = milliseconds(50)});
  return spec;
}

class LoadSimulation {
 public:
  explicit LoadSimulation(int workers)
      : workers_(workers),
        world_(workers, {MilliCores(32000), MebiBytes(128000), {}}) {
    world_.run_of = [](const TaskName& name, int) {
      const std::string& id = name.job.str();
      const Duration run_time = id[0] == 's'   ? Duration(seconds(100))
                                : id[0] == 'u' ? Duration(milliseconds(640))
                                               : Duration(milliseconds(1700));
      return std::pair{run_time, RunOutcome::kDone};
    };
    world_.usage_of = [](const SimulatedWorker&, const TaskName& name) {
      return name.job.str()[0] == 's' ? 20.0 : 3000.0;
    };
  }

  void Simulate(int seconds) {
    const int jobs = workers_ / 3;
    for (int i = 0; i < jobs; ++i) Submit("s", ServingJob(i % kServingImages));
    for (int tick = 0; tick < seconds * 100; ++tick) {
      SubmitArrivals(kUrgentJobRate, [this] { Submit("u", UrgentJob()); });
      SubmitArrivals(kBestEffortJobRate, [this] {
        Submit("p",
               BestEffortJob(static_cast<int>(random_() % kCatalogueImages)));
      });
      world_.Advance(kSimulationStep);
    }
    std::size_t starts = 0;
    for (const auto& [task, count] : world_.starts) {
      starts += static_cast<std::size_t>(count);
    }
    std::cout << workers_ << " workers, " << starts << " starts in " << seconds
              << " s, processor time "
              << static_cast<double>(std::clock()) / CLOCKS_PER_SEC << " s\n";
  }

 private:
  // Submits the arrivals of one 10 ms tick, Poisson-distributed.
  template <typename SubmitFunction>
  void SubmitArrivals(double rate, SubmitFunction submit) {
    std::poisson_distribution<int> arrivals(rate * workers_ / 100);
    for (int due = arrivals(random_); due > 0; --due) submit();
  }

  void Submit(const std::string& kind, const JobSpec& spec) {
    world_.Submit(world_.Record(kind + std::to_string(++jobs_), spec));
  }

  int workers_;
  SimulatedCluster world_;
  std::mt19937 random_{1};
  int jobs_ = 0;
};

}  // namespace
}  // namespace gypsumfall

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: dispatch_bench WORKERS SECONDS\n";
    return 2;
  }
  gypsumfall::LoadSimulation load(std::stoi(argv[1]));
  load.Simulate(std::stoi(argv[2]));
  return 0;
}
