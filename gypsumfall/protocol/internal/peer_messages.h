#ifndef GYPSUMFALL_PROTOCOL_INTERNAL_PEER_MESSAGES_H_
#define GYPSUMFALL_PROTOCOL_INTERNAL_PEER_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/protocol/internal/worker_messages.h"

namespace gypsumfall {

/// Identity and network address of an entry host.
struct PeerDescriptor {
  EntryHostId id;
  DataCentreId data_centre;
  std::string address;
};

/// State of one entry host in a heartbeat: of the sender, or of a host from
/// which the sender receives heartbeats directly.
struct HostSummary {
  PeerDescriptor peer;
  Incarnation incarnation;
  /// Number of the heartbeat within the incarnation.
  std::uint64_t heartbeat_number = 0;
  bool leaving = false;
  int spare_slots = 0;
  ContractRevision contract_revision;
  std::vector<RackId> owned_racks;
};

/// Membership part of a heartbeat and of the reply to one.
struct PeerHeartbeat {
  HostSummary sender;
  /// Hosts of the sender's data centre from which it receives heartbeats
  /// directly.
  std::vector<HostSummary> relayed;
};

/// Identifies one grant of one incarnation of the lender.
struct LoanId {
  Incarnation lender;
  std::uint64_t number = 0;

  friend auto operator<=>(const LoanId&, const LoanId&) = default;
};

/// Units of a customer's limits that a host wants to borrow.
struct LoanDemand {
  CustomerId customer;
  ContractVersion version;
  std::int64_t burst = 0;
  std::int64_t concurrent = 0;
};

/// Part of a heartbeat: units that the sender would borrow from each peer.
/// Customers without demand are omitted.
struct LoanDemands {
  std::vector<LoanDemand> demands;
};

/// Units lent to one peer. A grant does not replace earlier ones: the largest
/// unexpired grant of a lender applies.
struct LoanGrant {
  LoanId id;
  CustomerId customer;
  ContractVersion version;
  std::int64_t burst = 0;
  std::int64_t concurrent = 0;
};

/// Part of the reply to a heartbeat.
struct LoanGrants {
  std::vector<LoanGrant> grants;
};

/// A task partition that the sender of a heartbeat owns.
struct OwnedPartition {
  std::int64_t number = 0;
  Epoch epoch;
};

/// Heartbeat that entry hosts exchange once per second. The reply has the same
/// type.
struct HeartbeatMessage {
  PeerHeartbeat heartbeat;
  /// In a call: the units that the sender would borrow. In a reply: empty.
  LoanDemands demands;
  /// In a reply: the units lent to the sender of the call.
  LoanGrants grants;
  /// Racks that the sender asks the receiver to release.
  std::vector<RackId> release;
  std::vector<OwnedPartition> partitions;
};

/// A caller's HTTP call, forwarded to an entry host that can answer it. The
/// sender has authenticated the customer.
struct ForwardedCall {
  EntryHostId from;
  /// "GET", "POST" or "DELETE".
  std::string method;
  /// Request target: path and query.
  std::string target;
  CustomerId customer;
  std::string body;
};

/// HTTP response to a ForwardedCall.
struct ForwardedCallReply {
  int status = 0;
  std::string body;
};

/// A request that was admitted by the sender, which has no free capacity for
/// it.
struct ForwardedRequest {
  EntryHostId from;
  /// Identifies this forwarding, also in later queries for its outcome.
  ExchangeId exchange;
  CustomerId customer;
  RequestId id;
  KindId kind;
  std::string payload;
  /// Time left until the caller's deadline, in milliseconds.
  std::int64_t time_left_ms = 0;
  /// If set, only queries the outcome of an earlier call.
  bool resolve_only = false;
};

/// Outcome of a ForwardedRequest.
struct ForwardedRequestReply {
  /// "no", "yes" or "unknown".
  std::string was_run;
  /// Name of the error kind; empty if the request finished.
  std::string error;
  std::string detail;
  std::string result;
};

/// Asks the owner of workers to reserve capacity for one attempt.
struct ReserveCall {
  AttemptId id;
  KindId kind;
  Resources resources;
  std::vector<WorkerId> avoid;
};

/// Result of a reservation.
struct ReserveReply {
  AttemptId id;
  /// Worker with the reserved capacity; empty if none has enough.
  WorkerId worker;
  Incarnation incarnation;
  /// Time on the worker's clock, read before this reply was sent.
  WorkerTime clock;
};

/// Starts an attempt on its reserved capacity. The intent to start it has been
/// stored durably.
struct PeerStartCall {
  WorkerId worker;
  Incarnation incarnation;
  AttemptId id;
  KindId kind;
  Resources resources;
  std::string payload;
  std::string checkpoint;
  Epoch task_epoch;
  WorkerTime lease_until;
};

struct PeerStartReply {
  AttemptId id;
  /// Whether the outcome is unknown. Otherwise `refused` and `clock` are valid.
  bool unknown = false;
  std::optional<RefusalReason> refused;
  WorkerTime clock;
};

/// Identifies an attempt and its worker, to stop the attempt or to acknowledge
/// its outcome.
struct PlacedAttempt {
  WorkerId worker;
  AttemptId id;
};

/// Renews the lease of an attempt on a worker of the receiver.
struct PeerRenewal {
  WorkerId worker;
  Incarnation incarnation;
  LeaseRenewal renewal;
};

/// Batch of commands and queries from the owner of a task partition to the
/// owner of workers.
struct AttemptsCall {
  EntryHostId from;
  std::int64_t partition = 0;
  std::vector<ReserveCall> reserve;
  std::vector<PeerStartCall> start;
  std::vector<PlacedAttempt> stop;
  std::vector<PeerRenewal> renew;
  std::vector<PlacedAttempt> acknowledge;
  /// Workers whose reports on the partition's attempts are requested.
  std::vector<WorkerId> query;
};

/// State of the attempts of one task partition on one worker.
struct WorkerAttemptReports {
  WorkerId worker;
  Incarnation incarnation;
  WorkerTime clock;
  std::vector<AttemptReport> attempts;
};

struct AttemptsReply {
  std::vector<ReserveReply> reserved;
  std::vector<PeerStartReply> started;
  std::vector<WorkerAttemptReports> reports;
};

/// Notification from the owner of workers to the owner of a task partition that
/// the state of attempts has changed.
struct AttemptsChanged {
  EntryHostId from;
  std::int64_t partition = 0;
  WorkerAttemptReports reports;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_PROTOCOL_INTERNAL_PEER_MESSAGES_H_
