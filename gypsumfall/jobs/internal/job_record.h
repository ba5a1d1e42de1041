#ifndef GYPSUMFALL_JOBS_INTERNAL_JOB_RECORD_H_
#define GYPSUMFALL_JOBS_INTERNAL_JOB_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/jobs/internal/job_spec.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

/// Where a job stands, as callers are told.
enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

/// @return whether the job never runs again.
constexpr bool IsFinal(JobState state) { return state >= JobState::kCompleted; }

/// What the queue's contract said when the job was accepted. Kept with the
/// job, since the queue may be removed before the job has ended.
struct JobTerms {
  /// Whose workers run the tasks.
  ServiceId service;
  /// 0 comes first.
  int priority = 0;
  /// Failed runs of a task after which its job has failed.
  int max_attempts = 1;
  /// The job is on time if it ends this long after its acceptance.
  Duration objective{0};
};

/// An accepted job as it is stored.
struct JobRecord {
  JobId id;
  QueueId queue;
  JobTerms terms;
  /// Newest scheduler epoch that the accepting host knew. Run numbers of later
  /// epochs start above those of this one.
  Epoch accepted_in;
  WallTime accepted_at{0};
  JobSpec spec;
};

/// Durable progress of one step of one occurrence.
struct StepProgress {
  int occurrence = 0;
  int step = 0;
  /// One character for each task: '1' if it is done, otherwise '0'.
  std::string done;
  /// Numbers of the failed runs of each task, so that an end that is listed
  /// again is not counted again; empty if no task has failed.
  std::vector<std::vector<std::uint64_t>> failed_runs;
};

/// Durable progress of a job. With a final state it replaces the job's record.
struct JobProgress {
  JobId id;
  QueueId queue;
  JobState state = JobState::kQueued;
  /// Time of the final state; 0 before.
  WallTime ended_at{0};
  std::vector<StepProgress> steps;
};

/// A worker that may hold a lease.
struct RosterEntry {
  WorkerId id;
  /// "ip:port".
  std::string endpoint;
};

/// All workers that may hold a lease; stored so that a successor waits for
/// them.
struct Roster {
  std::vector<RosterEntry> workers;
};

/// The scheduler's duty as it is stored: who decides, in which epoch.
struct DutyRecord {
  EntryHostId holder;
  /// "ip:port" of the holder's internal listener.
  std::string endpoint;
  /// Process of the holder, so that a restart under the same name shows.
  std::string process;
  Epoch epoch;
  /// Processors of the holder; 0 if it did not say.
  MilliCores processors;
  /// Counts the renewals in the epoch.
  std::uint64_t renewal = 0;
  /// The holder has given the duty back and orders nothing any more.
  bool released = false;

  friend bool operator==(const DutyRecord&, const DutyRecord&) = default;
};

/// Answers of the scheduling host to the other entry hosts.
struct JobStateReply {
  bool known = false;
  JobState state = JobState::kQueued;
};

/// Answer to the report of an accepted job.
struct JobAcceptedReply {
  /// Processors of the shard's workers that no task has reserved, and all.
  MilliCores free;
  MilliCores capacity;
};

struct QueueLengthReply {
  std::uint64_t waiting = 0;
};

/// Identifies a job to the scheduling host.
struct JobQuery {
  JobId id;
};

/// Identifies a queue to the scheduling host.
struct QueueQuery {
  QueueId queue;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_JOBS_INTERNAL_JOB_RECORD_H_
