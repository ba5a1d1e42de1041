#ifndef GYPSUMFALL_OWNERSHIP_OWNERSHIP_H_
#define GYPSUMFALL_OWNERSHIP_OWNERSHIP_H_

/// @file
/// Decides which entry host owns what: the lease row of this host, ownership
/// of task partitions through the table service, and the preferred owner of a
/// rack of workers.
///
/// The classes send nothing. Their actions carry calls to the table service;
/// the caller sends each call once and passes the answer, or its loss, back
/// under the token of the call.
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
