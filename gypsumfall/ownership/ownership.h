#ifndef GYPSUMFALL_OWNERSHIP_OWNERSHIP_H_
#define GYPSUMFALL_OWNERSHIP_OWNERSHIP_H_

/// @file
/// Assigns task partitions and racks of workers to entry hosts. Maintains the
/// lease row of this host, acquires and hands over task partitions through the
/// table service, and computes the preferred owner of a rack.
///
/// The classes do no I/O. They return actions that carry calls to the table
/// service. The caller sends each call once and reports its reply, or the loss
/// of the reply, under the token of the call.
///
/// Example:
/// @code
///   HostLease lease(identity, {});
///   for (const HostLeaseAction& action : lease.Tick(now)) Perform(action);
///   for (const HostLeaseAction& action :
///        lease.OnTransacted(token, reply, now)) Perform(action);
///   for (const PartitionAction& action :
///        partitions.Tick(membership.PreferredOwners(now), now)) ...
/// @endcode

#include "gypsumfall/ownership/internal/host_lease.h"
#include "gypsumfall/ownership/internal/rendezvous.h"
#include "gypsumfall/ownership/internal/rows.h"
#include "gypsumfall/ownership/internal/task_partitions.h"

#endif  // GYPSUMFALL_OWNERSHIP_OWNERSHIP_H_
