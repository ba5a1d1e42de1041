#ifndef GYPSUMFALL_OWNERSHIP_INTERNAL_RENDEZVOUS_H_
#define GYPSUMFALL_OWNERSHIP_INTERNAL_RENDEZVOUS_H_

#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// A live, not leaving entry host.
struct LiveHost {
  EntryHostId id;
  DataCentreId data_centre;

  friend bool operator==(const LiveHost&, const LiveHost&) = default;
};

/// @param key what is to be owned.
/// @param hosts the candidates, in any order.
/// @return the host with the highest hash of (key, host), or nullopt if there
///     are no hosts. Removing another host never changes the result.
std::optional<EntryHostId> RendezvousOwner(std::string_view key,
                                           std::span<const EntryHostId> hosts);

/// @return the hosts from most to least preferred for the key.
std::vector<EntryHostId> RendezvousOrder(std::string_view key,
                                         std::span<const EntryHostId> hosts);

/// @param rack a rack of workers.
/// @param data_centre where the rack is.
/// @param hosts the live, not leaving entry hosts of all data centres.
/// @return the preferred owner among the hosts of the data centre, or among
///     all hosts if the data centre has none; nullopt without hosts.
std::optional<EntryHostId> ChooseWorkerOwner(const RackId& rack,
                                             const DataCentreId& data_centre,
                                             std::span<const LiveHost> hosts);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_OWNERSHIP_INTERNAL_RENDEZVOUS_H_
