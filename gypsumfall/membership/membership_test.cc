#include "gypsumfall/membership/membership.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace gypsumfall {
namespace {

const DataCentreId local_dc("here");
const DataCentreId remote_dc("there");
const EntryHostId peer_id("peer");

Time At(int tenths) { return Time() + milliseconds(100) * tenths; }

Membership MakeMembership() {
  MembershipSettings settings;
  settings.self = EntryHostId("self");
  settings.data_centre = local_dc;
  return Membership(settings);
}

HostSummary Summary(const EntryHostId& id, std::uint64_t heartbeat_number,
                    bool leaving = false,
                    const DataCentreId& peer_data_centre = local_dc) {
  HostSummary summary;
  summary.peer = {id, peer_data_centre, "10.0.0.1:1"};
  summary.incarnation = Incarnation(1);
  summary.heartbeat_number = heartbeat_number;
  summary.leaving = leaving;
  return summary;
}

// One input: 'b' a new heartbeat, 'l' a heartbeat with the leaving mark, 'r' a
// refused connection, 't' a timed-out call, 'x' an expired lease, '.' only the
// passage of time.
struct Signal {
  int tenths;
  char kind;
};

struct PeerCase {
  const char* name;
  std::vector<Signal> signals;
  int at;
  HostState state;
  bool preferred;
};

const std::vector<PeerCase>& PeerCases() {
  static const std::vector<PeerCase> rows = {
      {"heartbeat received", {{0, 'b'}}, 19, HostState::kAlive, true},
      {"no heartbeat for 2 s", {{0, 'b'}}, 20, HostState::kSuspect, false},
      {"no heartbeat for 4 s", {{0, 'b'}}, 40, HostState::kGone, false},
      {"refused", {{0, 'b'}, {5, 'r'}}, 6, HostState::kSuspect, false},
      {"refused and no heartbeat",
       {{0, 'b'}, {5, 'r'}},
       20,
       HostState::kGone,
       false},
      {"timed out", {{0, 'b'}, {5, 't'}}, 6, HostState::kSuspect, false},
      {"timed out and no heartbeat",
       {{0, 'b'}, {5, 't'}},
       39,
       HostState::kSuspect,
       false},
      {"leaving", {{0, 'l'}}, 1, HostState::kLeaving, false},
      {"expired lease", {{0, 'b'}, {5, 'x'}}, 6, HostState::kSuspect, false},
      {"back after a flap",
       {{0, 'b'}, {5, 'r'}, {10, 'b'}},
       11,
       HostState::kAlive,
       false},
      {"no heartbeat yet", {{0, '.'}}, 10, HostState::kSuspect, false},
      {"no heartbeat ever for 4 s", {{0, '.'}}, 40, HostState::kGone, false},
  };
  return rows;
}

void Apply(Membership& membership, const Signal& signal) {
  const Time now = At(signal.tenths);
  const auto heartbeat_number = static_cast<std::uint64_t>(signal.tenths) + 1;
  switch (signal.kind) {
    case 'b':
    case 'l':
      membership.OnHeartbeat(
          {Summary(peer_id, heartbeat_number, signal.kind == 'l'), {}}, now);
      break;
    case 'r':
      membership.OnCallRefused(peer_id, now);
      break;
    case 't':
      membership.OnCallTimedOut(peer_id, now);
      break;
    case 'x':
      membership.OnHostLeaseExpired(peer_id, Incarnation(1), now);
      break;
    default:
      break;
  }
  membership.Tick(now);
}

// Guards against work sent to a host that stopped responding, and against a
// takeover from a host that is alive.
TEST_CASE("signals determine the state of an entry host") {
  for (const PeerCase& row : PeerCases()) {
    INFO(row.name);
    Membership membership = MakeMembership();
    membership.AddPeer({peer_id, local_dc, "10.0.0.1:1"}, At(0));
    for (const Signal& signal : row.signals) Apply(membership, signal);
    membership.Tick(At(row.at));
    CHECK(membership.Host(peer_id)->state == row.state);
    CHECK(membership.IsReplaceable(peer_id) ==
          (row.state == HostState::kGone || row.state == HostState::kLeaving));
    CHECK((membership.PreferredOwners(At(row.at)).size() == 2) ==
          row.preferred);
  }
}

// Guards against ownership that moves to and from a flapping host.
TEST_CASE("each flap doubles the time until a host is preferred again") {
  Membership membership = MakeMembership();
  int now = 0;
  const auto heartbeat_until = [&](int end) {
    for (; now < end; now += 10) Apply(membership, {now, 'b'});
  };
  heartbeat_until(100);
  for (const int damping : {100, 200, 400, 800, 1600, 1600}) {
    Apply(membership, {now + 1, 'r'});
    now += 10;
    Apply(membership, {now, 'b'});
    const int back = now;
    heartbeat_until(back + damping - 10);
    CHECK(membership.PreferredOwners(At(back + damping - 1)).size() == 1);
    heartbeat_until(back + damping + 10);
    CHECK(membership.PreferredOwners(At(back + damping)).size() == 2);
  }
}

// Guards against a dead host that appears alive because a relay repeats its
// last heartbeat.
TEST_CASE("a repeated relayed heartbeat counts once") {
  Membership membership = MakeMembership();
  const EntryHostId relay("relay");
  for (int round = 1; round <= 10; ++round) {
    const auto relay_heartbeat = static_cast<std::uint64_t>(round);
    membership.OnHeartbeat({Summary(relay, relay_heartbeat, false, remote_dc),
                            {Summary(peer_id, 1, false, remote_dc)}},
                           At(10 * round));
    membership.Tick(At(10 * round));
  }
  CHECK(membership.Host(peer_id)->state == HostState::kGone);
  CHECK(membership.Host(relay)->state == HostState::kAlive);
  CHECK(membership.UnreachablePeers() == std::vector<EntryHostId>{peer_id});
  CHECK(membership.SummariesToRelay().empty());
}

// Guards against heartbeat traffic that grows with the square of the number of
// hosts, and against a healed network partition that stays undetected.
TEST_CASE("heartbeat fan-out is bounded and gone peers are probed") {
  Membership membership = MakeMembership();
  for (int i = 0; i < 48; ++i) {
    const DataCentreId peer_data_centre("dc" + std::to_string(i % 6));
    membership.AddPeer(
        {EntryHostId("h" + std::to_string(i)), peer_data_centre, "a"}, At(0));
  }
  for (int i = 0; i < 7; ++i) {
    membership.AddPeer({EntryHostId("l" + std::to_string(i)), local_dc, "a"},
                       At(0));
  }
  CHECK(membership.HeartbeatTargets(At(0)).size() == 7 + 6 * 2);
  CHECK(membership.HeartbeatTargets(At(5)).empty());
  membership.Tick(At(100));
  CHECK(membership.UnreachablePeers().size() == 55);
  std::size_t probes = 0;
  for (int now = 100; now < 150; now += 10) {
    probes += membership.HeartbeatTargets(At(now)).size();
  }
  CHECK(probes == 7 + 6 * 2);
}

struct WorkerCase {
  const char* name;
  bool listed_live;
  bool listed_leaving;
  bool notice;
  char failure;
  int at;
  HostState state;
};

constexpr WorkerCase kWorkerCases[] = {
    {"answers", true, false, false, '.', 19, HostState::kAlive},
    {"lost notice: no answer for 2 s", true, false, false, '.', 20,
     HostState::kSuspect},
    {"own notice", true, false, true, '.', 1, HostState::kLeaving},
    {"leaving on the list", true, true, false, '.', 1, HostState::kLeaving},
    {"dead on the list but answers", false, false, false, '.', 1,
     HostState::kAlive},
    {"dead on the list and no answer", false, false, false, '.', 40,
     HostState::kGone},
    {"refused", true, false, false, 'r', 1, HostState::kSuspect},
    {"refused and no answer", true, false, false, 'r', 40, HostState::kGone},
    {"timed out", true, false, false, 't', 1, HostState::kSuspect},
};

// Guards invariant I7: no new work is sent to a worker that is leaving or does
// not respond.
TEST_CASE("signals determine the state of a worker") {
  const WorkerId worker("w");
  for (const WorkerCase& row : kWorkerCases) {
    INFO(row.name);
    Membership membership = MakeMembership();
    ListedHost listed;
    listed.id = worker;
    listed.live = row.listed_live;
    listed.leaving = row.listed_leaving;
    membership.OnHostList({&listed, 1}, At(0));
    CHECK_FALSE(membership.MaySendTo(worker, At(0)));
    membership.OnWorkerAnswered(worker, Incarnation(1), row.notice, At(0),
                                At(0));
    // A late answer without the leaving notice must not revoke the notice.
    membership.OnWorkerAnswered(worker, Incarnation(1), false, At(0), At(0));
    if (row.failure == 'r') membership.OnWorkerRefused(worker, At(0));
    if (row.failure == 't') membership.OnWorkerTimedOut(worker, At(0));
    membership.Tick(At(row.at));
    CHECK(membership.Worker(worker)->state == row.state);
    CHECK(membership.MaySendTo(worker, At(row.at)) ==
          (row.state == HostState::kAlive));
  }
}

// Guards against a state change that does not change the version, and against
// forwarding to a peer that cannot accept work.
TEST_CASE("the version tracks changes and forwarding prefers local peers") {
  Membership membership = MakeMembership();
  HostSummary far = Summary(EntryHostId("far"), 1, false, remote_dc);
  HostSummary near = Summary(EntryHostId("near"), 1);
  far.spare_slots = 9;
  near.spare_slots = 2;
  membership.OnHeartbeat({far, {}}, At(0));
  auto seen = membership.version();
  membership.OnHeartbeat({near, {}}, At(0));
  CHECK(membership.version() != seen);
  seen = membership.version();
  membership.Tick(At(1));
  CHECK(membership.version() == seen);
  CHECK(membership.ForwardTargets() == std::vector{near.peer.id, far.peer.id});
  membership.OnCallRefused(near.peer.id, At(2));
  CHECK(membership.ForwardTargets() == std::vector{far.peer.id});
  membership.Leave();
  CHECK(membership.PreferredOwners(At(2)) == std::vector{far.peer.id});
}

}  // namespace
}  // namespace gypsumfall
