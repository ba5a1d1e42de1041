#include <array>
#include <string>
#include <string_view>

#include "gypsumfall/jobs/jobs.h"
#include "gypsumfall/protocol/internal/codec_impl.h"

namespace gypsumfall {
namespace protocol_internal {

template <>
struct EnumNames<JobState> {
  static constexpr std::array<std::string_view, 5> kNames = {
      "queued", "running", "completed", "failed", "cancelled"};
};

template <>
struct EnumNames<StoreJobOutcome> {
  static constexpr std::array<std::string_view, 5> kNames = {
      "done", "conflict", "not_applied", "rejected", "unknown"};
};

}  // namespace protocol_internal

namespace {

// Visits an optional field. It is omitted from rows while it has its default,
// which keeps typical records small.
template <typename Visitor, typename T>
void OptionalField(Visitor& visit, std::string_view name, T& value) {
  if constexpr (std::is_same_v<Visitor, protocol_internal::JsonWriter>) {
    if (value != T{}) visit(name, value);
  } else {
    visit.WithDefault(name, value);
  }
}

// Visits a field that may be unset, which differs from its value 0.
template <typename Visitor, typename T>
void NullableMillisecondsField(Visitor& visit, std::string_view name,
                               T& value) {
  constexpr std::int64_t kUnset = -1;
  std::int64_t count = value ? value->count() : kUnset;
  if constexpr (std::is_same_v<Visitor, protocol_internal::JsonWriter>) {
    if (value) visit(name, count);
  } else {
    visit.WithDefault(name, count);
    if (count != kUnset) value = milliseconds(count);
  }
}

// Visits a shard that may be unset.
template <typename Visitor, typename T>
void NullableShardField(Visitor& visit, std::string_view name, T& shard) {
  constexpr std::int64_t kUnset = -1;
  std::int64_t number =
      shard ? static_cast<std::int64_t>(shard->value()) : kUnset;
  if constexpr (std::is_same_v<Visitor, protocol_internal::JsonWriter>) {
    if (shard) visit(name, number);
  } else {
    visit.WithDefault(name, number);
    if (number != kUnset) shard = ShardId(static_cast<std::uint64_t>(number));
  }
}

// Visits a list, which is omitted from rows while it is empty.
template <typename Visitor, typename T>
void ListField(Visitor& visit, std::string_view name, T& list) {
  if constexpr (std::is_same_v<Visitor, protocol_internal::JsonWriter>) {
    if (!list.empty()) visit(name, list);
  } else {
    visit.WithDefault(name, list);
  }
}

// Visits a duration, encoded in whole milliseconds.
template <typename Visitor, typename T>
void MillisecondsField(Visitor& visit, std::string_view name, T& value) {
  std::int64_t count = std::chrono::duration_cast<milliseconds>(value).count();
  OptionalField(visit, name, count);
  if constexpr (!std::is_const_v<T>) value = milliseconds(count);
}

}  // namespace

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<StepSpec> auto& step) {
  visit("tasks", step.task_count);
  visit("need", step.need);
  MillisecondsField(visit, "declared_ms", step.declared_run_time);
  OptionalField(visit, "after", step.after);
  OptionalField(visit, "checkpoints", step.checkpoints);
  OptionalField(visit, "gang", step.gang);
  OptionalField(visit, "same_rack", step.same_rack);
  OptionalField(visit, "required_label", step.required_label);
  OptionalField(visit, "data_rack", step.data_rack);
  OptionalField(visit, "max_per_worker", step.max_per_worker);
  OptionalField(visit, "duplicates_allowed", step.duplicates_allowed);
  OptionalField(visit, "long_running", step.long_running);
  OptionalField(visit, "image", step.image);
  MillisecondsField(visit, "tail_target_ms", step.tail_target);
  OptionalField(visit, "fills", step.best_effort);
  OptionalField(visit, "may_be_away", step.max_unavailable);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<JobSpec> auto& spec) {
  visit("payload", spec.payload);
  visit("steps", spec.steps);
  OptionalField(visit, "repetitions", spec.repetitions);
  MillisecondsField(visit, "first_due_ms", spec.first_due);
  MillisecondsField(visit, "interval_ms", spec.interval);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<JobTerms> auto& terms) {
  visit("service", terms.service);
  OptionalField(visit, "priority", terms.priority);
  visit("max_attempts", terms.max_attempts);
  MillisecondsField(visit, "objective_ms", terms.objective);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<JobRecord> auto& record) {
  visit("id", record.id);
  visit("queue", record.queue);
  visit("terms", record.terms);
  visit("accepted_in", record.accepted_epoch);
  MillisecondsField(visit, "accepted_at_ms", record.accepted_at);
  visit("spec", record.spec);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<StepProgress> auto& step) {
  OptionalField(visit, "occurrence", step.occurrence);
  OptionalField(visit, "step", step.step);
  visit("done", step.done);
  OptionalField(visit, "failed_runs", step.failed_runs);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<TaskFailures> auto& failures) {
  OptionalField(visit, "task", failures.task);
  OptionalField(visit, "forgotten", failures.forgotten);
  visit("runs", failures.runs);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<ChunkProgress> auto& progress) {
  visit("id", progress.row.job);
  visit("occurrence", progress.row.occurrence);
  OptionalField(visit, "chunk", progress.row.chunk);
  OptionalField(visit, "done", progress.done);
  ListField(visit, "failures", progress.failures);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<JobProgress> auto& progress) {
  visit("id", progress.id);
  visit("queue", progress.queue);
  visit("state", progress.state);
  MillisecondsField(visit, "ended_at_ms", progress.ended_at);
  ListField(visit, "steps", progress.steps);
  OptionalField(visit, "completed", progress.completed);
  OptionalField(visit, "never_accepted", progress.never_accepted);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<TaskName> auto& task) {
  visit("job", task.job);
  OptionalField(visit, "occurrence", task.occurrence);
  OptionalField(visit, "step", task.step);
  OptionalField(visit, "index", task.index);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<TaskTransfer> auto& transfer) {
  visit("task", transfer.task);
  visit("shard", transfer.shard);
  visit("number", transfer.number);
  visit("last_run", transfer.last_run);
  OptionalField(visit, "checkpoint", transfer.checkpoint);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<TaskCheckpoint> auto& saved) {
  visit("task", saved.task);
  visit("checkpoint", saved.checkpoint);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<JobMove> auto& move) {
  visit("record", move.record);
  visit("home", move.home);
  visit("from", move.from);
  visit("to", move.to);
  visit("number", move.number);
  visit("last_run", move.last_run);
  OptionalField(visit, "started", move.started);
  OptionalField(visit, "for_load", move.for_load);
  visit("progress", move.progress);
  ListField(visit, "chunks", move.chunks);
  ListField(visit, "checkpoints", move.checkpoints);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<JobOffer> auto& offer) {
  visit("job", offer.job);
  visit("terms", offer.terms);
  visit("step", offer.step);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<LoadOffer> auto& load) {
  visit("offer", load.offer);
  MillisecondsField(visit, "waited_ms", load.waited);
  MillisecondsField(visit, "expected_wait_ms", load.expected_wait);
  visit("backlog", load.backlog);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<OfferJobsRequest> auto& request) {
  visit("offers", request.offers);
  ListField(visit, "load_offers", request.load_offers);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<OfferJobsReply> auto& reply) {
  visit("epoch", reply.epoch);
  visit("wanted", reply.wanted);
  ListField(visit, "wanted_for_load", reply.wanted_for_load);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<ReservePlacesRequest> auto& request) {
  visit("tasks", request.tasks);
  ListField(visit, "unplaceable", request.unplaceable);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<ReservePlacesReply> auto& reply) {
  visit("reserved", reply.reserved);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<RosterEntry> auto& entry) {
  visit("id", entry.id);
  visit("endpoint", entry.endpoint);
  std::optional<milliseconds> lease_end;
  if (entry.lease_end) {
    lease_end =
        std::chrono::ceil<milliseconds>(entry.lease_end->time_since_epoch());
  }
  NullableMillisecondsField(visit, "lease_end_ms", lease_end);
  if constexpr (!std::is_const_v<std::remove_reference_t<decltype(entry)>>) {
    if (lease_end) entry.lease_end = StoreTime(*lease_end);
  }
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<Roster> auto& roster) {
  visit("workers", roster.workers);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<LeaderRecord> auto& leader) {
  visit("holder", leader.holder);
  visit("endpoint", leader.endpoint);
  visit("process", leader.process);
  visit("epoch", leader.epoch);
  OptionalField(visit, "processors", leader.processors);
  visit("renewal", leader.renewal);
  visit("released", leader.released);
  OptionalField(visit, "full", leader.full);
  OptionalField(visit, "successor", leader.successor);
  NullableMillisecondsField(visit, "predecessor_slack_ms",
                            leader.predecessor_slack);
  OptionalField(visit, "load", leader.load);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<JobStateReply> auto& reply) {
  visit("known", reply.known);
  visit("state", reply.state);
  NullableShardField(visit, "moved_to", reply.moved_to);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<QueueLengthReply> auto& reply) {
  visit("waiting", reply.waiting);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<HandoverRequest> auto& request) {
  visit("host", request.host);
  visit("processors", request.processors);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<StoreJobRequest> auto& request) {
  OptionalField(visit, "sliced", request.sliced);
  MillisecondsField(visit, "timeout_ms", request.timeout);
  visit("record", request.record);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<StoreJobReply> auto& reply) {
  visit("outcome", reply.outcome);
  ListField(visit, "current", reply.current);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<JobQuery> auto& query) {
  visit("id", query.id);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<QueueQuery> auto& query) {
  visit("queue", query.queue);
}

template std::string Encode(const JobRecord&);
template std::string Encode(const JobProgress&);
template std::string Encode(const ChunkProgress&);
template std::string Encode(const TaskTransfer&);
template std::string Encode(const JobMove&);
template std::string Encode(const OfferJobsRequest&);
template std::string Encode(const OfferJobsReply&);
template std::string Encode(const ReservePlacesRequest&);
template std::string Encode(const ReservePlacesReply&);
template std::string Encode(const Roster&);
template std::string Encode(const RosterEntry&);
template std::string Encode(const LeaderRecord&);
template std::string Encode(const JobStateReply&);
template std::string Encode(const QueueLengthReply&);
template std::string Encode(const HandoverRequest&);
template std::string Encode(const StoreJobRequest&);
template std::string Encode(const StoreJobReply&);
template std::string Encode(const JobQuery&);
template std::string Encode(const QueueQuery&);
template Result<JobRecord> Decode(std::string_view);
template Result<JobProgress> Decode(std::string_view);
template Result<ChunkProgress> Decode(std::string_view);
template Result<TaskTransfer> Decode(std::string_view);
template Result<JobMove> Decode(std::string_view);
template Result<OfferJobsRequest> Decode(std::string_view);
template Result<OfferJobsReply> Decode(std::string_view);
template Result<ReservePlacesRequest> Decode(std::string_view);
template Result<ReservePlacesReply> Decode(std::string_view);
template Result<Roster> Decode(std::string_view);
template Result<RosterEntry> Decode(std::string_view);
template Result<LeaderRecord> Decode(std::string_view);
template Result<JobStateReply> Decode(std::string_view);
template Result<QueueLengthReply> Decode(std::string_view);
template Result<HandoverRequest> Decode(std::string_view);
template Result<StoreJobRequest> Decode(std::string_view);
template Result<StoreJobReply> Decode(std::string_view);
template Result<JobQuery> Decode(std::string_view);
template Result<QueueQuery> Decode(std::string_view);

}  // namespace gypsumfall
