#ifndef GYPSUMFALL_REQUESTS_INTERNAL_REQUEST_FIXTURE_H_
#define GYPSUMFALL_REQUESTS_INTERNAL_REQUEST_FIXTURE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gypsumfall/requests/requests.h"

namespace gypsumfall::requests_testing {

inline constexpr Duration kDeadline = milliseconds(100);

/// Test fixture: places requests on the first of the workers w0 ... w4 that is
/// not excluded and records all other actions.
struct RequestFixture {
  explicit RequestFixture(RequestSettings settings = {}) : table(settings, 7) {}

  BeginOutcome Begin(const std::string& id, std::uint64_t hash = 1) {
    BeginOutcome begun = table.Begin(CustomerId("c"), RequestId(id),
                                     {.kind = KindId("k"),
                                      .idempotent = idempotent,
                                      .resources = {MilliCores(1), {}, {}},
                                      .deadline = now + kDeadline},
                                     hash, now);
    if (auto* admitted = std::get_if<Admitted>(&begun))
      Perform(admitted->actions);
    return begun;
  }

  void Perform(const RequestActions& actions) {
    for (const RequestAction& action : actions) {
      if (const auto* place = std::get_if<RequestCapacity>(&action))
        PerformPlace(*place);
      if (const auto* send = std::get_if<SendToWorker>(&action))
        sends.push_back(*send);
      if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
        answers.push_back(*answer);
      }
      cancels += std::holds_alternative<CancelExchange>(action) ? 1 : 0;
      resolves += std::holds_alternative<ResolveForward>(action) ? 1 : 0;
      releases += std::holds_alternative<ReleaseCapacity>(action) ? 1 : 0;
    }
  }

  void PerformPlace(const RequestCapacity& place) {
    places.push_back(place);
    for (const std::string name : {"w0", "w1", "w2", "w3", "w4"}) {
      const WorkerId worker(name);
      const auto& excluded = place.excluded_workers;
      if (std::find(excluded.begin(), excluded.end(), worker) != excluded.end())
        continue;
      if (free_slots-- <= 0) break;
      Perform(table.OnPlaced(place.key, worker, ids.Next(), now));
      return;
    }
    table.OnNotPlaced(place.key, now);
  }

  RequestReply ReplyTo(std::size_t send, ExchangeState state) const {
    return {sends.at(send).exchange, state, std::nullopt,
            "result of " + sends[send].exchange.str()};
  }
  void Reply(std::size_t send, ExchangeState state) {
    Perform(table.OnReply(ReplyTo(send, state), sends[send].worker, now));
  }
  void Refuse(std::size_t send, RefusalReason reason) {
    RequestReply reply = ReplyTo(send, ExchangeState::kNeverStarted);
    reply.refused = reason;
    Perform(table.OnReply(reply, sends[send].worker, now));
  }
  void CancelReply(std::size_t send, ExchangeState state) {
    Perform(table.OnCancelReply(ReplyTo(send, state), sends[send].worker, now));
  }
  void SendFailed(std::size_t send, bool certainly_not_sent) {
    Perform(
        table.OnSendFailed(sends.at(send).exchange, certainly_not_sent, now));
  }
  void Advance(Duration time) {
    now += time;
    Perform(table.Tick(now));
  }
  CallerAnswer KnownAnswer(const std::string& id) const {
    return table.Lookup(CustomerId("c"), RequestId(id))
        .value_or(RequestView{})
        .answer.value_or(CallerAnswer{});
  }

  RequestTable table;
  ExchangeIdSource ids{EntryHostId("e1"), Incarnation(1)};
  Time now{seconds(1000)};
  bool idempotent = false;
  int free_slots = 1'000'000;
  std::vector<RequestCapacity> places;
  std::vector<SendToWorker> sends;
  std::vector<AnswerCaller> answers;
  int cancels = 0;
  int resolves = 0;
  int releases = 0;
};

inline constexpr auto kFinished = ExchangeState::kFinished;
inline constexpr auto kFailed = ExchangeState::kFailed;
inline constexpr auto kRunning = ExchangeState::kRunning;
inline constexpr auto kNever = ExchangeState::kNeverStarted;

}  // namespace gypsumfall::requests_testing

#endif  // GYPSUMFALL_REQUESTS_INTERNAL_REQUEST_FIXTURE_H_
