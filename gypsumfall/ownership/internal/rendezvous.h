#ifndef GYPSUMFALL_OWNERSHIP_INTERNAL_RENDEZVOUS_H_
#define GYPSUMFALL_OWNERSHIP_INTERNAL_RENDEZVOUS_H_

#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// An entry host that is live and not leaving.
struct LiveHost {
  EntryHostId id;
  DataCentreId data_centre;

  friend bool operator==(const LiveHost&, const LiveHost&) = default;
};

/// Chooses an owner by rendezvous (highest random weight) hashing.
/// @param key name of the resource to be owned.
/// @param hosts the candidates, in any order.
/// @return the host with the highest hash of (key, host), or nullopt if there
///     are no hosts. Removing any other host never changes the result.
std::optional<EntryHostId> RendezvousOwner(std::string_view key,
                                           std::span<const EntryHostId> hosts);

/// @return the hosts in descending order of preference for the key.
std::vector<EntryHostId> RendezvousOrder(std::string_view key,
                                         std::span<const EntryHostId> hosts);

/// @param rack a rack of workers.
/// @param data_centre data centre of the rack.
/// @param hosts the entry hosts of all data centres that are live and not
///     leaving.
/// @return the preferred owner among the hosts of the data centre, or among
///     all hosts if the data centre has none; nullopt without hosts.
std::optional<EntryHostId> ChooseWorkerOwner(const RackId& rack,
                                             const DataCentreId& data_centre,
                                             std::span<const LiveHost> hosts);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_OWNERSHIP_INTERNAL_RENDEZVOUS_H_
