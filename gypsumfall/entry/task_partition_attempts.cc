#include <algorithm>
#include <utility>

#include "gypsumfall/entry/internal/membership_service.h"
#include "gypsumfall/entry/internal/task_partition.h"
#include "gypsumfall/entry/internal/worker_service.h"

namespace gypsumfall {
namespace {

// Longer than the worker owner's own call to the worker, which it includes.
constexpr Duration kAttemptsTimeout = seconds(3);

template <typename Item>
const Item* FindAttempt(const std::vector<Item>& items, const AttemptId& id) {
  const auto found =
      std::find_if(items.begin(), items.end(),
                   [&](const Item& item) { return item.id == id; });
  return found == items.end() ? nullptr : &*found;
}

}  // namespace

AttemptsCall& TaskPartition::CallTo(const EntryHostId& owner,
                                    Outbox& outbox) const {
  AttemptsCall& call = outbox[owner];
  call.from = context_.self();
  call.partition = options_.number;
  return call;
}

void TaskPartition::AddToOutbox(const TaskAction& action, Outbox& outbox) {
  if (const auto* reserve = std::get_if<RequestReservation>(&action)) {
    reservation_refusals_[reserve->id] = 0;
    CallTo(context_.self(), outbox)
        .reserve.push_back(
            {reserve->id, reserve->kind, reserve->resources, reserve->avoid});
  } else if (const auto* start = std::get_if<StartAttempt>(&action)) {
    if (context_.Now() > start->send_before) {
      context_.runtime.Post(
          [this, weak = std::weak_ptr(lifetime_token_), id = start->id] {
            if (weak.expired()) return;
            Perform(table_->OnStartUnknown(id, context_.Now()));
          });
      return;
    }
    CallTo(OwnerOf(start->worker), outbox)
        .start.push_back({start->worker, start->incarnation, start->id,
                          start->kind, start->resources, start->payload,
                          start->checkpoint, start->task_epoch,
                          start->lease_until});
  } else if (const auto* renew = std::get_if<RenewAttempt>(&action)) {
    // The authority to renew ends at a fixed time, so it is checked right
    // before the call is sent.
    if (context_.Now() > renew->send_before) return;
    CallTo(OwnerOf(renew->worker), outbox)
        .renew.push_back({renew->worker,
                          renew->incarnation,
                          {renew->id, renew->task_epoch, renew->lease_until}});
  } else if (const auto* query = std::get_if<QueryWorker>(&action)) {
    CallTo(OwnerOf(query->worker), outbox).query.push_back(query->worker);
  } else if (const auto* stop = std::get_if<StopAttempt>(&action)) {
    CallTo(OwnerOf(stop->worker), outbox)
        .stop.push_back({stop->worker, stop->id});
  } else if (const auto* done = std::get_if<AcknowledgeAttempt>(&action)) {
    CallTo(OwnerOf(done->worker), outbox)
        .acknowledge.push_back({done->worker, done->id});
  }
}

void TaskPartition::SendOutbox(Outbox&& outbox) {
  for (auto& [owner, call] : outbox) SendTo(owner, std::move(call));
}

EntryHostId TaskPartition::OwnerOf(const WorkerId& worker) const {
  auto* workers = context_.kernel.Find<WorkerService>(kWorkerService);
  const auto local = workers->fleet().Snapshot(worker);
  if (local && local->owned) return context_.self();
  auto* members = context_.kernel.Find<MembershipService>(kMembershipService);
  const RackId rack = workers->RackOf(worker);
  for (const PeerSettings& peer : context_.settings.peers) {
    const HostView* view = members->membership().Host(peer.id);
    if (view == nullptr || view->state == HostState::kGone) continue;
    const std::vector<RackId>& racks = view->summary.owned_racks;
    if (std::find(racks.begin(), racks.end(), rack) != racks.end()) {
      return peer.id;
    }
  }
  const auto last_known = worker_owners_.find(worker);
  return last_known == worker_owners_.end() ? context_.self()
                                            : last_known->second;
}

std::vector<EntryHostId> TaskPartition::ReservationOrder() const {
  auto* members = context_.kernel.Find<MembershipService>(kMembershipService);
  std::vector<EntryHostId> order = {context_.self()};
  const auto peers = members->membership().ForwardTargets();
  order.insert(order.end(), peers.begin(), peers.end());
  return order;
}

void TaskPartition::SendTo(const EntryHostId& owner, AttemptsCall call) {
  if (owner == context_.self()) {
    auto* workers = context_.kernel.Find<WorkerService>(kWorkerService);
    workers->Handle(call, [this, weak = std::weak_ptr(lifetime_token_), owner,
                           call](AttemptsReply reply) {
      // Posted, because an immediate answer arrives while the task table is
      // still handling an event.
      context_.runtime.Post(
          [this, weak, owner, call, reply = std::move(reply)] {
            if (!weak.expired()) OnAnswer(owner, call, reply);
          });
    });
    return;
  }
  auto* members = context_.kernel.Find<MembershipService>(kMembershipService);
  HttpCall http{.path = "/peer/v1/attempts",
                .bearer = context_.settings.keys.peer_key.Reveal(),
                .body = Encode(call)};
  const std::string address = members->AddressOf(owner);
  context_.clients.Call(
      address, std::move(http), kAttemptsTimeout,
      [this, weak = std::weak_ptr(lifetime_token_), owner, members,
       call = std::move(call)](const CallOutcome& outcome) {
        if (weak.expired()) return;
        members->OnCallOutcome(owner, outcome);
        std::optional<AttemptsReply> reply;
        if (!outcome.failure && outcome.status == 200) {
          auto decoded = Decode<AttemptsReply>(outcome.body);
          if (decoded) reply = std::move(*decoded);
        }
        OnAnswer(owner, call, reply);
      });
}

void TaskPartition::OnAnswer(const EntryHostId& owner, const AttemptsCall& call,
                             const std::optional<AttemptsReply>& reply) {
  if (on_quiesced_) return;
  for (const ReserveCall& reserve : call.reserve) {
    OnReserved(owner, reserve,
               reply ? FindAttempt(reply->reserved, reserve.id) : nullptr);
  }
  for (const PeerStartCall& start : call.start) {
    OnStarted(start, reply ? FindAttempt(reply->started, start.id) : nullptr);
  }
  if (!reply) return;
  for (const WorkerAttemptReports& reports : reply->reports) {
    worker_owners_[reports.worker] = owner;
    OnReports(reports);
  }
}

void TaskPartition::OnStarted(const PeerStartCall& call,
                              const PeerStartReply* reply) {
  const Time now = context_.Now();
  if (reply == nullptr || reply->unknown) {
    Perform(table_->OnStartUnknown(call.id, now));
    return;
  }
  Perform(table_->OnStartReply(call.id, {reply->refused, reply->clock}, now));
}

void TaskPartition::OnReserved(const EntryHostId& owner,
                               const ReserveCall& call,
                               const ReserveReply* reply) {
  const Time now = context_.Now();
  if (reply != nullptr && !reply->worker.empty()) {
    worker_owners_[reply->worker] = owner;
    reservation_refusals_.erase(call.id);
    context_.Explain(
        "task/" + call.id.customer.str() + "/" + call.id.task.str(),
        "placed on " + reply->worker.str(),
        "attempt " + std::to_string(call.id.number.value()) +
            ", room granted by " + owner.str());
    Perform(table_->OnReservation(
        call.id,
        WorkerClockReading{reply->worker, reply->incarnation, reply->clock},
        now));
    return;
  }
  const std::vector<EntryHostId> order = ReservationOrder();
  const std::size_t next = ++reservation_refusals_[call.id];
  if (next < order.size()) {
    Outbox outbox;
    CallTo(order[next], outbox).reserve.push_back(call);
    SendOutbox(std::move(outbox));
    return;
  }
  reservation_refusals_.erase(call.id);
  Perform(table_->OnReservation(
      call.id, Fail(ErrorKind::kNoCapacity, "no worker has room"), now));
}

}  // namespace gypsumfall
