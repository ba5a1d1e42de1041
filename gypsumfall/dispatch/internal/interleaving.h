#ifndef GYPSUMFALL_DISPATCH_INTERNAL_INTERLEAVING_H_
#define GYPSUMFALL_DISPATCH_INTERNAL_INTERLEAVING_H_

// Test support of this library: random faults in simulated shards.

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "gypsumfall/dispatch/internal/simulated_shards.h"

namespace gypsumfall {

/// What happened in a simulation, or in several.
struct InterleavingReport {
  int faults = 0;
  int takeovers = 0;
  /// Tasks that were transferred, or jobs that were moved.
  int handovers = 0;
  /// Jobs that were moved because of the load.
  int load_moves = 0;
  std::vector<std::string> violations;
};

/// Two or three shards and the faults that all simulations have in common.
class RandomShards {
 protected:
  /// Mean numbers of steps between two faults of a shard.
  struct Odds {
    std::uint64_t store_outage = 400;
    std::uint64_t read = 20;
    std::uint64_t takeover = 1000;
  };

  /// @param balances_jobs whether jobs move because of the load.
  RandomShards(std::uint64_t seed, Odds odds, bool balances_jobs = false)
      : random_(seed),
        shards_(static_cast<int>(2 + Below(2)), balances_jobs),
        odds_(odds) {}

  std::uint64_t Below(std::uint64_t bound) { return random_() % bound; }
  bool OneIn(std::uint64_t count) { return Below(count) == 0; }
  Duration UpTo(Duration longest) {
    return Duration(static_cast<std::int64_t>(
        Below(static_cast<std::uint64_t>(longest.count()))));
  }
  /// @return a shard.
  int AnyShard() {
    return static_cast<int>(
        Below(static_cast<std::uint64_t>(shards_.shard_count())));
  }

  /// Store outages, late and repeated reads, and takeovers.
  void AddShardFaults(int index) {
    SimulatedCluster& cluster = shards_.shard(index);
    if (shards_.now() >= store_available_at_[index])
      cluster.store_available = true;
    if (OneIn(odds_.store_outage)) {
      cluster.store_available = false;
      store_available_at_[index] = shards_.now() + UpTo(seconds(3));
    }
    if (OneIn(odds_.read)) shards_.ReadChanges(index);
    if (OneIn(10) && shards_.change_count() > 0)
      shards_.ReadAgain(index, Below(shards_.change_count()));
    if (!OneIn(odds_.takeover)) return;
    ++report_.takeovers;
    if (OneIn(2)) cluster.StoreRecords();
    shards_.TakeOver(index);
  }

  void EndShardFaults() {
    for (int i = 0; i < shards_.shard_count(); ++i) {
      shards_.shard(i).store_available = true;
      shards_.SetReadsChanges(i, true);
    }
  }

  std::mt19937_64 random_;
  SimulatedShards shards_;
  InterleavingReport report_;

 private:
  Odds odds_;
  std::map<int, Time> store_available_at_;
};

/// Runs a simulation for each of the seeds from 1 on.
/// @return the sums of all reports; each violation names its seed.
template <typename Simulation>
InterleavingReport RunSeeds(std::uint64_t seeds) {
  InterleavingReport total;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const InterleavingReport report = Simulation(seed).Run();
    total.faults += report.faults;
    total.takeovers += report.takeovers;
    total.handovers += report.handovers;
    total.load_moves += report.load_moves;
    for (const std::string& violation : report.violations) {
      total.violations.push_back("seed " + std::to_string(seed) + ": " +
                                 violation);
    }
  }
  return total;
}

}  // namespace gypsumfall

#endif  // GYPSUMFALL_DISPATCH_INTERNAL_INTERLEAVING_H_
