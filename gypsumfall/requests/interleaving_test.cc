#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "gypsumfall/requests/requests.h"

namespace gypsumfall {
namespace {

/// Defects injected between the table and its environment, which the checks
/// must detect.
enum class Defect { kNothing, kMatchByOrder, kNoOnTimeout, kRetryUnknown };

struct FakeWorker {
  std::uint64_t incarnation = 1;
  /// State of each exchange; a refused or cancelled one stays closed.
  std::map<ExchangeId, ExchangeState> exchanges;
};

/// One entry host, three workers, a peer and their messages, which are lost,
/// delayed, duplicated and reordered.
class Simulation {
 public:
  Simulation(std::uint64_t seed, Defect defect)
      : random_(seed), defect_(defect), table_({}, seed) {
    for (int i = 0; i < kRequests; ++i) {
      Schedule(RandomUpTo(500), [this, i] { Begin(i); });
      if (Chance(30)) Schedule(RandomUpTo(800), [this, i] { Begin(i); });
    }
    for (const char* name : {"w0", "w1", "w2"}) {
      const WorkerId id{name};
      workers_[id];
      if (Chance(50)) Schedule(RandomUpTo(600), [this, id] { Restart(id); });
    }
  }

  /// @return the first broken invariant, empty if none.
  std::string Run() {
    for (auto due = NextDue(); due.has_value(); due = NextDue()) {
      now_ = std::max(now_, *due);
      Perform(table_.Tick(now_));
      while (!events_.empty() && events_.begin()->first <= now_) {
        const auto event = events_.extract(events_.begin());
        event.mapped()();
      }
    }
    Check(table_.active() == 0, "a request is never closed");
    Check(reserved_.empty(), "capacity is never released");
    for (const auto& [key, id] : begun_) {
      Check(answers_.contains(key), "I4: a caller got no answer");
    }
    for (const RequestKey key : answered_not_run_) {
      Check(runs_of_key_[key] == 0, "I5: answered was_run no but it ran");
    }
    for (int i = 0; i < kRequests; ++i) {
      Check(IsIdempotent(i) || runs_[Name(i)] <= 1, "I6: ran twice");
    }
    return violation_;
  }

 private:
  static constexpr int kRequests = 30;

  static std::string Name(int i) { return "r" + std::to_string(i); }
  static bool IsIdempotent(int i) { return i % 2 == 0; }
  int RandomUpTo(int most) {
    return std::uniform_int_distribution<int>(0, most)(random_);
  }
  bool Chance(int percent) { return RandomUpTo(99) < percent; }
  void Schedule(int ms, std::function<void()> event) {
    events_.emplace(now_ + milliseconds(ms) + Duration(RandomUpTo(999)),
                    std::move(event));
  }
  void Check(bool holds, const std::string& what) {
    if (!holds && violation_.empty()) violation_ = what;
  }
  std::optional<Time> NextDue() const {
    std::optional<Time> next = table_.NextTick();
    if (!events_.empty() && (!next || events_.begin()->first < *next)) {
      next = events_.begin()->first;
    }
    return next;
  }

  void Begin(int i) {
    const bool idempotent = IsIdempotent(i) || defect_ == Defect::kRetryUnknown;
    BeginOutcome begun = table_.Begin(
        CustomerId("c"), RequestId(Name(i)),
        {.idempotent = idempotent, .deadline = now_ + milliseconds(100)}, 1,
        now_);
    if (auto* admitted = std::get_if<Admitted>(&begun)) {
      begun_[admitted->key] = Name(i);
      Perform(admitted->actions);
    }
  }

  void Perform(const RequestActions& actions) {
    for (const RequestAction& action : actions) {
      std::visit([this](const auto& known) { Perform(known); }, action);
    }
  }
  void Perform(const RequestCapacity& place) {
    if (place.may_forward && Chance(20)) {
      const ExchangeId id = ids_.Next();
      const bool forwarded =
          table_.OnForwarded(place.key, EntryHostId("p"), id, now_);
      if (forwarded) Forward(id, place.key);
      if (forwarded) return;
    }
    for (int tries = 0; tries < 4 && !Chance(10); ++tries) {
      const WorkerId worker("w" + std::to_string(RandomUpTo(2)));
      const auto& excluded = place.excluded_workers;
      if (std::find(excluded.begin(), excluded.end(), worker) != excluded.end())
        continue;
      const ExchangeId id = ids_.Next();
      reserved_.insert(id);
      Perform(table_.OnPlaced(place.key, worker, id, now_));
      return;
    }
    table_.OnNotPlaced(place.key, now_);
    Schedule(20, [this] { Perform(table_.OnCapacityFreed(now_)); });
  }
  void Perform(const SendToWorker& send) {
    sent_[send.exchange] = send.key;
    in_order_[send.worker].push_back(send.exchange);
    if (Chance(10)) {
      Schedule(RandomUpTo(10), [this, send] {
        Perform(table_.OnSendFailed(send.exchange, true, now_));
      });
      return;
    }
    if (Chance(15)) {
      Schedule(RandomUpTo(60), [this, send] {
        Perform(table_.OnSendFailed(send.exchange, false, now_));
      });
    }
    const std::uint64_t target = known_incarnation_[send.worker];
    for (int copies = Chance(10) ? 2 : 1; copies > 0 && !Chance(15); --copies) {
      Schedule(RandomUpTo(150),
               [this, send, target] { Deliver(send, target); });
    }
  }
  void Perform(const AnswerCaller& answer) {
    Check(answers_.insert(answer.key).second, "I4: answered twice");
    const CallerAnswer& answered = answer.answer;
    const bool is_not_run = answered.was_run == WasRun::kNo ||
                            (defect_ == Defect::kNoOnTimeout &&
                             answered.was_run == WasRun::kUnknown);
    if (is_not_run) answered_not_run_.insert(answer.key);
    if (answered.error.has_value()) return;
    Check(answered.result == begun_[answer.key], "I4: another's answer");
  }
  void Perform(const CancelExchange& cancel) {
    if (Chance(20)) return;
    const std::uint64_t target = known_incarnation_[cancel.worker];
    Schedule(RandomUpTo(30), [this, cancel, target] {
      FakeWorker& worker = workers_[cancel.worker];
      if (worker.incarnation != target + 1) return;
      const auto [at, is_new] = worker.exchanges.try_emplace(
          cancel.exchange, ExchangeState::kNeverStarted);
      Reply(cancel.worker, cancel.exchange, at->second, true);
    });
  }
  void Perform(const ResolveForward& resolve) {
    Schedule(RandomUpTo(30), [this, id = resolve.exchange] {
      const CallerAnswer unknown{
          WasRun::kUnknown, ErrorKind::kNotFound, {}, {}};
      const auto known = peer_.find(id);
      // The peer may remember an earlier call with this id that was not run.
      const CallerAnswer earlier{WasRun::kNo, ErrorKind::kNoCapacity, {}, {}};
      PeerAnswers(id,
                  known != peer_.end() ? known->second
                  : Chance(50)         ? unknown
                                       : earlier,
                  ForwardOutcome::Kind::kResolved);
    });
  }
  void Perform(const ReleaseCapacity& release) {
    Check(reserved_.erase(release.exchange) == 1, "capacity released twice");
  }

  void Deliver(const SendToWorker& send, std::uint64_t target) {
    FakeWorker& worker = workers_[send.worker];
    if (worker.incarnation != target + 1) return;
    const bool refuses = Chance(10);
    const auto [at, is_new] = worker.exchanges.try_emplace(
        send.exchange,
        refuses ? ExchangeState::kNeverStarted : ExchangeState::kRunning);
    if (at->second != ExchangeState::kRunning) {
      Reply(send.worker, send.exchange, at->second, false);
      return;
    }
    if (!is_new) return;
    ++runs_of_key_[send.key];
    ++runs_[begun_[send.key]];
    Schedule(RandomUpTo(80), [this, send, target] {
      FakeWorker& runner = workers_[send.worker];
      if (runner.incarnation != target + 1) return;
      ExchangeState& state = runner.exchanges[send.exchange];
      state = Chance(10) ? ExchangeState::kFailed : ExchangeState::kFinished;
      Reply(send.worker, send.exchange, state, false);
    });
  }

  void Reply(const WorkerId& worker, const ExchangeId& id, ExchangeState state,
             bool to_cancel) {
    RequestReply reply{id, state, std::nullopt, begun_[sent_[id]]};
    if (!to_cancel && state == ExchangeState::kNeverStarted) {
      reply.refused = RefusalReason::kClosed;
    }
    for (int copies = Chance(10) ? 2 : 1; copies > 0 && !Chance(15); --copies) {
      Schedule(RandomUpTo(120), [this, worker, reply, to_cancel]() mutable {
        auto& order = in_order_[worker];
        if (defect_ == Defect::kMatchByOrder && !order.empty()) {
          reply.exchange = order.front();
          order.erase(order.begin());
        }
        Perform(to_cancel ? table_.OnCancelReply(reply, worker, now_)
                          : table_.OnReply(reply, worker, now_));
      });
    }
  }

  // The peer refuses or runs each request that arrives, even if it was asked
  // for the outcome before the request arrived.
  void Forward(const ExchangeId& id, RequestKey key) {
    if (Chance(25)) {
      const auto kind = Chance(40) ? ForwardOutcome::Kind::kNotSent
                                   : ForwardOutcome::Kind::kLost;
      Schedule(RandomUpTo(60), [this, id, kind] {
        Perform(table_.OnForwardOutcome(id, {kind, {}}, now_));
      });
      if (kind == ForwardOutcome::Kind::kNotSent) return;
    }
    if (Chance(15)) return;
    Schedule(RandomUpTo(150), [this, id, key] {
      if (Chance(20)) {
        peer_[id] = {WasRun::kNo, ErrorKind::kNoCapacity, {}, {}};
        return PeerAnswers(id, peer_[id], ForwardOutcome::Kind::kAnswered);
      }
      ++runs_of_key_[key];
      ++runs_[begun_[key]];
      peer_[id] = {WasRun::kUnknown, ErrorKind::kOutcomeUnknown, {}, {}};
      Schedule(RandomUpTo(80), [this, id, key] {
        peer_[id] = {WasRun::kYes, std::nullopt, {}, begun_[key]};
        PeerAnswers(id, peer_[id], ForwardOutcome::Kind::kAnswered);
      });
    });
  }

  void PeerAnswers(const ExchangeId& id, const CallerAnswer& answer,
                   ForwardOutcome::Kind kind) {
    for (int copies = Chance(10) ? 2 : 1; copies > 0 && !Chance(15); --copies) {
      Schedule(RandomUpTo(120), [this, id, answer, kind] {
        Perform(table_.OnForwardOutcome(id, {kind, answer}, now_));
      });
    }
  }

  void Restart(const WorkerId& id) {
    ++workers_[id].incarnation;
    workers_[id].exchanges.clear();
    Schedule(RandomUpTo(100), [this, id] {
      ++known_incarnation_[id];
      Perform(table_.OnWorkerLost(id, now_));
    });
  }

  std::mt19937_64 random_;
  Defect defect_;
  RequestTable table_;
  ExchangeIdSource ids_{EntryHostId("e"), Incarnation(1)};
  Time now_{seconds(1)};
  std::multimap<Time, std::function<void()>> events_;
  std::map<WorkerId, FakeWorker> workers_;
  /// Restarts that the host has noticed.
  std::map<WorkerId, std::uint64_t> known_incarnation_;
  /// The peer's answers to forwarded requests.
  std::map<ExchangeId, CallerAnswer> peer_;
  std::map<RequestKey, std::string> begun_;
  std::map<ExchangeId, RequestKey> sent_;
  std::map<WorkerId, std::vector<ExchangeId>> in_order_;
  std::set<ExchangeId> reserved_;
  std::set<RequestKey> answers_;
  std::set<RequestKey> answered_not_run_;
  std::map<RequestKey, int> runs_of_key_;
  std::map<std::string, int> runs_;
  std::string violation_;
};

// Guards I4, I5 and I6 under lost, late, duplicated and reordered messages and
// restarts of workers.
TEST_CASE("random interleavings keep the invariants") {
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    INFO("seed " << seed);
    REQUIRE(Simulation(seed, Defect::kNothing).Run().empty());
  }
}

// Guards against checks that pass for any table: each injected defect must be
// detected.
TEST_CASE("the checks detect injected defects") {
  struct Row {
    Defect defect;
    std::string violation;
  };
  const auto row = GENERATE(
      values<Row>({{Defect::kMatchByOrder, "I4: another's answer"},
                   {Defect::kNoOnTimeout, "I5: answered was_run no but it ran"},
                   {Defect::kRetryUnknown, "I6: ran twice"}}));
  int found = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    found += Simulation(seed, row.defect).Run() == row.violation ? 1 : 0;
  }
  INFO(row.violation);
  CHECK(found > 0);
}

}  // namespace
}  // namespace gypsumfall
