#include "gypsumfall/entry/internal/worker_service.h"

#include <set>
#include <utility>

#include "gypsumfall/entry/internal/membership_service.h"
#include "gypsumfall/entry/internal/store_service.h"
#include "gypsumfall/ownership/ownership.h"

namespace gypsumfall {
namespace {

constexpr Duration kTick = milliseconds(50);
// Need not be short: the host list lags, and workers report that they are
// leaving before the list shows it.
constexpr Duration kHostListInterval = seconds(10);
// Applies until the list has workers, as at the start of a new deployment.
constexpr Duration kInitialHostListInterval = seconds(1);
constexpr Duration kCommandTimeout = seconds(1);

FleetSettings SettingsFrom(const EntrySettings& settings) {
  FleetSettings result;
  result.self = settings.host.id;
  result.urgent_slots = static_cast<int>(settings.limits.urgent_slots);
  result.seed = StableHash(settings.host.id.str());
  return result;
}

}  // namespace

int PartitionOf(const CustomerId& customer, const EntrySettings& settings) {
  return TaskPartitionNumber(PartitionOfCustomer(
      customer, static_cast<int>(settings.tasks.partitions)));
}

WorkerService::WorkerService(const EntryContext& context)
    : context_(context),
      log_("workers"),
      fleet_(SettingsFrom(context.settings)) {}

Result<void> WorkerService::Start() {
  context_.runtime.RunEvery(kTick, [this] { Tick(); });
  context_.runtime.RunEvery(kHostListInterval, [this] { PollHostList(); });
  context_.runtime.RunEvery(kInitialHostListInterval, [this] {
    if (listed_hosts_.empty()) PollHostList();
  });
  PollHostList();
  OnMembershipChanged();
  return {};
}

void WorkerService::Stop(std::function<void()> stopped) {
  Perform(fleet_.ReleaseAll());
  stopped();
}

void WorkerService::Tick() {
  Perform(fleet_.Tick(context_.Now()));
  if (on_capacity_freed) on_capacity_freed();
}

void WorkerService::PollHostList() {
  auto* store = context_.kernel.Find<StoreService>(kStoreService);
  store->host_list().List([this](PlatformResult<HostListReply> answer) {
    if (!answer.reply) return;
    for (const ListedHost& host : answer.reply->hosts) {
      listed_hosts_[host.id] = host;
    }
    auto* members = context_.kernel.Find<MembershipService>(kMembershipService);
    members->membership().OnHostList(answer.reply->hosts, context_.Now());
    Perform(fleet_.OnHostList(answer.reply->hosts, context_.Now()));
  });
}

RackId WorkerService::RackOf(const WorkerId& worker) const {
  const auto found = listed_hosts_.find(worker);
  return found == listed_hosts_.end() ? RackId() : found->second.rack;
}

void WorkerService::OnMembershipChanged() {
  const Time now = context_.Now();
  auto* members = context_.kernel.Find<MembershipService>(kMembershipService);
  const Membership& membership = members->membership();
  FleetHosts hosts{.preferred = membership.PreferredHosts(now)};
  for (const PeerSettings& peer : context_.settings.peers) {
    const HostView* view = membership.Host(peer.id);
    if (view == nullptr || membership.IsReplaceable(peer.id)) continue;
    hosts.present.push_back({peer.id, view->summary.owned_racks});
  }
  fleet_.SetHosts(std::move(hosts), now);
}

void WorkerService::OnRackReleaseRequested(const RackId& rack,
                                           const EntryHostId& by) {
  Perform(fleet_.OnRackReleaseRequested(rack, by));
}

void WorkerService::Perform(FleetActions actions) {
  auto* members = context_.kernel.Find<MembershipService>(kMembershipService);
  for (FleetAction& action : actions) {
    if (auto* attach = std::get_if<SendAttach>(&action)) {
      Send(*attach);
    } else if (auto* heartbeat = std::get_if<SendWorkerHeartbeat>(&action)) {
      Send(*heartbeat);
    } else if (auto* resolve = std::get_if<SendResolve>(&action)) {
      Send(*resolve);
    } else if (auto* ask = std::get_if<RequestRackRelease>(&action)) {
      members->RequestRackRelease(ask->owner, ask->rack);
    } else if (auto* attached = std::get_if<WorkerAttached>(&action)) {
      OnAttached(*attached);
    } else if (auto* lost = std::get_if<WorkerOwnershipLost>(&action)) {
      attempt_reports_.erase(lost->worker);
      const bool work_is_lost =
          lost->reason == OwnershipLossReason::kRestarted ||
          lost->reason == OwnershipLossReason::kRemoved;
      if (work_is_lost && on_worker_lost) on_worker_lost(lost->worker);
      context_.Explain(
          "worker/" + lost->worker.str(), "no longer owned",
          "loss reason " + std::to_string(static_cast<int>(lost->reason)));
    } else if (auto* changed = std::get_if<AttemptChanged>(&action)) {
      attempt_reports_[changed->worker][changed->report.id] = changed->report;
      PublishReports(changed->worker, changed->incarnation, {changed->report});
    }
  }
}

template <typename Reply, typename Message>
void WorkerService::CallWorker(
    const std::string& address, const std::string& path, const Message& message,
    Duration timeout,
    std::function<void(Result<Reply>, bool certainly_not_sent)> done) {
  HttpCall call{.path = path,
                .bearer = context_.settings.keys.worker_key.Reveal(),
                .body = Encode(message)};
  context_.clients.Call(
      address, std::move(call), timeout,
      [done = std::move(done)](const CallOutcome& outcome) {
        if (outcome.failure) {
          done(Fail(ErrorKind::kOutcomeUnknown,
                    std::string(CallFailureName(*outcome.failure))),
               outcome.certainly_not_sent);
        } else if (outcome.status != 200) {
          done(Fail(ErrorKind::kOutcomeUnknown,
                    "worker answered status " + std::to_string(outcome.status)),
               false);
        } else {
          done(Decode<Reply>(outcome.body), false);
        }
      });
}

void WorkerService::Send(const SendAttach& action) {
  const Time sent_at = context_.Now();
  CallWorker<AttachReply>(action.address, "/v1/attach", action.call,
                          kCommandTimeout,
                          [this, worker = action.worker, call = action.call,
                           sent_at](const Result<AttachReply>& reply, bool) {
                            Perform(fleet_.OnAttachAnswer(
                                worker, call, reply, sent_at, context_.Now()));
                          });
}

void WorkerService::Send(const SendWorkerHeartbeat& action) {
  const Time sent_at = context_.Now();
  CallWorker<WorkerHeartbeatReply>(
      action.address, "/v1/heartbeat", action.call, kCommandTimeout,
      [this, worker = action.worker, call = action.call, sent_at](
          const Result<WorkerHeartbeatReply>& reply, bool) {
        Perform(fleet_.OnHeartbeatAnswer(worker, call, reply, sent_at,
                                         context_.Now()));
      });
}

void WorkerService::Send(const SendResolve& action) {
  CallWorker<RequestReply>(
      action.address, "/v1/requests/cancel", action.call, kCommandTimeout,
      [this, worker = action.worker, exchange = action.call.exchange](
          const Result<RequestReply>& reply, bool) {
        fleet_.OnResolveAnswer(worker, exchange, reply, context_.Now());
        if (reply) on_cancel_reply(worker, *reply);
      });
}

void WorkerService::SendCancel(const WorkerId& worker,
                               const ExchangeId& exchange) {
  const auto route = fleet_.Header(worker, context_.Now());
  if (!route) return;
  Send(SendResolve{worker, route->address, {route->header, exchange}});
}

void WorkerService::SendRequest(const Placement& placement,
                                const RunRequestCall& call, Duration timeout) {
  const ExchangeId exchange = call.exchange;
  CallWorker<RequestReply>(
      placement.address, "/v1/requests", call, timeout,
      [this, worker = placement.worker, exchange](
          const Result<RequestReply>& reply, bool certainly_not_sent) {
        if (certainly_not_sent) {
          fleet_.AbandonRequest(worker, exchange);
          on_send_failed(exchange, true);
          return;
        }
        fleet_.OnRequestAnswer(worker, exchange, reply, context_.Now());
        if (reply) {
          on_reply(worker, *reply);
        } else {
          on_send_failed(exchange, false);
        }
      });
}

void WorkerService::OnAttached(const WorkerAttached& attached) {
  incarnations_[attached.worker] = attached.incarnation;
  auto& known = attempt_reports_[attached.worker];
  known.clear();
  for (const AttemptReport& report : attached.attempts) {
    known[report.id] = report;
  }
  context_.Explain("worker/" + attached.worker.str(), "attached",
                   "epoch " + std::to_string(attached.epoch.value()) + ", " +
                       std::to_string(attached.attempts.size()) +
                       " attempts adopted");
  PublishReports(attached.worker, attached.incarnation, attached.attempts);
}

void WorkerService::PublishReports(const WorkerId& worker,
                                   Incarnation incarnation,
                                   const std::vector<AttemptReport>& reports) {
  const auto clock = fleet_.EarliestClock(worker, context_.Now());
  if (!clock || !on_reports) return;
  std::map<int, WorkerAttemptReports> by_partition;
  for (const AttemptReport& report : reports) {
    WorkerAttemptReports& partition_reports =
        by_partition[PartitionOf(report.id.customer, context_.settings)];
    partition_reports.attempts.push_back(report);
  }
  for (auto& [partition, partition_reports] : by_partition) {
    partition_reports.worker = worker;
    partition_reports.incarnation = incarnation;
    partition_reports.clock = *clock;
    on_reports(partition, partition_reports);
  }
}

/// The answer to one `AttemptsCall`, shared by the pending commands to workers.
/// It is sent when the last of them drops its reference.
struct WorkerService::PendingAnswer {
  AttemptsReply reply;
  /// Workers whose attempt reports the answer includes.
  std::set<WorkerId> reported;
  std::function<void(AttemptsReply)> done;
  WorkerService* service = nullptr;
  int partition = 0;

  ~PendingAnswer() {
    for (const WorkerId& worker : reported) {
      service->AddReports(worker, partition, reply);
    }
    done(std::move(reply));
  }
};

void WorkerService::Handle(const AttemptsCall& call,
                           std::function<void(AttemptsReply)> done) {
  auto pending = std::make_shared<PendingAnswer>();
  pending->done = std::move(done);
  pending->service = this;
  pending->partition = static_cast<int>(call.partition);
  for (const ReserveCall& reserve : call.reserve) {
    Reserve(reserve, pending->reply);
  }
  for (const PeerRenewal& renewal : call.renew) {
    const auto known = incarnations_.find(renewal.worker);
    const bool is_current =
        known != incarnations_.end() && known->second == renewal.incarnation;
    if (is_current) fleet_.Renew(renewal.renewal);
    pending->reported.insert(renewal.worker);
  }
  for (const PlacedAttempt& attempt : call.acknowledge) {
    fleet_.Acknowledge(attempt.id);
    if (const auto at = attempt_reports_.find(attempt.worker);
        at != attempt_reports_.end()) {
      at->second.erase(attempt.id);
    }
  }
  for (const WorkerId& worker : call.query) pending->reported.insert(worker);
  for (const PeerStartCall& start : call.start) StartAttempt(start, pending);
  for (const PlacedAttempt& attempt : call.stop) {
    StopAttempt(attempt, pending);
  }
}

void WorkerService::Reserve(const ReserveCall& call, AttemptsReply& reply) {
  const Time now = context_.Now();
  const WorkSpec work{.customer = call.id.customer,
                      .kind = call.kind,
                      .resources = call.resources};
  ReserveReply& answer = reply.reserved.emplace_back(ReserveReply{call.id});
  const auto placed =
      fleet_.ReserveAttempt(call.id, work, {.workers = call.avoid}, now);
  if (!placed) return;
  const auto clock = fleet_.EarliestClock(placed->worker, now);
  if (!clock) return;
  answer.worker = placed->worker;
  answer.incarnation = placed->header.incarnation;
  answer.clock = *clock;
}

void WorkerService::StartAttempt(
    const PeerStartCall& call, const std::shared_ptr<PendingAnswer>& pending) {
  const Result<Placement> placed = fleet_.StartAttempt(call.id, context_.Now());
  const bool matches_reservation =
      placed && placed->worker == call.worker &&
      placed->header.incarnation == call.incarnation;
  if (!matches_reservation) {
    // Without a matching reservation nothing is sent now, but an earlier copy
    // of this start may have been sent: the task owner stops the attempt before
    // it tries another worker.
    pending->reply.started.push_back({.id = call.id, .unknown = true});
    return;
  }
  const StartAttemptCall start{
      placed->header, call.id,         call.kind,       call.resources,
      call.payload,   call.checkpoint, call.task_epoch, call.lease_until};
  CallWorker<StartAttemptReply>(
      placed->address, "/v1/tasks/start", start, kCommandTimeout,
      [this, pending, id = call.id, sent = *placed](
          const Result<StartAttemptReply>& reply, bool) {
        fleet_.OnStartAnswer(id, sent, reply, context_.Now());
        PeerStartReply& answer =
            pending->reply.started.emplace_back(PeerStartReply{id});
        answer.unknown = !reply;
        if (!reply) return;
        answer.refused = reply->refused;
        answer.clock = reply->clock;
      });
}

void WorkerService::StopAttempt(const PlacedAttempt& attempt,
                                const std::shared_ptr<PendingAnswer>& pending) {
  pending->reported.insert(attempt.worker);
  const auto route = fleet_.Header(attempt.worker, context_.Now());
  if (!route) return;
  CallWorker<StopAttemptReply>(
      route->address, "/v1/tasks/stop",
      StopAttemptCall{route->header, attempt.id}, kCommandTimeout,
      [this, pending, attempt](const Result<StopAttemptReply>& reply, bool) {
        Perform(fleet_.OnStopAnswer(attempt.id, reply, context_.Now()));
        if (!reply || reply->refused) return;
        // The worker's own reports do not include an attempt that was stopped
        // before it ever ran.
        attempt_reports_[attempt.worker][attempt.id] = reply->report;
      });
}

void WorkerService::AddReports(const WorkerId& worker, int partition,
                               AttemptsReply& reply) {
  const auto clock = fleet_.EarliestClock(worker, context_.Now());
  const auto known = attempt_reports_.find(worker);
  if (!clock || known == attempt_reports_.end()) return;
  WorkerAttemptReports& reports = reply.reports.emplace_back();
  reports.worker = worker;
  reports.incarnation = incarnations_[worker];
  reports.clock = *clock;
  for (const auto& [id, report] : known->second) {
    if (PartitionOf(id.customer, context_.settings) == partition) {
      reports.attempts.push_back(report);
    }
  }
}

std::string WorkerService::Dump() const {
  std::string text = "listed workers " + std::to_string(listed_hosts_.size()) +
                     ", spare request slots " +
                     std::to_string(fleet_.SpareSlots()) + "\n";
  for (const auto& [id, host] : listed_hosts_) {
    const auto worker = fleet_.Snapshot(id);
    if (!worker || !worker->owned) continue;
    text += "worker " + id.str() + " rack " + host.rack.str() + ": epoch " +
            std::to_string(worker->epoch.value()) + ", incarnation " +
            std::to_string(worker->incarnation.value()) + ", slots " +
            std::to_string(worker->used_slots) + "/" +
            std::to_string(worker->slots) + ", committed " +
            worker->committed.ToString() +
            (worker->leaving ? ", leaving" : "") +
            (worker->healthy ? "" : ", unhealthy") + "\n";
  }
  return text;
}

}  // namespace gypsumfall
