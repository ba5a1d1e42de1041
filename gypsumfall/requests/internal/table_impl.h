#ifndef GYPSUMFALL_REQUESTS_INTERNAL_TABLE_IMPL_H_
#define GYPSUMFALL_REQUESTS_INTERNAL_TABLE_IMPL_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/requests/internal/answer_cache.h"
#include "gypsumfall/requests/internal/queue.h"
#include "gypsumfall/requests/internal/run_time.h"
#include "gypsumfall/requests/requests.h"

namespace gypsumfall {

class RequestTable::Impl {
 public:
  Impl(RequestSettings settings, std::uint64_t seed);

  BeginOutcome Begin(const CallerId& caller,
                     const RequestAttributes& attributes,
                     std::uint64_t content_hash, Time now);
  void OnPlaced(RequestKey key, const WorkerId& worker,
                const ExchangeId& exchange, Time now);
  void OnNotPlaced(RequestKey key);
  bool OnForwarded(RequestKey key, const EntryHostId& peer,
                   const ExchangeId& exchange, Time now);
  void OnReply(const RequestReply& reply, const WorkerId& from, Time now);
  void OnCancelReply(const RequestReply& reply, const WorkerId& from, Time now);
  void OnSendFailed(const ExchangeId& id, bool certainly_not_sent, Time now);
  void OnWorkerLost(const WorkerId& worker, Time now);
  void OnForwardOutcome(const ExchangeId& id, const ForwardOutcome& outcome,
                        Time now);
  void Tick(Time now);
  void RefuseWaiting(Time now);
  void PlaceBlocked(std::size_t count);
  std::optional<Time> NextTick() const;
  std::optional<RequestView> Lookup(const CallerId& caller) const;

  /// @return the actions since the last call, and placement requests for
  ///   released capacity.
  RequestActions TakeActions();
  const RequestSettings& settings() const { return settings_; }
  std::size_t active() const { return requests_.size(); }
  std::size_t unanswered() const { return unanswered_; }
  std::size_t waiting() const { return waiting_; }
  RequestCounters counters() const;
  std::string Dump(Time now) const;

 private:
  enum class Stage {
    /// A RequestCapacity action is being carried out.
    kPlacing,
    /// Waits for capacity.
    kBlocked,
    /// Waits until the retry delay has passed.
    kDelayed,
    /// An exchange is in progress.
    kInExchange,
    kAnswered,
  };

  struct Request {
    RequestKey key;
    CallerId caller;
    RequestAttributes attributes;
    std::uint64_t content_hash = 0;
    Stage stage = Stage::kPlacing;
    std::vector<WorkerId> excluded_workers;
    int placements = 0;
    int retries = 0;
    /// Exchanges whose outcome is not known. More than one only for an
    /// idempotent request.
    std::vector<ExchangeId> open_exchanges;
    /// An exchange ended without proof that nothing was started.
    bool may_have_run = false;
    /// Failure text of the last exchange that ran and failed.
    std::optional<std::string> failure_text;
    Time retry_at;
    CallerAnswer answer;
  };

  struct Exchange {
    RequestKey key;
    WorkerId worker{};
    /// Set instead of `worker` if the request was forwarded.
    EntryHostId peer{};
    Time sent_at{};
    /// Being resolved: the answer to the call itself is no longer expected.
    bool unresolved = false;
    int resolve_attempts = 0;
    Time next_resolve{};
    Time expires{};

    bool is_forward() const { return !peer.empty(); }
  };

  using Exchanges = std::unordered_map<ExchangeId, Exchange>;

  // Requests (table_impl.cc).
  std::optional<BeginOutcome> FindDuplicate(const CallerId& caller,
                                            std::uint64_t content_hash);
  std::optional<CallerAnswer> CheckAdmission(
      const CallerId& caller, const RequestAttributes& attributes, Time now);
  Request* Find(RequestKey key);
  void SetStage(Request& request, Stage stage);
  static bool IsWaiting(Stage stage);
  void StartPlacement(Request& request);
  void Requeue(Request& request, Time now);
  void GiveUp(Request& request, ErrorKind not_run_reason, Time now);
  void AnswerWith(Request& request, CallerAnswer answer, Time now);
  void CloseIfDone(Request& request, Time now);
  bool RetryIdempotent(Request& request, Time now);
  static bool WasNeverSent(const Request& request);

  // Exchanges (exchanges.cc).
  Exchanges::iterator FindFrom(const ExchangeId& id, const WorkerId& from);
  void OnOutcome(Exchanges::iterator it, const RequestReply& reply, Time now);
  void OnNotStarted(Exchanges::iterator it, Time now);
  void OnCompleted(Exchanges::iterator it, CallerAnswer answer, Time now);
  void OnAnswerLost(Exchanges::iterator it, Time now);
  void OnForwardAnswer(Exchanges::iterator it, const CallerAnswer& answer,
                       Time now);
  Request& CloseExchange(Exchanges::iterator it);
  void OpenExchange(Request& request, const ExchangeId& id, Exchange exchange);
  bool HasAwaitedExchange(const Request& request) const;
  void ExcludeWorker(Request& request, const WorkerId& worker);
  void StartResolving(Exchanges::iterator it, Time now);
  void Resolve(Exchanges::iterator it, Time now);
  void ResolveOpenExchanges(const Request& request, Time now);

  RequestSettings settings_;
  std::mt19937_64 random_;
  RequestCounters counters_;
  std::unordered_map<RequestKey, Request> requests_;
  std::unordered_map<CallerId, RequestKey, CallerIdHash> active_ids_;
  Exchanges exchanges_;
  AnswerCache answer_cache_;
  RunTimes run_times_;
  BlockedQueue blocked_;
  CustomerCounts waiting_by_customer_;
  TimerQueue<RequestKey> deadline_timers_;
  TimerQueue<RequestKey> retry_timers_;
  TimerQueue<ExchangeId> resolve_timers_;
  RequestActions actions_;
  std::uint64_t last_key_ = 0;
  std::size_t unanswered_ = 0;
  std::size_t waiting_ = 0;
  std::size_t released_exchanges_ = 0;
  int retry_tokens_ = 0;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_REQUESTS_INTERNAL_TABLE_IMPL_H_
