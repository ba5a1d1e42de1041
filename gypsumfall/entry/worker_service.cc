#include "gypsumfall/entry/internal/worker_service.h"

#include <set>
#include <utility>

#include "gypsumfall/entry/internal/membership_service.h"
#include "gypsumfall/entry/internal/store_service.h"
#include "gypsumfall/ownership/ownership.h"

namespace gypsumfall {
namespace {

constexpr Duration kTick = milliseconds(50);
// The list lags anyway; workers themselves say first that they are leaving.
constexpr Duration kHostListInterval = seconds(10);
// Until workers are listed, as after the start of a deployment.
constexpr Duration kFirstHostListInterval = seconds(1);
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
  context_.runtime.Every(kTick, [this] { Tick(); });
  context_.runtime.Every(kHostListInterval, [this] { PollHostList(); });
  context_.runtime.Every(kFirstHostListInterval, [this] {
    if (listed_.empty()) PollHostList();
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
  if (on_room) on_room();
}

void WorkerService::PollHostList() {
  auto* store = context_.kernel.Find<StoreService>(kStoreService);
  store->host_list().List([this](PlatformResult<HostListReply> answer) {
    if (!answer.reply) return;
    for (const ListedHost& host : answer.reply->hosts) {
      listed_[host.id] = host;
    }
    auto* members = context_.kernel.Find<MembershipService>(kMembershipService);
    members->membership().OnHostList(answer.reply->hosts, context_.Now());
    Perform(fleet_.OnHostList(answer.reply->hosts, context_.Now()));
  });
}

RackId WorkerService::RackOf(const WorkerId& worker) const {
  const auto found = listed_.find(worker);
  return found == listed_.end() ? RackId() : found->second.rack;
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

void WorkerService::OnReleaseAsked(const RackId& rack, const EntryHostId& by) {
  Perform(fleet_.OnReleaseAsked(rack, by));
}

void WorkerService::Perform(FleetActions actions) {
  auto* members = context_.kernel.Find<MembershipService>(kMembershipService);
  for (FleetAction& action : actions) {
    if (auto* attach = std::get_if<SendAttach>(&action)) {
      Send(*attach);
    } else if (auto* beat = std::get_if<SendWorkerHeartbeat>(&action)) {
      Send(*beat);
    } else if (auto* resolve = std::get_if<SendResolve>(&action)) {
      Send(*resolve);
    } else if (auto* ask = std::get_if<AskRelease>(&action)) {
      members->AskRelease(ask->owner, ask->rack);
    } else if (auto* attached = std::get_if<WorkerAttached>(&action)) {
      OnAttached(*attached);
    } else if (auto* lost = std::get_if<WorkerLost>(&action)) {
      known_.erase(lost->worker);
      const bool is_over = lost->reason == WorkerLossReason::kRestarted ||
                           lost->reason == WorkerLossReason::kRemoved;
      if (is_over && on_worker_lost) on_worker_lost(lost->worker);
      context_.Explain(
          "worker/" + lost->worker.str(), "no longer owned",
          "loss reason " + std::to_string(static_cast<int>(lost->reason)));
    } else if (auto* changed = std::get_if<AttemptChanged>(&action)) {
      known_[changed->worker][changed->report.id] = changed->report;
      Report(changed->worker, changed->incarnation, {changed->report});
    }
  }
}

template <typename Reply, typename Message>
void WorkerService::Call(
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
  Call<AttachReply>(action.address, "/v1/attach", action.call, kCommandTimeout,
                    [this, worker = action.worker, call = action.call, sent_at](
                        const Result<AttachReply>& reply, bool) {
                      Perform(fleet_.OnAttachAnswer(worker, call, reply,
                                                    sent_at, context_.Now()));
                    });
}

void WorkerService::Send(const SendWorkerHeartbeat& action) {
  const Time sent_at = context_.Now();
  Call<WorkerHeartbeatReply>(
      action.address, "/v1/heartbeat", action.call, kCommandTimeout,
      [this, worker = action.worker, call = action.call, sent_at](
          const Result<WorkerHeartbeatReply>& reply, bool) {
        Perform(fleet_.OnHeartbeatAnswer(worker, call, reply, sent_at,
                                         context_.Now()));
      });
}

void WorkerService::Send(const SendResolve& action) {
  Call<RequestReply>(
      action.address, "/v1/requests/cancel", action.call, kCommandTimeout,
      [this, worker = action.worker, exchange = action.call.exchange](
          const Result<RequestReply>& reply, bool) {
        fleet_.OnResolveAnswer(worker, exchange, reply, context_.Now());
        if (reply) on_cancel_reply(worker, *reply);
      });
}

void WorkerService::SendCancel(const WorkerId& worker,
                               const ExchangeId& exchange) {
  const auto where = fleet_.Header(worker, context_.Now());
  if (!where) return;
  Send(SendResolve{worker, where->address, {where->header, exchange}});
}

void WorkerService::SendRequest(const Placement& placement,
                                const RunRequestCall& call, Duration timeout) {
  const ExchangeId exchange = call.exchange;
  Call<RequestReply>(
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
  auto& known = known_[attached.worker];
  known.clear();
  for (const AttemptReport& report : attached.attempts) {
    known[report.id] = report;
  }
  context_.Explain("worker/" + attached.worker.str(), "attached",
                   "epoch " + std::to_string(attached.epoch.value()) + ", " +
                       std::to_string(attached.attempts.size()) +
                       " attempts adopted");
  Report(attached.worker, attached.incarnation, attached.attempts);
}

void WorkerService::Report(const WorkerId& worker, Incarnation incarnation,
                           const std::vector<AttemptReport>& reports) {
  const auto clock = fleet_.EarliestClock(worker, context_.Now());
  if (!clock || !on_reports) return;
  std::map<int, WorkerReports> by_partition;
  for (const AttemptReport& report : reports) {
    WorkerReports& part =
        by_partition[PartitionOf(report.id.customer, context_.settings)];
    part.attempts.push_back(report);
  }
  for (auto& [partition, part] : by_partition) {
    part.worker = worker;
    part.incarnation = incarnation;
    part.clock = *clock;
    on_reports(partition, part);
  }
}

/// The answer to one `AttemptsCall` while commands to workers are open.
struct WorkerService::Pending {
  AttemptsReply reply;
  std::set<WorkerId> report_on;
  std::function<void(AttemptsReply)> done;
  WorkerService* service = nullptr;
  int partition = 0;

  ~Pending() {
    for (const WorkerId& worker : report_on) {
      service->AddReports(worker, partition, reply);
    }
    done(std::move(reply));
  }
};

void WorkerService::Handle(const AttemptsCall& call,
                           std::function<void(AttemptsReply)> done) {
  auto pending = std::make_shared<Pending>();
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
    pending->report_on.insert(renewal.worker);
  }
  for (const PlacedAttempt& attempt : call.acknowledge) {
    fleet_.Acknowledge(attempt.id);
    if (const auto at = known_.find(attempt.worker); at != known_.end()) {
      at->second.erase(attempt.id);
    }
  }
  for (const WorkerId& worker : call.query) pending->report_on.insert(worker);
  for (const PeerStartCall& start : call.start) StartAttempt(start, pending);
  for (const PlacedAttempt& attempt : call.stop) {
    StopAttempt(attempt, pending);
  }
}

void WorkerService::Reserve(const ReserveCall& call, AttemptsReply& reply) {
  const Time now = context_.Now();
  const Work work{.customer = call.id.customer,
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

void WorkerService::StartAttempt(const PeerStartCall& call,
                                 const std::shared_ptr<Pending>& pending) {
  const Result<Placement> placed = fleet_.StartAttempt(call.id, context_.Now());
  const bool is_there = placed && placed->worker == call.worker &&
                        placed->header.incarnation == call.incarnation;
  if (!is_there) {
    // Without room nothing is sent, but an earlier copy of this start may have
    // been: the task owner stops the attempt before it tries elsewhere.
    pending->reply.started.push_back({.id = call.id, .unknown = true});
    return;
  }
  const StartAttemptCall start{
      placed->header, call.id,         call.kind,       call.resources,
      call.payload,   call.checkpoint, call.task_epoch, call.lease_until};
  Call<StartAttemptReply>(
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
                                const std::shared_ptr<Pending>& pending) {
  pending->report_on.insert(attempt.worker);
  const auto where = fleet_.Header(attempt.worker, context_.Now());
  if (!where) return;
  Call<StopAttemptReply>(
      where->address, "/v1/tasks/stop",
      StopAttemptCall{where->header, attempt.id}, kCommandTimeout,
      [this, pending, attempt](const Result<StopAttemptReply>& reply, bool) {
        Perform(fleet_.OnStopAnswer(attempt.id, reply, context_.Now()));
        if (!reply || reply->refused) return;
        // A closed number that never ran is not in the worker's own reports.
        known_[attempt.worker][attempt.id] = reply->report;
      });
}

void WorkerService::AddReports(const WorkerId& worker, int partition,
                               AttemptsReply& reply) {
  const auto clock = fleet_.EarliestClock(worker, context_.Now());
  const auto known = known_.find(worker);
  if (!clock || known == known_.end()) return;
  WorkerReports& reports = reply.reports.emplace_back();
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
  std::string text = "listed workers " + std::to_string(listed_.size()) +
                     ", spare request slots " +
                     std::to_string(fleet_.SpareSlots()) + "\n";
  for (const auto& [id, host] : listed_) {
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
