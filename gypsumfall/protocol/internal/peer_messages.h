#ifndef GYPSUMFALL_PROTOCOL_INTERNAL_PEER_MESSAGES_H_
#define GYPSUMFALL_PROTOCOL_INTERNAL_PEER_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/protocol/internal/worker_messages.h"

namespace gypsumfall {

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
  /// Time left until the caller's deadline.
  Duration time_left{0};
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
