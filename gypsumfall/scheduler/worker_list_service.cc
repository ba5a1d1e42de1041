#include "gypsumfall/scheduler/internal/worker_list_service.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gypsumfall::scheduler_internal {
namespace {

constexpr Duration kReadTimeout = milliseconds(800);
constexpr Duration kChangeWait = milliseconds(1000);
// Heartbeats of a large fleet change the list continuously. This interval
// batches many changes into one call and is well below the time within which a
// draining worker must not receive further work.
constexpr Duration kReadInterval = milliseconds(300);
constexpr Duration kFirstRetryDelay = milliseconds(50);
constexpr Duration kMaxRetryDelay = milliseconds(400);

// Workers whose entries expired during a store outage register again within two
// seconds after its end; the rest allows for one heartbeat in transit.
constexpr Duration kReregistrationTime = milliseconds(2300);
// Entries that are missing within this time after a failed read may have
// expired because of the outage.
constexpr Duration kOutageWindow = seconds(4);

}  // namespace

WorkerListService::WorkerListService(Context& context)
    : context_(context),
      retry_(context.runtime, [this] { ReadAll(); }),
      read_timer_(context.runtime, [this] { AwaitChange(); }),
      removal_timer_(context.runtime, [this] { RemoveMissing(); }) {}

void WorkerListService::Stop(std::function<void()> stopped) {
  observers_.clear();
  ++generation_;
  stopped();
}

void WorkerListService::Subscribe(WorkerListObserver& observer) {
  if (!observers_.insert(&observer).second) return;
  if (observers_.size() > 1) {
    Replay(observer);
    return;
  }
  ++generation_;
  listed_workers_.clear();
  removal_times_.clear();
  ReadAll();
}

void WorkerListService::Unsubscribe(WorkerListObserver& observer) {
  if (observers_.erase(&observer) > 0 && observers_.empty()) ++generation_;
}

void WorkerListService::Replay(WorkerListObserver& observer) const {
  for (const auto& [id, entry] : listed_workers_) observer.OnListed(entry);
}

void WorkerListService::ReadAll() {
  if (observers_.empty()) return;
  LoadRows(context_, context_.ports.directory.worker_table, "", kReadTimeout,
           [this, generation = generation_](const LoadedRows& loaded) {
             if (generation != generation_) return;
             if (loaded.outcome != StoreOutcome::kDone) {
               RetryLater(loaded.outcome);
               return;
             }
             failures_ = 0;
             read_version_ = loaded.version;
             ApplyAll(loaded);
             AwaitChange();
           });
}

void WorkerListService::AwaitChange() {
  if (observers_.empty()) return;
  context_.ports.store.changes(
      context_.ports.directory.worker_table, read_version_, kChangeWait,
      kChangeWait + kReadTimeout,
      [this, generation = generation_,
       sent = context_.Now()](const RowPage& page) {
        if (generation != generation_) return;
        if (page.outcome != StoreOutcome::kDone) {
          RetryLater(page.outcome);
          return;
        }
        read_version_ = std::max(read_version_, page.version);
        for (const StoredRow& row : page.rows) Apply(row);
        read_timer_.ScheduleNoLaterThan(sent + kReadInterval);
      });
}

void WorkerListService::RetryLater(StoreOutcome outcome) {
  last_failure_ = context_.Now();
  if (failures_++ == 0) {
    log_.Warning("cannot read the worker list; retrying",
                 {{"outcome", StoreOutcomeName(outcome)},
                  {"listed", listed_workers_.size()}});
  }
  const Duration delay = kFirstRetryDelay * (1 << std::min(failures_, 4));
  retry_.ScheduleNoLaterThan(context_.Now() + std::min(delay, kMaxRetryDelay));
}

void WorkerListService::ApplyAll(const LoadedRows& loaded) {
  std::set<WorkerId> present;
  for (const StoredRow& row : loaded.rows) {
    present.insert(WorkerId(row.address.key));
    Apply(row);
  }
  std::vector<WorkerId> absent;
  for (const auto& [id, entry] : listed_workers_) {
    if (!present.contains(id)) absent.push_back(id);
  }
  for (const WorkerId& id : absent) MarkMissing(id);
}

void WorkerListService::Apply(const StoredRow& row) {
  const WorkerId id(row.address.key);
  if (row.removed) {
    if (listed_workers_.contains(id)) MarkMissing(id);
    return;
  }
  Result<WorkerEntry> entry = context_.ports.directory.decode_worker(row);
  if (!entry) {
    log_.Warning("invalid row in the worker list",
                 {{"key", id}, {"why", entry.error().detail}});
    if (listed_workers_.contains(id)) MarkMissing(id);
    return;
  }
  removal_times_.erase(id);
  listed_workers_.insert_or_assign(id, *entry);
  for (WorkerListObserver* observer : observers_) observer->OnListed(*entry);
}

void WorkerListService::MarkMissing(const WorkerId& id) {
  const Time now = context_.Now();
  const bool outage = now < last_failure_ + kOutageWindow;
  const Time removal_time =
      outage ? std::max(now, last_failure_) + kReregistrationTime : now;
  removal_times_.try_emplace(id, removal_time);
  if (outage) {
    removal_timer_.ScheduleNoLaterThan(removal_time);
  } else {
    RemoveMissing();
  }
}

void WorkerListService::RemoveMissing() {
  const Time now = context_.Now();
  Time next_removal = Time::max();
  for (auto missing = removal_times_.begin();
       missing != removal_times_.end();) {
    if (missing->second > now) {
      next_removal = std::min(next_removal, missing->second);
      ++missing;
      continue;
    }
    const WorkerId id = missing->first;
    missing = removal_times_.erase(missing);
    listed_workers_.erase(id);
    for (WorkerListObserver* observer : observers_) observer->OnUnlisted(id);
  }
  if (next_removal != Time::max())
    removal_timer_.ScheduleNoLaterThan(next_removal);
}

std::string WorkerListService::Dump() const {
  return "followers " + std::to_string(observers_.size()) + ", listed " +
         std::to_string(listed_workers_.size()) + ", missing " +
         std::to_string(removal_times_.size()) + "\n";
}

}  // namespace gypsumfall::scheduler_internal
