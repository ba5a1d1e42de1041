#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_SHARDED_DEPLOYMENT_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_SHARDED_DEPLOYMENT_H_

// Test support of this library: a deployment with two shards and two hosts.

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "gypsumfall/scheduler/internal/fake_ports.h"

namespace gypsumfall::scheduler_internal {

/// A store with four workers in two racks, split into shards of two workers.
struct ShardedDeployment {
  explicit ShardedDeployment(bool acceptance_relay = false)
      : store(io), workers(io) {
    store.Put(ConfigAddress(), "1");
    for (int i = 0; i < 4; ++i) {
      const std::string rack = i < 2 ? "rack1" : "rack2";
      store.Put({"workers", "", rack + "-w" + std::to_string(i)}, "");
    }
    for (int i = 0; i < 2; ++i) {
      hosts.push_back(std::make_unique<TestHost>(
          io, store, workers, "h" + std::to_string(i), 2, 1.0,
          ByteCount(64 << 20),
          OverloadSettings{.acceptance_relay = acceptance_relay}));
    }
    for (auto& host : hosts) {
      host->RunUntil([&] { return host->shards().is_ready(); });
    }
  }

  /// @return whether some host schedules the shard.
  bool IsScheduled(std::size_t shard) {
    return std::any_of(hosts.begin(), hosts.end(), [&](const auto& host) {
      return host->shards().shards()[shard]->dispatch.is_scheduling();
    });
  }
  void AwaitScheduled() {
    hosts[0]->RunUntil([&] { return IsScheduled(0) && IsScheduled(1); });
    // Each host must know the leader of each shard.
    for (auto& host : hosts) {
      for (const auto& shard : host->shards().shards()) {
        host->RunUntil(
            [&] { return shard->elector.lease().record().has_value(); });
      }
    }
  }

  boost::asio::io_context io{1};
  FakeStore store;
  InstantWorkers workers;
  std::vector<std::unique_ptr<TestHost>> hosts;
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_SHARDED_DEPLOYMENT_H_
