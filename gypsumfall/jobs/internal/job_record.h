#ifndef GYPSUMFALL_JOBS_INTERNAL_JOB_RECORD_H_
#define GYPSUMFALL_JOBS_INTERNAL_JOB_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/jobs/internal/job_spec.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

/// Work, in milliseconds of one busy core.
using CoreMilliseconds = StrongNumber<struct CoreMillisecondsTag, std::int64_t>;

/// State of a job as callers see it.
enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

/// @return whether the job has ended and never runs again.
constexpr bool IsFinal(JobState state) { return state >= JobState::kCompleted; }

/// Contract terms of the queue when the job was accepted. Stored with the job,
/// because the queue may be removed before the job ends.
struct JobTerms {
  /// Service whose workers run the tasks.
  ServiceId service;
  /// Scheduling priority; 0 is the highest.
  int priority = 0;
  /// Number of failed runs of a task after which its job fails.
  int max_attempts = 1;
  /// The job is on time if it ends within this time after its acceptance.
  Duration objective{0};
};

/// An accepted job as it is stored.
struct JobRecord {
  JobId id;
  QueueId queue;
  JobTerms terms;
  /// Newest scheduler epoch known to the accepting host. Later epochs use run
  /// numbers above those of this epoch.
  Epoch accepted_epoch;
  WallTime accepted_at{0};
  JobSpec spec;
};

/// Stored progress of one step of one occurrence, in the form of earlier
/// versions, which stored all progress of a job in one row.
struct StepProgress {
  int occurrence = 0;
  int step = 0;
  /// One character for each task: '1' if it is done, otherwise '0'.
  std::string done;
  /// Numbers of the failed runs of each task, so that a completion that is
  /// reported again is not counted again; empty if no task has failed.
  std::vector<std::vector<std::uint64_t>> failed_runs;
};

/// Identifies a row with progress of a job.
struct ProgressRowId {
  /// Stands for the row with the `JobProgress`; the other rows hold a
  /// `ChunkProgress`.
  static constexpr int kWholeJob = -1;

  JobId job;
  int occurrence = kWholeJob;
  int chunk = 0;

  friend auto operator<=>(const ProgressRowId&, const ProgressRowId&) = default;
};

/// The failed runs of a task.
struct TaskFailures {
  /// Number of the task in its chunk.
  int task = 0;
  /// Number of failed runs whose numbers are no longer known.
  int forgotten = 0;
  std::vector<std::uint64_t> runs;
};

/// Stored progress of a chunk, which consists of `TasksPerChunk` consecutive
/// tasks of one occurrence. The tasks of all steps are counted together. The
/// row is limited in size, whatever the job is like.
struct ChunkProgress {
  ProgressRowId row;
  /// Tasks of the chunk that are done.
  BitSet done;
  std::vector<TaskFailures> failures;
};

/// Failed runs of a task of which the numbers are kept.
inline constexpr std::size_t kMaxFailedRuns = 128;

/// @return the number of tasks in a chunk, for which the row with their
///   progress is small enough that a full batch of such rows fits in one
///   transaction.
int TasksPerChunk(const JobTerms& terms);

/// Stored progress of a job. With a final state it replaces the record of the
/// job.
struct JobProgress {
  JobId id;
  QueueId queue;
  JobState state = JobState::kQueued;
  /// Time at which the job reached its final state; 0 before.
  WallTime ended_at{0};
  /// Progress in the form of earlier versions.
  std::vector<StepProgress> steps;
  /// Occurrences of which all tasks are done. Their chunks have no rows.
  BitSet completed;
  /// The job was cancelled before it was accepted. The row takes the place of
  /// its record, so that a late write does not store the job; callers are told
  /// that there is no such job.
  bool never_accepted = false;
};

/// Moves a task of a sliced job to another shard. The shard that gives the task
/// away stores it.
struct TaskTransfer {
  TaskName task;
  /// Shard that runs the task from now on.
  ShardId shard;
  /// Number of transfers of the task, this one included. The transfer with the
  /// highest number decides which shard runs the task.
  std::uint64_t number = 0;
  /// Highest run number that was used or may have been used before.
  RunNumber last_run;
  /// Checkpoint of the task; empty if there is none.
  Checkpoint checkpoint;
};

/// Checkpoint of a task that waits for its next run.
struct TaskCheckpoint {
  TaskName task;
  Checkpoint checkpoint;
};

/// Moves a job that is not sliced to another shard, with all its progress. The
/// shard that gives the job away stores it. A job that ends away from its home
/// shard is moved back there in its final state.
struct JobMove {
  /// The job. Its epoch of acceptance is one of the shard that runs the job
  /// from now on. Without steps if the job has ended.
  JobRecord record;
  /// Shard to which the id of the job belongs.
  ShardId home;
  /// Shard that has given the job away.
  ShardId from;
  /// Shard that runs the job from now on, or stores its final state.
  ShardId to;
  /// Number of moves of the job, this one included. The move with the highest
  /// number decides which shard runs the job.
  std::uint64_t number = 0;
  /// Highest run number that was used or may have been used before.
  RunNumber last_run;
  /// A worker has started a task of the job.
  bool started = false;
  /// The job was moved because of the load, by this move or an earlier one.
  bool for_load = false;
  JobProgress progress;
  std::vector<ChunkProgress> chunks;
  std::vector<TaskCheckpoint> checkpoints;
};

/// A worker that may hold a lease. Stored in a row of its own, so that a
/// successor waits until the lease expires.
struct RosterEntry {
  WorkerId id;
  /// "ip:port".
  std::string endpoint;
  /// Time by which the lease has expired. While it is set, no leader extends
  /// the lease; unset while the lease is being extended.
  std::optional<StoreTime> lease_end;
};

/// All workers that may hold a lease, in the form of earlier versions, which
/// stored them in one row.
struct Roster {
  std::vector<RosterEntry> workers;
};

/// Stored leadership of a scheduler: the host that holds it, and the epoch.
struct LeaderRecord {
  EntryHostId holder;
  /// "ip:port" of the holder's internal listener.
  std::string endpoint;
  /// Id of the holder's process, which reveals a restart under the same name.
  std::string process;
  Epoch epoch;
  /// Processors of the holder; 0 if unknown.
  MilliCores processors;
  /// Number of renewals in the epoch.
  std::uint64_t renewal = 0;
  /// The holder has given up leadership and sends no more orders.
  bool released = false;
  /// The accepted jobs need all the memory that they may; no further ones are
  /// accepted.
  bool full = false;
  /// Host to which the holder has handed leadership over; empty if it released
  /// it to any host.
  EntryHostId successor;
  /// Time from the write of the row in which holders before this one may still
  /// send orders; unset in rows of earlier versions.
  std::optional<milliseconds> predecessor_slack;
  /// Encoded `LoadSummary` of the shard; empty if the holder makes none, and in
  /// rows of earlier versions.
  std::string load;

  friend bool operator==(const LeaderRecord&, const LeaderRecord&) = default;
};

/// Reply of the scheduling host to another entry host: the state of a job.
struct JobStateReply {
  bool known = false;
  JobState state = JobState::kQueued;
  /// Shard to which the job was moved, and which knows its present state.
  std::optional<ShardId> moved_to = {};
};

/// Reply to a query for the length of a queue.
struct QueueLengthReply {
  /// Number of accepted jobs of which no task has started.
  std::uint64_t waiting = 0;
};

/// Asks the leader of a shard to hand leadership over to a larger host.
struct HandoverRequest {
  EntryHostId host;
  MilliCores processors;
};

/// Asks the leader of a shard to reserve workers for tasks of sliced jobs that
/// other shards are to run.
struct ReservePlacesRequest {
  std::vector<TaskName> tasks;
  /// Those of them that no worker of the asking shard could run, even if all
  /// runs of finite length ended.
  std::vector<TaskName> unplaceable;
};

/// The tasks for which workers are reserved.
struct ReservePlacesReply {
  std::vector<TaskName> reserved;
};

/// A job that waits in a shard, and the step for which it finds no worker
/// there.
struct JobOffer {
  JobId job;
  JobTerms terms;
  StepSpec step;
};

/// A job that its shard could run later, and the wait for that.
struct LoadOffer {
  JobOffer offer;
  /// Time for which the step has waited, and the expected further wait.
  Duration waited{0};
  Duration expected_wait{0};
  /// Work of the steps of the same or higher priority that wait in the shard.
  CoreMilliseconds backlog;
};

/// Asks the leader of a shard which of the jobs its workers could run.
struct OfferJobsRequest {
  std::vector<JobOffer> offers;
  /// Jobs that are to move only if they start at once. In a list of their own,
  /// which leaders of earlier versions ignore.
  std::vector<LoadOffer> load_offers;
};

/// The jobs that the shard can take, and the epoch of its leader.
struct OfferJobsReply {
  Epoch epoch;
  std::vector<JobId> wanted;
  /// The jobs of `load_offers` that the shard would start at once.
  std::vector<JobId> wanted_for_load;
};

/// Asks the leader of a shard to store an accepted job for a host whose own
/// write was not applied or has an unknown outcome.
struct StoreJobRequest {
  /// Whether all shards run slices of the job.
  bool sliced = false;
  /// Time for which the write may be waited for.
  milliseconds timeout{0};
  /// The encoded record, which is written unchanged, so that a conflict with
  /// an earlier write of the same job is recognised.
  std::string record;
};

/// Outcome of the write of an accepted job.
enum class StoreJobOutcome {
  kDone,
  /// A row of the job exists already.
  kConflict,
  /// Nothing was stored and nothing will be.
  kNotApplied,
  /// The store rejects the row for its content.
  kRejected,
  /// The job may have been stored or may still be.
  kUnknown,
};

/// Reply to a request to store a job.
struct StoreJobReply {
  StoreJobOutcome outcome = StoreJobOutcome::kUnknown;
  /// For `kConflict`: the values of the current rows of the job.
  std::vector<std::string> current;
};

/// Asks the scheduling host for the state of a job.
struct JobQuery {
  JobId id;
};

/// Asks the scheduling host for the length of a queue.
struct QueueQuery {
  QueueId queue;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_JOBS_INTERNAL_JOB_RECORD_H_
