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

/// Asks a worker owner for room for one attempt.
struct ReserveCall {
  AttemptId id;
  KindId kind;
  Resources resources;
  std::vector<WorkerId> avoid;
};

/// Room on a worker, or nothing if the owner has none.
struct ReserveReply {
  AttemptId id;
  /// Empty if there is no room.
  WorkerId worker;
  Incarnation incarnation;
  /// A reading of the worker's clock that is not later than this reply.
  WorkerTime clock;
  /// Set if no worker of this owner could ever run it.
  std::string never_fits;
};

/// Starts an attempt whose intent is durable, in the room reserved for it.
struct PeerStartCall {
  WorkerId worker;
  StartAttemptCall start;
};

struct PeerStopCall {
  WorkerId worker;
  AttemptId id;
};

struct PeerRenewal {
  WorkerId worker;
  Incarnation incarnation;
  LeaseRenewal renewal;
};

/// What a task owner asks of one worker owner in one message.
struct AttemptsCall {
  EntryHostId from;
  std::vector<ReserveCall> reserve;
  std::vector<PeerStartCall> start;
  std::vector<PeerStopCall> stop;
  std::vector<PeerRenewal> renew;
  std::vector<PeerStopCall> acknowledge;
};

/// The state of one attempt with the worker it was reported by.
struct PeerAttemptReport {
  WorkerId worker;
  Incarnation incarnation;
  WorkerTime clock;
  AttemptReport report;
};

struct AttemptsReply {
  std::vector<ReserveReply> reserved;
  std::vector<PeerAttemptReport> reports;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_PROTOCOL_INTERNAL_PEER_MESSAGES_H_
