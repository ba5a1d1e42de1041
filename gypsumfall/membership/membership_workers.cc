#include <algorithm>

#include "gypsumfall/membership/membership.h"

namespace gypsumfall {

void Membership::OnHostList(std::span<const ListedHost> hosts, Time now) {
  std::map<WorkerId, WorkerEntry> known;
  for (const ListedHost& host : hosts) {
    const auto found = workers_.find(host.id);
    WorkerEntry& worker = known[host.id];
    if (found != workers_.end()) worker = found->second;
    worker.view.data_centre = host.data_centre;
    worker.listed_live = host.live;
    worker.listed_leaving = host.leaving;
    UpdateWorker(worker, now);
  }
  if (known.size() != workers_.size()) ++version_;
  workers_ = std::move(known);
}

void Membership::OnWorkerAnswered(const WorkerId& worker,
                                  Incarnation incarnation, bool leaving,
                                  Time sent_at, Time now) {
  const auto found = workers_.find(worker);
  if (found == workers_.end()) return;
  WorkerEntry& entry = found->second;
  // Answers can arrive out of order: ignores those of an older incarnation, and
  // never clears the leaving flag within an incarnation.
  if (incarnation < entry.incarnation) return;
  const bool restarted = incarnation > entry.incarnation;
  entry.incarnation = incarnation;
  entry.leaving = restarted ? leaving : entry.leaving || leaving;
  entry.answered_at = now;
  entry.confirmed_at = std::max(entry.confirmed_at, sent_at);
  entry.refused = false;
  entry.timed_out = false;
  UpdateWorker(entry, now);
}

void Membership::OnWorkerRefused(const WorkerId& worker, Time now) {
  const auto found = workers_.find(worker);
  if (found == workers_.end()) return;
  found->second.refused = true;
  UpdateWorker(found->second, now);
}

void Membership::OnWorkerTimedOut(const WorkerId& worker, Time now) {
  const auto found = workers_.find(worker);
  if (found == workers_.end()) return;
  found->second.timed_out = true;
  UpdateWorker(found->second, now);
}

// Answers of the worker take precedence over a host list that reports it dead,
// because the list lags. A leaving mark from either takes effect immediately.
HostState Membership::StateOfWorker(const WorkerEntry& worker, Time now) const {
  const bool answers = worker.answered_at &&
                       now - *worker.answered_at < settings_.worker_gone_after;
  if (!answers && !worker.listed_live) return HostState::kGone;
  if (!answers && worker.refused) return HostState::kGone;
  if (worker.leaving || worker.listed_leaving) return HostState::kLeaving;
  const bool stale = now >= worker.view.stop_sending_at;
  if (!answers || stale || worker.refused || worker.timed_out) {
    return HostState::kSuspect;
  }
  return HostState::kAlive;
}

void Membership::UpdateWorker(WorkerEntry& worker, Time now) {
  const bool confirmed =
      worker.answered_at && !worker.leaving && !worker.listed_leaving;
  if (confirmed) {
    worker.view.stop_sending_at =
        worker.confirmed_at + settings_.worker_answer_validity;
  } else {
    worker.view.stop_sending_at = std::min(worker.view.stop_sending_at, now);
  }
  const HostState state = StateOfWorker(worker, now);
  if (state != worker.view.state) ++version_;
  worker.view.state = state;
}

const WorkerView* Membership::Worker(const WorkerId& worker) const {
  const auto found = workers_.find(worker);
  return found == workers_.end() ? nullptr : &found->second.view;
}

bool Membership::MaySendTo(const WorkerId& worker, Time now) const {
  const auto found = workers_.find(worker);
  return found != workers_.end() &&
         StateOfWorker(found->second, now) == HostState::kAlive;
}

}  // namespace gypsumfall
