#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "standins/internal/checkpoint.h"
#include "standins/models.h"

namespace gypsumfall::standins {

WorkerModel::WorkerModel(WorkerId id, WorkerOptions options)
    : id_(std::move(id)), options_(std::move(options)) {}

WorkerTime WorkerModel::Clock(Time now) const {
  return WorkerTime(now.time_since_epoch() + options_.clock_offset);
}

Time WorkerModel::HostTime(WorkerTime time) const {
  return Time(time.time_since_epoch() - options_.clock_offset);
}

bool WorkerModel::Reachable(Time now) const {
  return alive_ && now >= paused_until_;
}

AttachReply WorkerModel::Attach(const AttachCall& call, Time now) {
  ProcessUntil(now);
  AttachReply reply;
  reply.accepted =
      call.epoch > epoch_ || (call.epoch == epoch_ && call.owner == owner_);
  if (reply.accepted) {
    epoch_ = call.epoch;
    owner_ = call.owner;
    reply.attempts = Reports();
    for (const Work& work : running_) {
      if (work.exchange) {
        reply.exchanges.push_back({*work.exchange, work.resources});
      }
    }
  }
  reply.highest_epoch = epoch_;
  reply.owner = owner_;
  reply.incarnation = incarnation_;
  reply.clock = Clock(now);
  reply.capacity = options_.capacity;
  reply.slots = options_.slots;
  reply.connections = options_.connections;
  reply.leaving = leaving_;
  return reply;
}

std::optional<RefusalReason> WorkerModel::RefusalOfCommand(
    const CommandHeader& header, Time now) const {
  if (header.incarnation != incarnation_ || header.epoch != epoch_ ||
      header.owner != owner_) {
    return RefusalReason::kStaleEpoch;
  }
  if (header.valid_until < Clock(now)) return RefusalReason::kExpired;
  return std::nullopt;
}

std::optional<RefusalReason> WorkerModel::RefusalOfWork(
    const KindId& kind, const Resources& resources) {
  if (leaving_) return RefusalReason::kLeaving;
  if (!options_.kinds.contains(kind)) return RefusalReason::kUnknownKind;
  if (running_.size() >= static_cast<std::size_t>(options_.slots)) {
    ++overcommits_;
    return RefusalReason::kNoSlot;
  }
  if (!resources.IsValid() || !(used() + resources).FitsIn(options_.capacity)) {
    ++overcommits_;
    return RefusalReason::kNoResources;
  }
  return std::nullopt;
}

WorkerHeartbeatReply WorkerModel::Heartbeat(const WorkerHeartbeatCall& call,
                                            Time now) {
  ProcessUntil(now);
  WorkerHeartbeatReply reply;
  reply.refused = RefusalOfCommand(call.header, now);
  reply.incarnation = incarnation_;
  reply.clock = Clock(now);
  reply.leaving = leaving_;
  if (reply.refused) return reply;
  for (const LeaseRenewal& renewal : call.renewals) Renew(renewal, now);
  for (const AttemptId& id : call.acknowledged) ended_.erase(id);
  reply.attempts = Reports();
  reply.usage = LaggingUsage(now);
  return reply;
}

void WorkerModel::Renew(const LeaseRenewal& renewal, Time now) {
  Work* work = FindAttempt(renewal.id);
  if (work == nullptr || renewal.task_epoch < work->task_epoch) return;
  work->task_epoch = renewal.task_epoch;
  work->lease_end =
      std::max({work->lease_end, HostTime(renewal.lease_until), now});
}

std::optional<RequestReply> WorkerModel::RunRequest(const RunRequestCall& call,
                                                    Time now) {
  ProcessUntil(now);
  RequestReply reply{.exchange = call.exchange, .refused = {}, .result = {}};
  reply.refused = RefusalOfCommand(call.header, now);
  if (reply.refused) return reply;
  const auto ended = exchanges_.find(call.exchange);
  if (ended != exchanges_.end()) {
    reply = ended->second.reply;
    if (reply.state == ExchangeState::kNeverStarted) {
      reply.refused = RefusalReason::kClosed;
    }
    return reply;
  }
  if (FindExchange(call.exchange) != nullptr) {
    reply.state = ExchangeState::kRunning;
    return reply;
  }
  reply.refused = RefusalOfWork(call.kind, call.resources);
  if (reply.refused) return reply;
  Work work;
  work.exchange = call.exchange;
  work.payload = call.payload;
  work.kind = call.kind;
  work.resources = call.resources;
  work.total = BehaviourOf(call.kind).run_time;
  Start(std::move(work), now);
  return std::nullopt;
}

RequestReply WorkerModel::CancelRequest(const CancelRequestCall& call,
                                        Time now) {
  ProcessUntil(now);
  RequestReply reply{.exchange = call.exchange, .refused = {}, .result = {}};
  reply.refused = RefusalOfCommand(call.header, now);
  if (reply.refused) {
    // Reports the request as possibly running: only the current owner may rely
    // on the exchange never starting.
    reply.state = ExchangeState::kRunning;
    return reply;
  }
  if (FindExchange(call.exchange) != nullptr) {
    reply.state = ExchangeState::kRunning;
    return reply;
  }
  const auto [entry, inserted] =
      exchanges_.try_emplace(call.exchange, EndedExchange{reply, now});
  return entry->second.reply;
}

std::optional<RefusalReason> WorkerModel::RefusalOfAttempt(
    const StartAttemptCall& call, Time now) {
  const auto closed = closed_.find({call.id.customer, call.id.task});
  if (closed != closed_.end() && call.id.number <= closed->second.number) {
    return RefusalReason::kClosed;
  }
  if (call.lease_until <= Clock(now)) return RefusalReason::kExpired;
  return RefusalOfWork(call.kind, call.resources);
}

StartAttemptReply WorkerModel::StartAttempt(const StartAttemptCall& call,
                                            Time now) {
  ProcessUntil(now);
  StartAttemptReply reply{.refused = RefusalOfCommand(call.header, now),
                          .clock = Clock(now)};
  if (reply.refused) return reply;
  if (const Work* work = FindAttempt(call.id)) {
    if (call.task_epoch < work->task_epoch) {
      reply.refused = RefusalReason::kStaleEpoch;
    }
    Renew({call.id, call.task_epoch, call.lease_until}, now);
    return reply;
  }
  reply.refused = RefusalOfAttempt(call, now);
  if (!reply.refused) Start(NewAttempt(call, now), now);
  return reply;
}

WorkerModel::Work WorkerModel::NewAttempt(const StartAttemptCall& call,
                                          Time now) const {
  const KindBehaviour& behaviour = BehaviourOf(call.kind);
  Work work;
  work.attempt = call.id;
  work.payload = call.payload;
  work.kind = call.kind;
  work.resources = call.resources;
  work.total = behaviour.run_time;
  work.progress = std::min(work.total, CheckpointProgress(call.checkpoint));
  work.checkpoint = call.checkpoint;
  if (behaviour.checkpoint_every > Duration::zero()) {
    work.next_checkpoint = work.progress + behaviour.checkpoint_every;
  }
  work.task_epoch = call.task_epoch;
  work.lease_end = std::max(HostTime(call.lease_until), now);
  return work;
}

StopAttemptReply WorkerModel::StopAttempt(const StopAttemptCall& call,
                                          Time now) {
  ProcessUntil(now);
  StopAttemptReply reply;
  reply.refused = RefusalOfCommand(call.header, now);
  reply.report.id = call.id;
  if (reply.refused) return reply;
  const auto work = std::find_if(
      running_.begin(), running_.end(),
      [&](const Work& running) { return running.attempt == call.id; });
  if (work != running_.end()) {
    const Work stopped = std::move(*work);
    running_.erase(work);
    EndAttempt(stopped, AttemptState::kStopped, now);
    UpdateSlowdowns();
  }
  const auto ended = ended_.find(call.id);
  if (ended != ended_.end()) {
    reply.report = ended->second;
    return reply;
  }
  ClosedAttempt& closed = closed_[{call.id.customer, call.id.task}];
  reply.report.state = AttemptState::kStopped;
  reply.report.started =
      closed.number == call.id.number ? closed.started : false;
  if (closed.number < call.id.number) closed = {call.id.number, false, now};
  closed.at = now;
  return reply;
}

AttemptReport WorkerModel::ReportOf(const Work& work) const {
  AttemptReport report;
  report.id = *work.attempt;
  report.started = true;
  report.kind = work.kind;
  report.resources = work.resources;
  report.checkpoint = work.checkpoint;
  report.lease_until = Clock(work.lease_end);
  return report;
}

std::vector<AttemptReport> WorkerModel::Reports() const {
  std::vector<AttemptReport> reports;
  for (const Work& work : running_) {
    if (work.attempt) reports.push_back(ReportOf(work));
  }
  for (const auto& [id, report] : ended_) reports.push_back(report);
  return reports;
}

WorkerModel::Work* WorkerModel::FindAttempt(const AttemptId& id) {
  const auto found =
      std::find_if(running_.begin(), running_.end(),
                   [&](const Work& work) { return work.attempt == id; });
  return found == running_.end() ? nullptr : &*found;
}

WorkerModel::Work* WorkerModel::FindExchange(const ExchangeId& id) {
  const auto found =
      std::find_if(running_.begin(), running_.end(),
                   [&](const Work& work) { return work.exchange == id; });
  return found == running_.end() ? nullptr : &*found;
}

Resources WorkerModel::used() const {
  Resources sum;
  for (const Work& work : running_) sum += work.resources;
  return sum;
}

}  // namespace gypsumfall::standins
