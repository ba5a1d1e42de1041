#ifndef GYPSUMFALL_REQUESTS_REQUESTS_H_
#define GYPSUMFALL_REQUESTS_REQUESTS_H_

/// @file
/// The requests that one entry host has accepted: waiting queue, exchanges
/// with workers, retries, timeouts and the resolution of unknown outcomes.
///
/// The table is a state machine without I/O. Every event returns the actions
/// that the entry host carries out, in order. Actions that release capacity are
/// followed by RequestCapacity actions for waiting requests.
///
/// Example:
/// @code
///   RequestTable table({}, /*seed=*/host_seed);
///   BeginOutcome begun = table.Begin(customer, id, attributes, hash, now);
///   if (auto* admitted = std::get_if<Admitted>(&begun)) {
///     for (const RequestAction& action : admitted->actions) Perform(action);
///   }
///   // For RequestCapacity: reserve capacity with the fleet, then
///   RequestActions actions =
///       table.OnPlaced(request.key, worker, exchanges.Next(), now);
///   // For SendToWorker: send the exchange; when the worker replies, call
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

/// Identifies one accepted request within one table; never reused.
using RequestKey = StrongNumber<struct RequestKeyTag, std::uint64_t>;

/// Limits and delays of a table.
struct RequestSettings {
  /// Requests that wait, run, or have an outcome being resolved.
  std::size_t max_active = 10'000;
  /// Maximum number of waiting requests per customer.
  std::size_t max_waiting_per_customer = 256;
  /// Maximum number of cached answers, for callers that resubmit a request.
  std::size_t max_cached_answers = 50'000;
  /// Total size of cached results in bytes. Beyond it the oldest results are
  /// dropped; that a request ran stays known unless it is idempotent.
  std::size_t max_cached_result_bytes = 16U << 20U;
  /// How long unknown outcomes are resolved and answers are cached.
  Duration retention = std::chrono::minutes(10);
  /// Maximum number of workers tried for one request.
  int max_placements = 4;
  /// Tokens for retries of idempotent requests earned per request, in
  /// thousandths: retries stay under 10% of requests.
  int retry_permille = 100;
  /// Maximum number of unused retries that accumulate.
  int retry_burst = 10;
  /// Upper bound of the random delay before the first retry; doubles.
  Duration retry_jitter = milliseconds(2);
  /// Delay before the second attempt to resolve an outcome; doubles up to the
  /// maximum.
  Duration resolve_delay = milliseconds(100);
  Duration max_resolve_delay = seconds(10);
  /// Maximum number of waiting requests for which one event requests placement.
  std::size_t placements_per_event = 32;
};

/// Attributes of one request, from the contract and its caller.
struct RequestAttributes {
  KindId kind{};
  bool idempotent = false;
  Resources resources{};
  /// The caller is answered by this time.
  Time deadline{};
  /// False for a request forwarded by a peer, because a request is forwarded
  /// only once.
  bool may_forward = true;
};

/// Answer to a caller.
struct CallerAnswer {
  WasRun was_run = WasRun::kUnknown;
  /// Unset if the request finished.
  std::optional<ErrorKind> error;
  std::string detail;
  /// Result of the work, or the failure text of the worker.
  std::string result;

  friend bool operator==(const CallerAnswer&, const CallerAnswer&) = default;
};

/// Asks the fleet for capacity on a worker; reply with OnPlaced or OnNotPlaced.
struct RequestCapacity {
  RequestKey key;
  Resources resources;
  /// Workers that refused or failed this request.
  std::vector<WorkerId> excluded_workers;
  /// Whether the request may still be forwarded to a peer if no worker of
  /// this host has capacity (reply with OnForwarded).
  bool may_forward = true;
};

/// Sends the request to the worker on which OnPlaced reported capacity.
struct SendToWorker {
  RequestKey key;
  WorkerId worker;
  ExchangeId exchange;
};

/// Answers every call that waits for the key. Returned exactly once per key;
/// the request's payload is not needed afterwards.
struct AnswerCaller {
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

/// Returns the capacity of an exchange to the fleet. Returned exactly once per
/// exchange that OnPlaced was called with.
struct ReleaseCapacity {
  WorkerId worker;
  ExchangeId exchange;
};

using RequestAction =
    std::variant<RequestCapacity, SendToWorker, AnswerCaller, CancelExchange,
                 ResolveForward, ReleaseCapacity>;
using RequestActions = std::vector<RequestAction>;

/// A new request; its answer comes as an AnswerCaller action.
struct Admitted {
  RequestKey key;
  RequestActions actions;
};

/// The id is known with the same content.
struct Duplicate {
  /// If `answer` is unset, the call may wait for the AnswerCaller action of
  /// this key.
  RequestKey key;
  /// The current answer, if the request has been answered.
  std::optional<CallerAnswer> answer;
};

/// The id is known with different content.
struct Conflict {};

/// Refused at once: nothing is stored and was_run is no.
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

/// Outcome of forwarding a request to a peer.
struct ForwardOutcome {
  enum class Kind {
    /// The call certainly did not reach the peer.
    kNotSent,
    /// The connection broke or timed out after bytes were sent.
    kLost,
    /// The peer answered the forwarded call; `answer` is its answer.
    kAnswered,
    /// The peer answered ResolveForward. "Not run" is then no proof: it may
    /// refer to an earlier call with this id, and the forwarded call may still
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
  /// answer was "not run" may be submitted again as a new request.
  /// @param content_hash hash of kind and payload.
  BeginOutcome Begin(const CustomerId& customer, const RequestId& id,
                     const RequestAttributes& attributes,
                     std::uint64_t content_hash, Time now);

  /// The fleet reserved capacity on a worker for `exchange`.
  /// @return SendToWorker, or ReleaseCapacity if the request no longer needs
  ///     the capacity.
  RequestActions OnPlaced(RequestKey key, const WorkerId& worker,
                          const ExchangeId& exchange, Time now);
  /// The fleet has no capacity; the request waits until OnCapacityFreed or its
  /// deadline.
  void OnNotPlaced(RequestKey key, Time now);
  /// Reports that the request is being sent to a peer.
  /// @param exchange a new id for the forwarded call.
  /// @return false if the request no longer waits and must not be sent.
  bool OnForwarded(RequestKey key, const EntryHostId& peer,
                   const ExchangeId& exchange, Time now);
  /// Capacity became free: requests placement of waiting requests, earliest
  /// deadline first.
  RequestActions OnCapacityFreed(Time now);

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
  /// The worker has another incarnation or is permanently gone: what it ran has
  /// ended and its outcome cannot be queried any more.
  RequestActions OnWorkerLost(const WorkerId& worker, Time now);
  /// Forwarding to a peer, or asking it for the outcome, ended.
  RequestActions OnForwardOutcome(const ExchangeId& exchange,
                                  const ForwardOutcome& outcome, Time now);

  /// Handles deadlines, delayed retries, resolution of unknown outcomes and
  /// expiry of cached answers.
  RequestActions Tick(Time now);
  /// @return the earliest time at which Tick has something to do, if any.
  std::optional<Time> NextTick() const;
  /// This host is shutting down: refuses waiting requests that were never sent
  /// (was_run no, `stopping`). Exchanges in flight, and their retries,
  /// continue.
  RequestActions RefuseWaiting(Time now);

  /// @return the state of a request, unset if it is unknown or has expired.
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
