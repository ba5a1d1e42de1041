#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_DISPATCH_SERVICE_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_DISPATCH_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gypsumfall/dispatch/dispatch.h"
#include "gypsumfall/scheduler/internal/context.h"
#include "gypsumfall/scheduler/internal/duty_service.h"
#include "gypsumfall/scheduler/internal/layout_service.h"
#include "gypsumfall/scheduler/internal/stored_jobs.h"
#include "gypsumfall/scheduler/internal/worker_list_service.h"

namespace gypsumfall::scheduler_internal {

/// Runs the dispatcher of a shard while this host holds its duty: feeds it,
/// sends its orders and stores its records.
class DispatchService : public WorkerListFollower {
 public:
  DispatchService(Context& context, const ShardScope& scope, DutyService& duty,
                  LayoutService& layout, WorkerListService& worker_list);

  /// To be called often.
  void Tick();
  /// Further racks have been assigned, maybe to this shard.
  void OnRacksAssigned();
  std::string Dump() const;

  void OnListed(const WorkerEntry& entry) override;
  void OnUnlisted(const WorkerId& id) override;

  /// @return whether this host schedules now.
  bool is_scheduling() const;

  /// A job was accepted by any host. Only while scheduling.
  JobAcceptedReply OnAccepted(JobRecord record);
  JobStateReply StateOf(const JobId& id) const;
  std::uint64_t CountWaiting(const QueueId& queue) const;
  /// Cancels a job; `done` learns whether it is known, once that is stored.
  /// It is dropped if the duty is lost.
  void Cancel(const JobId& id, UniqueFunction<bool> done);

 private:
  void Begin();
  void Load();
  void OnLoaded(Result<StoredState> loaded);
  void End();
  void Pump();
  void PumpSoon();
  void Send(Order& order);
  void SendStart(const StartOrder& order);
  void SendStop(const StopOrder& order);
  void SendLease(const LeaseOrder& order);
  void SendPace(const PaceOrder& order);
  void StoreRecords(Time now);
  void OnStored(const RecordBatch& batch);
  void RemovePlacements(const std::vector<JobId>& expired);
  void FollowJobs();
  void TakeUnreported(const std::vector<StoredRow>& rows);
  void LogNotes();

  Context& context_;
  const ShardScope& scope_;
  Logger log_{"dispatch"};
  DutyService& duty_;
  LayoutService& layout_;
  WorkerListService& worker_list_;
  Timer pump_;
  Timer load_retry_;
  /// Grows whenever scheduling begins or ends; answers of another turn are
  /// ignored.
  std::uint64_t turn_ = 0;
  std::unique_ptr<Dispatcher> dispatcher_;
  Time began_at_{};
  RowVersion jobs_followed_;
  Time next_job_scan_{};
  bool following_jobs_ = false;
  std::multimap<JobId, UniqueFunction<bool>> cancels_;

  Counter& starts_;
  Counter& refused_starts_;
  Counter& unanswered_;
  Counter& records_;
  LatencyHistogram& store_time_;
  LatencyHistogram& takeover_time_;
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_DISPATCH_SERVICE_H_
