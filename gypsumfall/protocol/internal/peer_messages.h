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

struct PeerInfo {
  EntryHostId id;
  DataCentreId data_centre;
  std::string address;
};

/// What a heartbeat says about its sender or about a host that the sender has
/// heard from directly.
struct HostSummary {
  PeerInfo peer;
  Incarnation incarnation;
  /// Counts heartbeats of the incarnation.
  std::uint64_t beat = 0;
  bool leaving = false;
  int spare_slots = 0;
  ContractRevision contract_revision;
  std::vector<RackId> owned_racks;
};

/// A heartbeat, or the answer to one, which carries the same.
struct PeerHeartbeat {
  HostSummary sender;
  /// Hosts of the sender's data centre that the sender hears directly.
  std::vector<HostSummary> relayed;
};

/// Names one grant of one lender process.
struct LoanId {
  Incarnation lender;
  std::uint64_t number = 0;

  friend auto operator<=>(const LoanId&, const LoanId&) = default;
};

/// Units one host wants to borrow for one customer.
struct LoanWant {
  CustomerId customer;
  ContractVersion version;
  std::int64_t burst = 0;
  std::int64_t concurrent = 0;
};

/// Part of a heartbeat: what this host would borrow from each peer. Customers
/// that need nothing are left out.
struct LoanReport {
  std::vector<LoanWant> wants;
};

/// Units lent to one peer; replaces no earlier grant: of unexpired grants of
/// one lender the largest counts.
struct LoanGrant {
  LoanId id;
  CustomerId customer;
  ContractVersion version;
  std::int64_t burst = 0;
  std::int64_t concurrent = 0;
};

/// Part of the answer to a heartbeat.
struct LoanGrants {
  std::vector<LoanGrant> grants;
};

/// A task partition that the sender of a heartbeat owns.
struct OwnedPartition {
  std::int64_t number = 0;
  Epoch epoch;
};

/// What entry hosts tell each other once a second; a reply carries the same.
struct HeartbeatMessage {
  PeerHeartbeat heartbeat;
  /// In a call: what the sender would borrow. In a reply: empty.
  LoanReport wants;
  /// In a reply: what is lent to the caller.
  LoanGrants grants;
  /// Racks that the sender asks the receiver to release.
  std::vector<RackId> release;
  std::vector<OwnedPartition> partitions;
};

/// A caller's call that another entry host can answer. The sender has
/// authenticated the customer.
struct ForwardedCall {
  EntryHostId from;
  /// "GET", "POST" or "DELETE".
  std::string method;
  /// Path and query.
  std::string target;
  CustomerId customer;
  std::string body;
};

struct ForwardedReply {
  int status = 0;
  std::string body;
};

/// A request that its entry host has no room for. The sender has admitted it.
struct ForwardedRequest {
  EntryHostId from;
  /// Names this forwarding; also used to ask for its outcome.
  ExchangeId exchange;
  CustomerId customer;
  RequestId id;
  KindId kind;
  std::string payload;
  /// Milliseconds left until the caller's deadline.
  std::int64_t time_left_ms = 0;
  /// Only asks for the outcome of an earlier call.
  bool resolve_only = false;
};

struct ForwardedAnswer {
  /// "no", "yes" or "unknown".
  std::string was_run;
  /// Fixed name of the error kind; empty if the request finished.
  std::string error;
  std::string detail;
  std::string result;
};

/// Asks a worker owner for room for one attempt.
struct ReserveCall {
  AttemptId id;
  KindId kind;
  Resources resources;
  std::vector<WorkerId> avoid;
};

/// Room on a worker, or none.
struct ReserveReply {
  AttemptId id;
  /// Empty if there is no room.
  WorkerId worker;
  Incarnation incarnation;
  /// A reading of the worker's clock, taken before this reply.
  WorkerTime clock;
};

/// Starts an attempt whose intent is durable, in the room reserved for it.
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
  /// Whether the outcome is not known; else `refused` and `clock` are valid.
  bool unknown = false;
  std::optional<RefusalReason> refused;
  WorkerTime clock;
};

/// Names an attempt where it runs, to stop it or to acknowledge its outcome.
struct PlacedAttempt {
  WorkerId worker;
  AttemptId id;
};

struct PeerRenewal {
  WorkerId worker;
  Incarnation incarnation;
  LeaseRenewal renewal;
};

/// What the owner of one task partition asks of one worker owner.
struct AttemptsCall {
  EntryHostId from;
  std::int64_t partition = 0;
  std::vector<ReserveCall> reserve;
  std::vector<PeerStartCall> start;
  std::vector<PlacedAttempt> stop;
  std::vector<PeerRenewal> renew;
  std::vector<PlacedAttempt> acknowledge;
  /// Workers whose reports of the partition's attempts are wanted.
  std::vector<WorkerId> query;
};

/// Attempts of one task partition on one worker.
struct WorkerReports {
  WorkerId worker;
  Incarnation incarnation;
  WorkerTime clock;
  std::vector<AttemptReport> attempts;
};

struct AttemptsReply {
  std::vector<ReserveReply> reserved;
  std::vector<PeerStartReply> started;
  std::vector<WorkerReports> reports;
};

/// Pushed by a worker owner to a task owner when attempts have changed.
struct AttemptsChanged {
  EntryHostId from;
  std::int64_t partition = 0;
  WorkerReports reports;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_PROTOCOL_INTERNAL_PEER_MESSAGES_H_
