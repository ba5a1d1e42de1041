#include "gypsumfall/fleet/fleet.h"

#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "gypsumfall/fleet/worker_test_double.h"

namespace gypsumfall {
namespace {

Resources Amount(std::int64_t cpu, std::int64_t memory = 100,
                 std::int64_t accelerators = 0) {
  return {MilliCores(cpu), MebiBytes(memory), Accelerators(accelerators)};
}

Work MakeWork(std::int64_t cpu, const char* kind = "k") {
  return {CustomerId("c"), KindId(kind), Amount(cpu)};
}

ListedHost Listed(int number) {
  ListedHost host;
  host.id = WorkerId("w" + std::to_string(number));
  host.address = "10.0.1.1:1";
  host.rack = RackId("r" + std::to_string(number / 4));
  host.data_centre = DataCentreId("d");
  host.capacity = Amount(30000, 125000);
  return host;
}

AttemptId Attempt(int number) {
  return {CustomerId("c"), TaskId("t" + std::to_string(number)),
          AttemptNumber(1)};
}

ExchangeId Exchange(int number) {
  return ExchangeId("x" + std::to_string(number));
}

constexpr Duration kStep = milliseconds(100);

// One fleet against workers that answer at once, unless a fault is set.
struct Rig {
  explicit Rig(const char* name = "a", int count = 1)
      : self(name), fleet(Settings(name)) {
    for (int i = 0; i < count; ++i) workers.emplace_back(Listed(i), seconds(9));
    List();
    SetPresent({});
  }
  static FleetSettings Settings(const char* name) {
    FleetSettings settings;
    settings.self = EntryHostId(name);
    return settings;
  }
  void List() {
    std::vector<ListedHost> hosts;
    for (const WorkerTestDouble& worker : workers) hosts.push_back(worker.host);
    fleet.OnHostList(hosts, now);
  }
  void SetPresent(std::vector<PresentHost> present) {
    fleet.SetHosts({{{self, DataCentreId("d")}}, std::move(present)}, now);
  }
  void Run(Duration span) {
    for (const Time end = now + span; now < end; now += kStep) {
      Perform(fleet.Tick(now));
    }
  }
  void Perform(const FleetActions& actions) {
    for (const FleetAction& action : actions) {
      std::visit([this](const auto& each) { this->Do(each); }, action);
    }
  }
  WorkerTestDouble& At(const WorkerId& id) {
    for (WorkerTestDouble& worker : workers) {
      if (worker.host.id == id) return worker;
    }
    return workers.front();
  }
  void Do(const SendAttach& send) {
    ++attaches;
    if (hold_attaches) {
      held_attaches.push_back(send);
      return;
    }
    Result<AttachReply> reply = At(send.worker).Attach(send.call, now);
    if (lose_attaches > 0) {
      --lose_attaches;
      reply = Fail(ErrorKind::kInternal, "lost");
    }
    Perform(fleet.OnAttachAnswer(send.worker, send.call, reply, now, now));
  }
  void Do(const SendWorkerHeartbeat& send) {
    Result<WorkerHeartbeatReply> reply =
        At(send.worker).Heartbeat(send.call, now);
    if (lose_heartbeats) reply = Fail(ErrorKind::kInternal, "lost");
    Perform(fleet.OnHeartbeatAnswer(send.worker, send.call, reply,
                                    now + heartbeat_send_delay, now));
  }
  void Do(const SendResolve& send) {
    const RequestReply reply = At(send.worker).Cancel(send.call, now);
    fleet.OnResolveAnswer(send.worker, send.call.exchange, reply, now);
  }
  /// Time from the decision to send a heartbeat until it is sent.
  Duration heartbeat_send_delay{};
  void Do(const AskRelease& ask) { asked.push_back(ask.owner); }
  void Do(const WorkerLost& loss) { lost.push_back(loss.reason); }
  void Do(const AttemptNeverStarted& never) {
    never_started.push_back(never.attempt);
  }
  void Do(const AttemptChanged& change) { changed.push_back(change.report); }
  static void Do(const WorkerAttached& /*action*/) {}
  static void Do(const UsageReported& /*action*/) {}

  std::optional<Placement> Place(int number, const Work& work) {
    return fleet.PlaceRequest(Exchange(number), work, {}, now);
  }
  // Places and runs requests until no room is found.
  int Fill(const Work& work) {
    int placed = 0;
    while (Place(1000 + placed, work)) ++placed;
    return placed;
  }
  WorkerSnapshot Snapshot() { return *fleet.Snapshot(WorkerId("w0")); }

  EntryHostId self;
  Time now{seconds(100)};
  Fleet fleet;
  std::deque<WorkerTestDouble> workers;
  int attaches = 0;
  int lose_attaches = 0;
  bool lose_heartbeats = false;
  bool hold_attaches = false;
  std::vector<SendAttach> held_attaches;
  std::vector<EntryHostId> asked;
  std::vector<WorkerLossReason> lost;
  std::vector<AttemptId> never_started;
  std::vector<AttemptReport> changed;
};

struct FaultRow {
  const char* name;
  std::function<void(Rig&)> script;
};

StartAttemptCall StartCall(const Placement& placement, int number,
                           const Work& work) {
  StartAttemptCall call;
  call.header = placement.header;
  call.id = Attempt(number);
  call.kind = work.kind;
  call.resources = work.resources;
  return call;
}

RunRequestCall RunCall(const Placement& placement, int number,
                       const Work& work) {
  return {placement.header, Exchange(number), work.kind, work.resources, ""};
}

void PausedOwner(Rig& rig) {
  WorkerTestDouble& worker = rig.workers[0];
  const auto placed = rig.Place(1, MakeWork(1000));
  worker.Attach({EntryHostId("b"), worker.epoch.Next()}, rig.now);
  const RequestReply reply =
      worker.Run(RunCall(*placed, 1, MakeWork(1000)), rig.now);
  CHECK(reply.refused == RefusalReason::kStaleEpoch);
  rig.fleet.OnRequestAnswer(worker.host.id, Exchange(1), reply, rig.now);
  rig.SetPresent({{EntryHostId("b"), {worker.host.rack}}});
  rig.Run(kStep);
  CHECK(rig.lost == std::vector{WorkerLossReason::kStaleEpoch});
  CHECK_FALSE(rig.Place(2, MakeWork(1)));
}

void LiveOwnerIsAsked(Rig& rig) {
  WorkerTestDouble& worker = rig.workers[0];
  const EntryHostId other("b");
  const RackId rack = worker.host.rack;
  worker.Attach({other, worker.epoch.Next()}, rig.now);
  const Epoch held = worker.epoch;
  rig.SetPresent({{other, {rack}}});
  rig.Run(seconds(20));
  CHECK(worker.epoch == held);
  CHECK(rig.asked.size() >= 15);
  rig.fleet.OnRackReleased(rack, other, rig.now);
  rig.Run(kStep);
  CHECK(worker.owner == rig.self);
}

// Seed 10865: the worker's answer to an earlier question, which still names the
// owner, arrived after the owner's release and undid it for 3 s.
void ReleaseBeforeAnswer(Rig& rig) {
  WorkerTestDouble& worker = rig.workers[0];
  const EntryHostId other("b");
  worker.Attach({other, worker.epoch.Next()}, rig.now);
  rig.SetPresent({{other, {worker.host.rack}}});
  rig.Run(seconds(4));
  rig.hold_attaches = true;
  rig.Run(seconds(16));
  REQUIRE_FALSE(rig.held_attaches.empty());
  const SendAttach question = rig.held_attaches.back();
  CHECK(question.call.epoch == Epoch());
  rig.fleet.OnRackReleased(worker.host.rack, other, rig.now);
  rig.hold_attaches = false;
  rig.Do(question);
  rig.Run(2 * kStep);
  CHECK(worker.owner == rig.self);
}

void GoneOwnerIsReplaced(Rig& rig) {
  WorkerTestDouble& worker = rig.workers[0];
  const EntryHostId other("b");
  worker.Attach({other, Epoch(40)}, rig.now);
  rig.SetPresent({{other, {worker.host.rack}}});
  rig.Run(seconds(5));
  rig.SetPresent({});
  rig.Run(seconds(17));
  CHECK(worker.owner == rig.self);
  CHECK(worker.epoch > Epoch(40));
}

void TwoOwners(Rig& rig) {
  // Both hosts see only themselves, so both want the worker.
  Rig other("b");
  WorkerTestDouble& worker = rig.workers[0];
  int changes = 0;
  EntryHostId last = worker.owner;
  for (int i = 0; i < 1200; ++i) {
    rig.Run(kStep);
    std::swap(rig.workers, other.workers);
    other.now = rig.now;
    other.Run(kStep);
    std::swap(rig.workers, other.workers);
    if (rig.workers[0].owner != last) ++changes;
    last = rig.workers[0].owner;
  }
  CHECK(changes >= 1);
  // In 120 s each host may attach after 0, 1, 3, 7 and 15 s and each 16 s.
  CHECK(changes <= 2 * 12);
}

void LostAttachReply(Rig& rig) {
  WorkerTestDouble& worker = rig.workers[0];
  worker.Restart();
  rig.lose_attaches = 2;
  rig.Run(seconds(6));
  CHECK(worker.owner == rig.self);
  CHECK(rig.Snapshot().owned);
  CHECK(rig.Snapshot().epoch == worker.epoch);
}

void RestartedWorker(Rig& rig) {
  CHECK(rig.Fill(MakeWork(1000)) == 8);
  rig.workers[0].Restart();
  rig.Run(seconds(3));
  CHECK(rig.lost == std::vector{WorkerLossReason::kRestarted});
  CHECK(rig.Snapshot().incarnation == Incarnation(2));
  CHECK(rig.Snapshot().used_slots == 0);
}

void DelayedCommand(Rig& rig) {
  const auto placed = rig.Place(1, MakeWork(1000));
  rig.Run(milliseconds(1100));
  const auto reply =
      rig.workers[0].Run(RunCall(*placed, 1, MakeWork(1000)), rig.now);
  CHECK(reply.refused == RefusalReason::kExpired);
  rig.fleet.OnRequestAnswer(placed->worker, Exchange(1), reply, rig.now);
  CHECK(rig.Snapshot().used_slots == 0);
}

void RestartedOwner(Rig& rig) {
  const Epoch before = rig.workers[0].epoch;
  Rig next("a");
  next.now = rig.now;
  std::swap(rig.workers, next.workers);
  next.Run(seconds(2));
  CHECK(next.Snapshot().owned);
  CHECK(next.workers[0].epoch > before);
}

void Handover(Rig& rig) {
  const RackId rack = rig.workers[0].host.rack;
  CHECK(rig.fleet.OnReleaseAsked(rack, EntryHostId("b")).empty());
  rig.fleet.SetHosts({{{EntryHostId("b"), DataCentreId("d")}}, {}}, rig.now);
  rig.Perform(rig.fleet.OnReleaseAsked(rack, EntryHostId("b")));
  CHECK(rig.lost == std::vector{WorkerLossReason::kReleased});
  CHECK(rig.fleet.OwnedRacks().empty());
  rig.Run(seconds(5));
  CHECK_FALSE(rig.Snapshot().owned);
}

void PreferredOwnerCannotAttach(Rig& rig) {
  Rig second("a");
  const FleetHosts hosts{{{EntryHostId("a"), DataCentreId("d")},
                          {EntryHostId("b"), DataCentreId("d")}},
                         {{EntryHostId("b"), {}}}};
  Rig first("b");
  first.fleet.SetHosts(hosts, first.now);
  second.fleet.SetHosts(hosts, second.now);
  second.Run(seconds(8));
  first.Run(seconds(8));
  CHECK(second.Snapshot().owned != first.Snapshot().owned);
  second.Run(seconds(5));
  first.Run(seconds(5));
  CHECK(second.Snapshot().owned);
  CHECK(first.Snapshot().owned);
  CHECK(rig.Snapshot().owned);
}

void LeavingWorker(Rig& rig) {
  REQUIRE(rig.fleet.ReserveAttempt(Attempt(1), MakeWork(1), {}, rig.now));
  rig.workers[0].leaving_since = rig.now;
  rig.Run(seconds(1) + kStep);
  CHECK_FALSE(rig.Place(1, MakeWork(1)));
  CHECK_FALSE(rig.fleet.StartAttempt(Attempt(1), rig.now));
  CHECK(rig.fleet.Header(WorkerId("w0"), rig.now));
  CHECK(rig.fleet.SpareSlots() == 0);
}

void LostLeavingNotice(Rig& rig) {
  rig.lose_heartbeats = true;
  rig.workers[0].leaving_since = rig.now;
  for (Duration span{}; span < seconds(3); span += kStep) {
    rig.Run(kStep);
    const auto placed = rig.Place(static_cast<int>(span.count()), MakeWork(1));
    if (placed) {
      CHECK(placed->header.valid_until <
            rig.workers[0].Clock(*rig.workers[0].leaving_since + seconds(3)));
    }
  }
  CHECK_FALSE(rig.Place(1, MakeWork(1)));
}

// A worker taken over by another host refused requests for up to a second: a
// heartbeat that was sent a little after its tick counted as unanswered and
// held back the one that finds out.
void RefusedAfterTakeover(Rig& rig) {
  rig.heartbeat_send_delay = Duration(5);
  rig.Run(milliseconds(1500));
  const AttachCall takeover{EntryHostId("b"), rig.Snapshot().epoch.Next()};
  REQUIRE(rig.workers[0].Attach(takeover, rig.now).accepted);
  REQUIRE(rig.Place(1, MakeWork(1)));
  rig.fleet.OnRequestAnswer(WorkerId("w0"), Exchange(1),
                            RequestReply{.exchange = Exchange(1),
                                         .refused = RefusalReason::kStaleEpoch},
                            rig.now);
  CHECK_FALSE(rig.Place(2, MakeWork(1)));
  rig.Run(kStep);
  CHECK(rig.lost == std::vector{WorkerLossReason::kStaleEpoch});
}

void AdoptionOverCapacity(Rig& rig) {
  WorkerTestDouble& worker = rig.workers[0];
  worker.Restart();
  for (int i = 0; i < 10; ++i) worker.exchanges[Exchange(i)] = Amount(4000);
  rig.Run(seconds(3));
  CHECK(rig.Snapshot().used_slots == 10);
  CHECK(rig.Snapshot().committed.cpu == MilliCores(40000));
  CHECK_FALSE(rig.Place(100, MakeWork(1)));
  for (int i = 0; i < 4; ++i) worker.Finish(Exchange(i));
  rig.Run(seconds(2));
  CHECK(rig.Snapshot().used_slots == 6);
  CHECK_FALSE(rig.Place(101, MakeWork(7000)));
  CHECK(rig.Place(102, MakeWork(6000)));
}

void TimedOutRequest(Rig& rig) {
  const Work work = MakeWork(20000);
  const auto placed = rig.Place(1, work);
  rig.workers[0].Run(RunCall(*placed, 1, work), rig.now);
  rig.fleet.OnRequestAnswer(placed->worker, Exchange(1),
                            Fail(ErrorKind::kOutcomeUnknown, ""), rig.now);
  rig.Run(seconds(5));
  CHECK_FALSE(rig.Place(2, work));
  rig.workers[0].Finish(Exchange(1));
  rig.Run(seconds(2));
  CHECK(rig.Place(3, work));
}

void RefusedCancelProvesNothing(Rig& rig) {
  const auto placed = rig.Place(1, MakeWork(20000));
  RequestReply refused{Exchange(1), ExchangeState::kNeverStarted,
                       RefusalReason::kExpired, ""};
  rig.fleet.OnResolveAnswer(placed->worker, Exchange(1), refused, rig.now);
  CHECK(rig.Snapshot().used_slots == 1);
}

void LostStart(Rig& rig) {
  const Work work = MakeWork(20000);
  REQUIRE(rig.fleet.ReserveAttempt(Attempt(1), work, {}, rig.now));
  const auto sent = rig.fleet.StartAttempt(Attempt(1), rig.now);
  REQUIRE(sent);
  rig.fleet.OnStartAnswer(Attempt(1), *sent,
                          Fail(ErrorKind::kOutcomeUnknown, ""), rig.now);
  rig.Run(seconds(1));
  CHECK(rig.Snapshot().used_slots == 1);
  rig.Run(seconds(2));
  CHECK(rig.Snapshot().used_slots == 0);
  CHECK(rig.never_started == std::vector{Attempt(1)});
}

void LateRefusalOfEarlierStart(Rig& rig) {
  const Work work = MakeWork(20000);
  REQUIRE(rig.fleet.ReserveAttempt(Attempt(1), work, {}, rig.now));
  const auto first = rig.fleet.StartAttempt(Attempt(1), rig.now);
  rig.Run(seconds(3));
  REQUIRE(rig.fleet.ReserveAttempt(Attempt(1), work, {}, rig.now));
  const auto second = rig.fleet.StartAttempt(Attempt(1), rig.now);
  REQUIRE(second);
  StartAttemptReply refused;
  refused.refused = RefusalReason::kExpired;
  rig.fleet.OnStartAnswer(Attempt(1), *first, refused, rig.now);
  CHECK(rig.Snapshot().used_slots == 1);
  rig.fleet.OnStartAnswer(Attempt(1), *second, refused, rig.now);
  CHECK(rig.Snapshot().used_slots == 0);
}

void LapsedReservation(Rig& rig) {
  const Work work = MakeWork(20000);
  REQUIRE(rig.fleet.ReserveAttempt(Attempt(1), work, {}, rig.now));
  rig.Run(milliseconds(4900));
  CHECK(rig.fleet.ReserveAttempt(Attempt(1), work, {}, rig.now));
  CHECK_FALSE(rig.fleet.ReserveAttempt(Attempt(2), work, {}, rig.now));
  rig.Run(kStep);
  CHECK_FALSE(rig.fleet.StartAttempt(Attempt(1), rig.now));
  CHECK(rig.fleet.ReserveAttempt(Attempt(2), work, {}, rig.now));
}

void EndedAttempt(Rig& rig) {
  const Work work = MakeWork(20000);
  REQUIRE(rig.fleet.ReserveAttempt(Attempt(1), work, {}, rig.now));
  const auto sent = rig.fleet.StartAttempt(Attempt(1), rig.now);
  const auto reply = rig.workers[0].Start(StartCall(*sent, 1, work), rig.now);
  rig.fleet.OnStartAnswer(Attempt(1), *sent, reply, rig.now);
  rig.workers[0].End(Attempt(1), AttemptState::kFinished);
  rig.Run(seconds(3));
  REQUIRE(rig.changed.size() == 1);
  CHECK(rig.changed[0].state == AttemptState::kFinished);
  CHECK(rig.Snapshot().used_slots == 0);
  CHECK(rig.fleet.Acknowledge(Attempt(1)));
  rig.Run(seconds(3));
  CHECK(rig.workers[0].attempts.empty());
  CHECK_FALSE(rig.fleet.WorkerOf(Attempt(1)));
}

void FailNext(Rig& rig, int number, const char* kind, ExchangeState state) {
  const auto placed = rig.Place(number, MakeWork(1, kind));
  if (!placed) return;
  rig.fleet.OnRequestAnswer(placed->worker, Exchange(number),
                            RequestReply{Exchange(number), state, {}, ""},
                            rig.now);
}

void FailingWorker(Rig& rig) {
  for (int i = 0; i < 5; ++i) FailNext(rig, i, "k", ExchangeState::kFailed);
  CHECK(rig.Snapshot().healthy);
  FailNext(rig, 10, "l", ExchangeState::kFailed);
  FailNext(rig, 11, "m", ExchangeState::kFailed);
  CHECK_FALSE(rig.Snapshot().healthy);
  std::vector<Duration> probes;
  for (int i = 0; i < 12000; ++i) {
    rig.Run(kStep);
    Work precious = MakeWork(1);
    precious.idempotent = false;
    CHECK_FALSE(rig.Place(50000, precious));
    if (!rig.Place(100 + i, MakeWork(1))) continue;
    probes.push_back(rig.now.time_since_epoch());
    rig.fleet.AbandonRequest(WorkerId("w0"), Exchange(100 + i));
  }
  REQUIRE(probes.size() > 7);
  CHECK(probes[1] - probes[0] == seconds(10));
  CHECK(probes[2] - probes[1] == seconds(20));
  CHECK(probes[7] - probes[6] == seconds(300));
  rig.Run(seconds(300));
  FailNext(rig, 60000, "k", ExchangeState::kFinished);
  CHECK(rig.Snapshot().healthy);
}

void UrgentSlots(Rig& rig) {
  int attempts = 0;
  while (rig.fleet.ReserveAttempt(Attempt(attempts), MakeWork(1), {}, rig.now))
    ++attempts;
  CHECK(attempts == 4);
  CHECK(rig.Fill(MakeWork(1)) == 4);
}

void RemovedWorker(Rig& rig) {
  rig.fleet.OnHostList({}, rig.now);
  rig.Run(seconds(60));
  CHECK(rig.Snapshot().owned);
  CHECK_FALSE(rig.Place(1, MakeWork(1)));
  rig.lose_heartbeats = true;
  rig.Run(seconds(31));
  CHECK(rig.lost == std::vector{WorkerLossReason::kRemoved});
}

// Guards against more work than a worker carries, work for a worker that is
// commanded by another host, and room that is never given back.
TEST_CASE("faults of one worker") {
  const FaultRow rows[] = {
      {"paused owner", PausedOwner},
      {"attach refused: live owner is asked", LiveOwnerIsAsked},
      {"release before the worker's answer", ReleaseBeforeAnswer},
      {"gone owner is replaced", GoneOwnerIsReplaced},
      {"two hosts that both want a worker", TwoOwners},
      {"lost attach reply", LostAttachReply},
      {"worker restarted", RestartedWorker},
      {"command delayed", DelayedCommand},
      {"owner restarted under its id", RestartedOwner},
      {"handover", Handover},
      {"preferred owner cannot attach", PreferredOwnerCannotAttach},
      {"request refused after a takeover", RefusedAfterTakeover},
      {"worker leaving", LeavingWorker},
      {"leaving notice lost", LostLeavingNotice},
      {"over-reservation by adoption", AdoptionOverCapacity},
      {"request timed out", TimedOutRequest},
      {"cancel refused", RefusedCancelProvesNothing},
      {"start lost", LostStart},
      {"late refusal of an earlier start", LateRefusalOfEarlierStart},
      {"reservation lapsed", LapsedReservation},
      {"attempt ended", EndedAttempt},
      {"worker fails everything", FailingWorker},
      {"attempts leave urgent slots", UrgentSlots},
      {"worker removed from the list", RemovedWorker},
  };
  for (const FaultRow& row : rows) {
    INFO(row.name);
    Rig rig;
    rig.Run(seconds(2));
    REQUIRE(rig.Snapshot().owned);
    row.script(rig);
    CHECK(rig.workers[0].violation.empty());
  }
}

// Guards against placements that waste accelerators or ignore failed racks.
TEST_CASE("the default policy") {
  Rig rig("a", 8);
  for (int i = 0; i < 4; ++i) {
    rig.workers[static_cast<std::size_t>(i)].host.capacity =
        Amount(30000, 125000, 2);
  }
  rig.List();
  rig.Run(seconds(2));
  const Avoid racks{{}, {RackId("r1")}};
  const auto plain =
      rig.fleet.ReserveAttempt(Attempt(1), MakeWork(1000), {}, rig.now);
  CHECK(plain->rack == RackId("r1"));
  const auto away =
      rig.fleet.ReserveAttempt(Attempt(2), MakeWork(1000), racks, rig.now);
  CHECK(away->rack == RackId("r0"));
  const Avoid workers{{away->worker, plain->worker}, {}};
  const auto other =
      rig.fleet.ReserveAttempt(Attempt(3), MakeWork(1000), workers, rig.now);
  CHECK(other->worker != plain->worker);
  Work accelerated = MakeWork(1000);
  accelerated.resources.accelerators = Accelerators(2);
  CHECK(rig.Place(1, accelerated)->rack == RackId("r0"));
}

// Guards against all work going to the worker whose report is the oldest, and
// against reported use that the placement ignores.
TEST_CASE("load counts reports and the decisions since") {
  Rig rig("a", 2);
  rig.Run(seconds(2));
  rig.workers[0].cpu_in_use = MilliCores(6000);
  rig.workers[1].cpu_in_use = MilliCores(12000);
  rig.Run(seconds(2));
  // The second one finds 10 cores on worker 0, of which 4 are not reported yet.
  CHECK(rig.Place(1, MakeWork(4000))->worker == WorkerId("w0"));
  CHECK(rig.Place(2, MakeWork(4000))->worker == WorkerId("w1"));
  rig.Run(seconds(2));
  CHECK(rig.Place(3, MakeWork(4000))->worker == WorkerId("w0"));
}

struct FitRow {
  Resources asked;
  const char* limit;
};

// Guards against work that waits for ever, and reasons that name a wrong limit.
TEST_CASE("work that never fits names the limit and the hosts") {
  Rig rig("a", 2);
  rig.workers[1].host.capacity = Amount(10000, 60000, 4);
  rig.List();
  const FitRow rows[] = {
      {Amount(30000, 125000), ""},
      {Amount(40000), "cpu"},
      {Amount(1, 130000), "memory"},
      {Amount(1, 1, 5), "accelerators"},
      {Amount(20000, 1, 1), "accelerators"},
      {Amount(40000, 130000), "cpu and memory"},
  };
  for (const FitRow& row : rows) {
    const auto reason =
        rig.fleet.NeverFits({CustomerId("c"), KindId("k"), row.asked});
    CHECK((reason ? reason->limit : "") == row.limit);
    if (reason) CHECK_FALSE(reason->would_fit.empty());
  }
}

}  // namespace
}  // namespace gypsumfall
