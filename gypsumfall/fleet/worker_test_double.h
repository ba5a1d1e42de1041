#ifndef GYPSUMFALL_FLEET_WORKER_TEST_DOUBLE_H_
#define GYPSUMFALL_FLEET_WORKER_TEST_DOUBLE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

/// A fake worker for tests. It checks owner, epoch, incarnation and validity of
/// commands, but not its capacity: it runs all work that it is sent, so that a
/// test can detect overcommitment.
class WorkerTestDouble {
 public:
  explicit WorkerTestDouble(ListedHost host, Duration clock_offset = {})
      : host(std::move(host)), clock_offset_(clock_offset) {}

  WorkerTime Clock(Time now) const {
    return WorkerTime(now.time_since_epoch() + clock_offset_);
  }
  AttachReply Attach(const AttachCall& call, Time now) {
    const bool accepted =
        call.epoch > epoch || (call.epoch == epoch && call.owner == owner);
    if (accepted) {
      epoch = call.epoch;
      owner = call.owner;
    }
    AttachReply reply;
    reply.accepted = accepted;
    reply.highest_epoch = epoch;
    reply.owner = owner;
    reply.incarnation = incarnation;
    reply.clock = Clock(now);
    reply.capacity = host.capacity;
    reply.slots = kSlots;
    reply.connections = kConnections;
    reply.leaving = leaving_since && reports_leaving;
    for (const auto& [id, report] : attempts) reply.attempts.push_back(report);
    for (const auto& [id, resources] : exchanges) {
      reply.exchanges.push_back({id, resources});
    }
    return reply;
  }
  WorkerHeartbeatReply Heartbeat(const WorkerHeartbeatCall& call, Time now) {
    WorkerHeartbeatReply reply;
    reply.refused = CheckHeader(call.header, now);
    reply.incarnation = incarnation;
    reply.clock = Clock(now);
    reply.leaving = leaving_since && reports_leaving;
    if (reply.refused) return reply;
    const Resources cpu_usage{cpu_in_use, {}, {}};
    reply.usage.push_back({KindId("k"), cpu_usage, Clock(now), 1000});
    for (const AttemptId& id : call.acknowledged) {
      const auto it = attempts.find(id);
      if (it != attempts.end() && it->second.state != AttemptState::kRunning)
        attempts.erase(it);
    }
    for (const auto& [id, report] : attempts) reply.attempts.push_back(report);
    return reply;
  }
  RequestReply Run(const RunRequestCall& call, Time now) {
    RequestReply reply{call.exchange, ExchangeState::kNeverStarted, {}, ""};
    reply.refused = CheckHeader(call.header, now);
    if (closed_.contains(call.exchange)) reply.refused = RefusalReason::kClosed;
    if (reply.refused) return reply;
    reply.state = ExchangeState::kRunning;
    exchanges.emplace(call.exchange, call.resources);
    CheckNewWork(call.header, now);
    return reply;
  }
  void Finish(const ExchangeId& id) {
    exchanges.erase(id);
    finished_.insert(id);
  }
  RequestReply Cancel(const CancelRequestCall& call, Time now) {
    RequestReply reply{call.exchange, ExchangeState::kNeverStarted, {}, ""};
    reply.refused = CheckHeader(call.header, now);
    if (reply.refused) return reply;
    if (exchanges.contains(call.exchange)) {
      reply.state = ExchangeState::kRunning;
    } else if (finished_.contains(call.exchange)) {
      reply.state = ExchangeState::kFinished;
    } else {
      closed_.insert(call.exchange);
    }
    return reply;
  }
  StartAttemptReply Start(const StartAttemptCall& call, Time now) {
    StartAttemptReply reply{CheckHeader(call.header, now), Clock(now)};
    if (reply.refused || attempts.contains(call.id)) return reply;
    AttemptReport report;
    report.id = call.id;
    report.kind = call.kind;
    report.resources = call.resources;
    report.started = true;
    attempts.emplace(call.id, report);
    CheckNewWork(call.header, now);
    return reply;
  }
  void End(const AttemptId& id, AttemptState state) {
    attempts.at(id).state = state;
  }
  /// Restarts the worker, which loses all work and the epoch.
  void Restart() {
    exchanges.clear();
    attempts.clear();
    owner = EntryHostId();
    epoch = Epoch();
    incarnation = incarnation.Next();
    owners_by_epoch_.clear();
  }
  Resources Used(int* slots) const {
    Resources used;
    *slots = static_cast<int>(exchanges.size());
    for (const auto& [id, resources] : exchanges) used += resources;
    for (const auto& [id, report] : attempts) {
      if (report.state != AttemptState::kRunning) continue;
      used += report.resources;
      ++*slots;
    }
    return used;
  }

  static constexpr int kSlots = 8;
  static constexpr int kConnections = 60;

  ListedHost host;
  /// If false, the worker is faulty and executes commands of any epoch.
  bool checks_epoch = true;
  /// If false, the worker does not notify owners that it is leaving.
  bool reports_leaving = true;
  Incarnation incarnation{1};
  Epoch epoch;
  EntryHostId owner;
  std::optional<Time> leaving_since;
  std::map<ExchangeId, Resources> exchanges;
  std::map<AttemptId, AttemptReport> attempts;
  /// CPU usage that the worker reports.
  MilliCores cpu_in_use;
  /// The first violated invariant; empty if there is none.
  std::string violation;

 private:
  std::optional<RefusalReason> CheckHeader(const CommandHeader& header,
                                           Time now) {
    const bool current = header.owner == owner && header.epoch == epoch;
    if (checks_epoch && (!current || header.incarnation != incarnation)) {
      return RefusalReason::kStaleEpoch;
    }
    if (Clock(now) > header.valid_until) return RefusalReason::kExpired;
    return std::nullopt;
  }
  void Require(bool holds, const char* text) {
    if (!holds && violation.empty()) violation = text;
  }
  void CheckNewWork(const CommandHeader& header, Time now) {
    int slots = 0;
    const Resources used = Used(&slots);
    Require(used.FitsIn(host.capacity) && slots <= kSlots,
            "I1: committed work exceeds the host's capacity");
    Require(!leaving_since || now < *leaving_since + seconds(3),
            "I7: new work 3 s or more after the leaving notice");
    const auto entry =
        owners_by_epoch_.emplace(header.epoch, header.owner).first;
    Require(entry->second == header.owner, "two owners in one epoch");
    Require(owners_by_epoch_.rbegin()->first == header.epoch,
            "a command of an earlier epoch after one of a later epoch");
  }

  Duration clock_offset_;
  std::set<ExchangeId> closed_;
  std::set<ExchangeId> finished_;
  std::map<Epoch, EntryHostId> owners_by_epoch_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_FLEET_WORKER_TEST_DOUBLE_H_
