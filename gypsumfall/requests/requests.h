#ifndef GYPSUMFALL_REQUESTS_REQUESTS_H_
#define GYPSUMFALL_REQUESTS_REQUESTS_H_

/// @file
/// The requests that one entry host has accepted: waiting queue, exchanges
/// with workers, retries, timeouts and the resolution of unknown outcomes.
///
/// The table decides and never calls out. Every event returns the actions that
/// the entry host carries out, in order. Actions that release room are followed
/// by offers (Place) of waiting requests.
///
/// Example:
/// @code
///   RequestTable table({}, /*seed=*/host_seed);
///   BeginOutcome begun = table.Begin(customer, id, attributes, hash, now);
///   if (auto* admitted = std::get_if<Admitted>(&begun)) {
///     for (const RequestAction& action : admitted->actions) Perform(action);
///   }
///   // Perform(Place): ask the fleet, then
///   actions = table.OnPlaced(place.key, worker, exchanges.Next(), now);
///   // a Send action: send; the answer of the worker comes back as
///   actions = table.OnReply(reply, worker, now);
/// @endcode

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

/// Names one accepted request inside one table; never used twice.
using RequestKey = StrongNumber<struct RequestKeyTag, std::uint64_t>;

/// Bounds and delays of a table.
struct RequestSettings {
  /// Requests that wait, run, or have an outcome being resolved.
  std::size_t max_active = 10'000;
  /// Waiting requests of one customer.
  std::size_t max_waiting_per_customer = 256;
  /// Answered requests that are remembered for a caller who asks again.
  std::size_t max_remembered = 50'000;
  /// Total size of remembered results; beyond it the oldest results are
  /// dropped while the fact that the request ran is kept.
  std::size_t max_remembered_bytes = 16U << 20U;
  /// How long outcomes are resolved and answers remembered.
  Duration retention = std::chrono::minutes(10);
  /// Workers tried for one request.
  int max_placements = 4;
  /// Tokens for retries of idempotent requests earned per request, in
  /// thousandths: retries stay under 10% of requests.
  int retry_permille = 100;
  /// Unused retries that can accumulate.
  int retry_burst = 10;
  /// Upper bound of the random delay before the first retry; doubles.
  Duration retry_jitter = milliseconds(2);
  /// Delay before the second attempt to resolve an outcome; doubles to the max.
  Duration resolve_delay = milliseconds(100);
  Duration max_resolve_delay = seconds(10);
  /// Waiting requests that one event offers to the fleet.
  std::size_t offers_per_event = 32;
};

/// What the contract and the caller say about one request.
struct RequestAttributes {
  KindId kind{};
  bool idempotent = false;
  Resources resources{};
  /// The caller is answered by this time.
  Time deadline{};
  /// False for a request that a peer has forwarded: it is forwarded once.
  bool may_forward = true;
};

/// What a caller is told.
struct CallerAnswer {
  WasRun was_run = WasRun::kUnknown;
  /// Unset if the request finished.
  std::optional<ErrorKind> error;
  std::string detail;
  /// Result of the work, or the failure text of the worker.
  std::string result;

  friend bool operator==(const CallerAnswer&, const CallerAnswer&) = default;
};

/// Asks the fleet for room on a worker; reply with OnPlaced or OnNotPlaced.
struct Place {
  RequestKey key;
  Resources resources;
  /// Workers that refused or failed this request.
  std::vector<WorkerId> exclude;
  /// Whether the request may still be forwarded to a peer if no worker of
  /// this host has room (reply with OnForwarded).
  bool may_forward = true;
};

/// Sends the request to the worker; only after OnPlaced accepted the room.
struct Send {
  RequestKey key;
  WorkerId worker;
  ExchangeId exchange;
};

/// Answers every call that waits for the key. Given exactly once per key; the
/// payload of the request is not needed afterwards.
struct Answer {
  RequestKey key;
  CallerAnswer answer;
};

/// Sends a cancel for an exchange whose outcome is not known; reply with
/// OnCancelReply, or nothing if there was no reply.
struct CancelExchange {
  WorkerId worker;
  ExchangeId exchange;
};

/// Asks a peer for the outcome of a forwarded request; reply with
/// OnForwardOutcome, or nothing if there was no reply.
struct ResolveForward {
  EntryHostId peer;
  ExchangeId exchange;
  CustomerId customer;
  RequestId id;
};

/// Returns the room of an exchange to the fleet. Given exactly once per
/// exchange that OnPlaced was called with.
struct ReleaseRoom {
  WorkerId worker;
  ExchangeId exchange;
};

using RequestAction = std::variant<Place, Send, Answer, CancelExchange,
                                   ResolveForward, ReleaseRoom>;
using RequestActions = std::vector<RequestAction>;

/// A new request; its answer comes as an Answer action.
struct Admitted {
  RequestKey key;
  RequestActions actions;
};

/// The id is known with the same content.
struct Duplicate {
  /// The call may wait for the Answer of this key if `answer` is unset.
  RequestKey key;
  /// What is known now, if the request has been answered.
  std::optional<CallerAnswer> answer;
};

/// The id is known with different content.
struct Conflict {};

/// Refused at once; nothing is remembered and was_run is no.
struct RequestRefused {
  CallerAnswer answer;
};

/// The table holds `max_active` requests; was_run is no.
struct TableFull {};

using BeginOutcome =
    std::variant<Admitted, Duplicate, Conflict, RequestRefused, TableFull>;

/// State of a request as shown to its caller.
enum class RequestState { kWaiting, kRunning, kUnresolved, kAnswered };

struct RequestView {
  RequestKey key;
  RequestState state = RequestState::kWaiting;
  /// Set once the caller was answered; a resolved outcome replaces
  /// `outcome_unknown`.
  std::optional<CallerAnswer> answer;
};

/// How forwarding to a peer ended.
struct ForwardOutcome {
  enum class Kind {
    /// The call certainly did not reach the peer.
    kNotSent,
    /// The connection broke or timed out after bytes were sent.
    kLost,
    /// The peer answered the forwarded call; `answer` is its answer.
    kAnswered,
    /// The peer answered ResolveForward. "Not run" then proves nothing: it may
    /// speak of an earlier call with this id, and the forwarded call may still
    /// arrive.
    kResolved,
  };
  Kind kind = Kind::kLost;
  CallerAnswer answer;
};

/// Counts of unusual events, for metrics and dumps.
struct RequestCounters {
  std::uint64_t admitted = 0;
  std::uint64_t answered = 0;
  std::uint64_t retried = 0;
  std::uint64_t retry_budget_empty = 0;
  /// Answers without a pending exchange, or from another worker.
  std::uint64_t unmatched_replies = 0;
  std::uint64_t unknown_answers = 0;
  std::uint64_t resolved_unknown = 0;
  std::uint64_t results_dropped = 0;
};

/// Creates exchange ids that are unique over hosts and restarts.
class ExchangeIdSource {
 public:
  ExchangeIdSource(const EntryHostId& host, Incarnation incarnation);
  /// @return "<host>/<incarnation>/<counter>", never the same twice.
  ExchangeId Next();

 private:
  std::string prefix_;
  std::uint64_t counter_ = 0;
};

/// The requests of one entry host. Not thread-safe.
class RequestTable {
 public:
  /// @param seed seeds the jitter of retries.
  RequestTable(RequestSettings settings, std::uint64_t seed);
  ~RequestTable();
  RequestTable(RequestTable&&) noexcept;
  RequestTable& operator=(RequestTable&&) noexcept;

  /// Accepts a request of an authenticated and admitted caller. An id whose
  /// answer was "not run" may be submitted again and starts afresh.
  /// @param content_hash hash of kind and payload.
  BeginOutcome Begin(const CustomerId& customer, const RequestId& id,
                     const RequestAttributes& attributes,
                     std::uint64_t content_hash, Time now);

  /// The fleet reserved room on a worker for `exchange`.
  /// @return Send, or ReleaseRoom if the request no longer needs the room.
  RequestActions OnPlaced(RequestKey key, const WorkerId& worker,
                          const ExchangeId& exchange, Time now);
  /// The fleet has no room; the request waits until OnRoom or its deadline.
  void OnNotPlaced(RequestKey key, Time now);
  /// Reports that the request is being sent to a peer.
  /// @param exchange a fresh id that names this forwarding.
  /// @return false if the request no longer waits and must not be sent.
  bool OnForwarded(RequestKey key, const EntryHostId& peer,
                   const ExchangeId& exchange, Time now);
  /// Room became free: offers waiting requests, earliest deadline first.
  RequestActions OnRoom(Time now);

  /// A worker answered RunRequestCall. Matched by exchange id only.
  RequestActions OnReply(const RequestReply& reply, const WorkerId& from,
                         Time now);
  /// A worker answered CancelRequestCall. Kept apart from OnReply, because a
  /// refused cancel does not prove that the request was not started.
  RequestActions OnCancelReply(const RequestReply& reply, const WorkerId& from,
                               Time now);
  /// Sending to the worker failed.
  /// @param certainly_not_sent no byte of the call left this host.
  RequestActions OnSendFailed(const ExchangeId& exchange,
                              bool certainly_not_sent, Time now);
  /// The worker runs under another incarnation or is gone for good: what it
  /// ran is over and its outcome can not be asked for any more.
  RequestActions OnWorkerLost(const WorkerId& worker, Time now);
  /// Forwarding to a peer, or asking it for the outcome, ended.
  RequestActions OnForwardOutcome(const ExchangeId& exchange,
                                  const ForwardOutcome& outcome, Time now);

  /// Deadlines, retries after jitter, resolution and forgetting.
  RequestActions Tick(Time now);
  /// @return the earliest time at which Tick has something to do, if any.
  std::optional<Time> NextTick() const;
  /// This host stops: refuses what waits and was never sent (was_run no,
  /// `stopping`). Exchanges in flight, and their retries, continue.
  RequestActions RefuseWaiting(Time now);

  /// @return what is known of a request, unset if never seen or forgotten.
  std::optional<RequestView> Lookup(const CustomerId& customer,
                                    const RequestId& id) const;

  /// @return requests that wait, run or are being resolved.
  std::size_t active() const;
  /// @return requests whose callers have not been answered.
  std::size_t unanswered() const;
  std::size_t waiting() const;
  RequestCounters counters() const;
  /// @return readable text of the state, at most about 50 lines.
  std::string Dump(Time now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_REQUESTS_REQUESTS_H_
