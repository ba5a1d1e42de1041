#include "gypsumfall/membership/membership.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace gypsumfall {
namespace {

const DataCentreId here_dc("here");
const DataCentreId there_dc("there");
const EntryHostId peer_id("peer");

Time At(int tenths) { return Time() + milliseconds(100) * tenths; }

Membership Make() {
  MembershipSettings settings;
  settings.self = EntryHostId("self");
  settings.data_centre = here_dc;
  return Membership(settings);
}

HostSummary Summary(const EntryHostId& id, std::uint64_t beat,
                    bool leaving = false, const DataCentreId& place = here_dc) {
  HostSummary summary;
  summary.peer = {id, place, "10.0.0.1:1"};
  summary.incarnation = Incarnation(1);
  summary.beat = beat;
  summary.leaving = leaving;
  return summary;
}

// One signal: 'b' a new beat, 'l' a beat with the leaving mark, 'r' a refused
// connection, 't' a missed answer, 'x' the row has lapsed, '.' time only.
struct Signal {
  int tenths;
  char what;
};

struct PeerRow {
  const char* name;
  std::vector<Signal> signals;
  int at;
  HostState state;
  bool preferred;
};

const std::vector<PeerRow>& PeerRows() {
  static const std::vector<PeerRow> rows = {
      {"heard", {{0, 'b'}}, 19, HostState::kAlive, true},
      {"silent for 2 s", {{0, 'b'}}, 20, HostState::kSuspect, false},
      {"silent for 4 s", {{0, 'b'}}, 40, HostState::kGone, false},
      {"refused", {{0, 'b'}, {5, 'r'}}, 6, HostState::kSuspect, false},
      {"refused and silent", {{0, 'b'}, {5, 'r'}}, 20, HostState::kGone, false},
      {"missed answer", {{0, 'b'}, {5, 't'}}, 6, HostState::kSuspect, false},
      {"missed and silent",
       {{0, 'b'}, {5, 't'}},
       39,
       HostState::kSuspect,
       false},
      {"leaving", {{0, 'l'}}, 1, HostState::kLeaving, false},
      {"lapsed row", {{0, 'b'}, {5, 'x'}}, 6, HostState::kSuspect, false},
      {"back after a flap",
       {{0, 'b'}, {5, 'r'}, {10, 'b'}},
       11,
       HostState::kAlive,
       false},
      {"never heard", {{0, '.'}}, 10, HostState::kSuspect, false},
      {"never heard for long", {{0, '.'}}, 40, HostState::kGone, false},
  };
  return rows;
}

void Apply(Membership& membership, const Signal& signal) {
  const Time now = At(signal.tenths);
  const auto beat = static_cast<std::uint64_t>(signal.tenths) + 1;
  switch (signal.what) {
    case 'b':
    case 'l':
      membership.OnHeartbeat({Summary(peer_id, beat, signal.what == 'l'), {}},
                             now);
      break;
    case 'r':
      membership.OnCallRefused(peer_id, now);
      break;
    case 't':
      membership.OnCallTimedOut(peer_id, now);
      break;
    case 'x':
      membership.OnHostLapsed(peer_id, Incarnation(1), now);
      break;
    default:
      break;
  }
  membership.Tick(now);
}

// Guards against work sent to a host that stopped answering, and against a
// takeover of a host that is alive.
TEST_CASE("signals give the state of an entry host") {
  for (const PeerRow& row : PeerRows()) {
    INFO(row.name);
    Membership membership = Make();
    membership.AddPeer({peer_id, here_dc, "10.0.0.1:1"}, At(0));
    for (const Signal& signal : row.signals) Apply(membership, signal);
    membership.Tick(At(row.at));
    CHECK(membership.Host(peer_id)->state == row.state);
    CHECK(membership.IsReplaceable(peer_id) ==
          (row.state == HostState::kGone || row.state == HostState::kLeaving));
    CHECK((membership.PreferredOwners(At(row.at)).size() == 2) ==
          row.preferred);
  }
}

// Guards against ownership that alternates with a host that flaps.
TEST_CASE("each flap doubles the time until a host is preferred again") {
  Membership membership = Make();
  int now = 0;
  const auto beat_until = [&](int end) {
    for (; now < end; now += 10) Apply(membership, {now, 'b'});
  };
  beat_until(100);
  for (const int damping : {100, 200, 400, 800, 1600, 1600}) {
    Apply(membership, {now + 1, 'r'});
    now += 10;
    Apply(membership, {now, 'b'});
    const int back = now;
    beat_until(back + damping - 10);
    CHECK(membership.PreferredOwners(At(back + damping - 1)).size() == 1);
    beat_until(back + damping + 10);
    CHECK(membership.PreferredOwners(At(back + damping)).size() == 2);
  }
}

// Guards against a relay that keeps a dead host alive by repeating its beat.
TEST_CASE("relayed beats count once") {
  Membership membership = Make();
  const EntryHostId relay("relay");
  for (int beat = 1; beat <= 10; ++beat) {
    const auto number = static_cast<std::uint64_t>(beat);
    membership.OnHeartbeat({Summary(relay, number, false, there_dc),
                            {Summary(peer_id, 1, false, there_dc)}},
                           At(10 * beat));
    membership.Tick(At(10 * beat));
  }
  CHECK(membership.Host(peer_id)->state == HostState::kGone);
  CHECK(membership.Host(relay)->state == HostState::kAlive);
  CHECK(membership.CutOffPeers() == std::vector<EntryHostId>{peer_id});
  CHECK(membership.Relayed().empty());
}

// Guards against heartbeat traffic that grows with the square of the hosts, and
// against a healed network partition that nobody notices.
TEST_CASE("heartbeat fan-out is bounded and gone peers are probed") {
  Membership membership = Make();
  for (int i = 0; i < 48; ++i) {
    const DataCentreId place("dc" + std::to_string(i % 6));
    membership.AddPeer({EntryHostId("h" + std::to_string(i)), place, "a"},
                       At(0));
  }
  for (int i = 0; i < 7; ++i) {
    membership.AddPeer({EntryHostId("l" + std::to_string(i)), here_dc, "a"},
                       At(0));
  }
  CHECK(membership.HeartbeatTargets(At(0)).size() == 7 + 6 * 2);
  CHECK(membership.HeartbeatTargets(At(5)).empty());
  membership.Tick(At(100));
  CHECK(membership.CutOffPeers().size() == 55);
  std::size_t probes = 0;
  for (int now = 100; now < 150; now += 10) {
    probes += membership.HeartbeatTargets(At(now)).size();
  }
  CHECK(probes == 7 + 6 * 2);
}

struct WorkerRow {
  const char* name;
  bool listed_live;
  bool listed_leaving;
  bool notice;
  char failure;
  int at;
  HostState state;
};

constexpr WorkerRow kWorkerRows[] = {
    {"answers", true, false, false, '.', 19, HostState::kAlive},
    {"lost notice: silent for 2 s", true, false, false, '.', 20,
     HostState::kSuspect},
    {"own notice", true, false, true, '.', 1, HostState::kLeaving},
    {"leaving on the list", true, true, false, '.', 1, HostState::kLeaving},
    {"dead on the list but answers", false, false, false, '.', 1,
     HostState::kAlive},
    {"dead on the list and silent", false, false, false, '.', 40,
     HostState::kGone},
    {"refused", true, false, false, 'r', 1, HostState::kSuspect},
    {"refused and silent", true, false, false, 'r', 40, HostState::kGone},
    {"missed answer", true, false, false, 't', 1, HostState::kSuspect},
};

// Guards against new work for a worker that is leaving or cannot be heard (I7).
TEST_CASE("signals give the state of a worker") {
  const WorkerId worker("w");
  for (const WorkerRow& row : kWorkerRows) {
    INFO(row.name);
    Membership membership = Make();
    ListedHost listed;
    listed.id = worker;
    listed.live = row.listed_live;
    listed.leaving = row.listed_leaving;
    membership.OnHostList({&listed, 1}, At(0));
    CHECK_FALSE(membership.MaySendTo(worker, At(0)));
    membership.OnWorkerAnswered(worker, Incarnation(1), row.notice, At(0),
                                At(0));
    // An overtaken answer without the notice must not take it back.
    membership.OnWorkerAnswered(worker, Incarnation(1), false, At(0), At(0));
    if (row.failure == 'r') membership.OnWorkerRefused(worker, At(0));
    if (row.failure == 't') membership.OnWorkerTimedOut(worker, At(0));
    membership.Tick(At(row.at));
    CHECK(membership.Worker(worker)->state == row.state);
    CHECK(membership.MaySendTo(worker, At(row.at)) ==
          (row.state == HostState::kAlive));
  }
}

// Guards against views that are not refreshed after a change, and against
// forwarding to a peer that is not able to take work.
TEST_CASE("the version shows changes and forwarding prefers the near") {
  Membership membership = Make();
  HostSummary far = Summary(EntryHostId("far"), 1, false, there_dc);
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
