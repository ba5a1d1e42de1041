#include "gypsumfall/ownership/internal/rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsumfall {
namespace {

// Hash and id; the id breaks ties, so that the result does not depend on the
// order of the input.
using Weight = std::pair<std::uint64_t, EntryHostId>;

Weight WeightOf(std::string_view key, const EntryHostId& host) {
  std::string text(key);
  text += '/';
  text += host.str();
  return {StableHash(text), host};
}

}  // namespace

std::optional<EntryHostId> RendezvousOwner(std::string_view key,
                                           std::span<const EntryHostId> hosts) {
  std::optional<Weight> best;
  for (const EntryHostId& host : hosts) {
    Weight weight = WeightOf(key, host);
    if (!best || weight > *best) best = std::move(weight);
  }
  if (!best) return std::nullopt;
  return best->second;
}

std::vector<EntryHostId> RendezvousOrder(std::string_view key,
                                         std::span<const EntryHostId> hosts) {
  std::vector<Weight> weights;
  weights.reserve(hosts.size());
  for (const EntryHostId& host : hosts) weights.push_back(WeightOf(key, host));
  std::sort(weights.rbegin(), weights.rend());
  std::vector<EntryHostId> order;
  order.reserve(weights.size());
  for (Weight& weight : weights) order.push_back(std::move(weight.second));
  return order;
}

std::optional<EntryHostId> ChooseWorkerOwner(const RackId& rack,
                                             const DataCentreId& data_centre,
                                             std::span<const LiveHost> hosts) {
  std::vector<EntryHostId> local;
  std::vector<EntryHostId> all;
  for (const LiveHost& host : hosts) {
    all.push_back(host.id);
    if (host.data_centre == data_centre) local.push_back(host.id);
  }
  const std::string key = data_centre.str() + "/" + rack.str();
  return RendezvousOwner(key, local.empty() ? all : local);
}

}  // namespace gypsumfall
