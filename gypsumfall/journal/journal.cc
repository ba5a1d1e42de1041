#include "gypsumfall/journal/journal.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/journal/internal/batch.h"

namespace gypsumfall {

Journal::Journal(JournalOptions options, JournalPosition position,
                 WriteBudget& budget)
    : options_(std::move(options)),
      position_(std::move(position)),
      budget_(&budget),
      random_(static_cast<std::uint32_t>(options_.seed)) {}

Result<void> Journal::Append(std::string record, JournalRecordId record_id,
                             Time now) {
  if (!owned_) {
    return Fail(ErrorKind::kStaleEpoch, "the partition is no longer owned");
  }
  // The batch token is the prefix, a slash and a sequence of up to 20 digits.
  constexpr std::size_t kSequenceDigits = 21;
  const BatchWriter empty_batch(options_.token_prefix);
  if (empty_batch.SizeWith(record) + kSequenceDigits > options_.max_row_bytes) {
    return Fail(ErrorKind::kTooLarge, "the record exceeds a journal row");
  }
  if (queue_.size() >= options_.max_queued_records ||
      queued_bytes_ + record.size() > options_.max_queued_bytes) {
    return Fail(ErrorKind::kStoreUnavailable, "the journal's queue is full");
  }
  queued_bytes_ += record.size();
  queue_.push_back({std::move(record), record_id, now});
  ReserveCommit(now);
  return {};
}

JournalActions Journal::Poll(Time now) {
  JournalActions actions;
  if (!owned_) return actions;
  RefuseOverdue(now, actions);
  if (commit_.phase == Phase::kSendLater && now >= commit_.retry_at) {
    Send(actions);
  } else if (commit_.phase == Phase::kReadLater && now >= commit_.retry_at) {
    ReadBack(actions);
  } else if (commit_.phase == Phase::kIdle) {
    if (snapshot_phase_ == SnapshotPhase::kPointerDue) {
      StartPointer(now, actions);
    } else if (commit_at_ && now >= *commit_at_) {
      StartCommit(now, actions);
    }
  }
  if (snapshot_phase_ == SnapshotPhase::kPutLater &&
      now >= snapshot_retry_at_) {
    PutObject(actions);
  }
  return actions;
}

Time Journal::next_due() const {
  if (!owned_) return Time::max();
  Time due = Time::max();
  if (commit_.phase == Phase::kSendLater ||
      commit_.phase == Phase::kReadLater) {
    due = commit_.retry_at;
  }
  if (commit_.phase == Phase::kIdle) {
    if (commit_at_) due = *commit_at_;
    if (snapshot_phase_ == SnapshotPhase::kPointerDue) due = Time::min();
  }
  if (snapshot_phase_ == SnapshotPhase::kPutLater) {
    due = std::min(due, snapshot_retry_at_);
  }
  if (!queue_.empty()) {
    due = std::min(due, queue_.front().queued_at + options_.max_queue_wait);
  }
  return due;
}

bool Journal::Stalled(Time now, Duration limit) const {
  return commit_.phase != Phase::kIdle && now - commit_.started_at > limit;
}

JournalActions Journal::OnTransactReply(JournalCall call,
                                        const TransactReply& reply, Time now) {
  JournalActions actions;
  if (!IsCurrent(call, Phase::kSent)) return actions;
  if (reply.committed) {
    const RowVersion version =
        reply.versions.empty() ? RowVersion() : reply.versions.front();
    CompleteCommit(version, now, actions);
    return actions;
  }
  const bool partition_changed =
      reply.conflict.key == PartitionRowKey(options_.partition);
  if (partition_changed && commit_.uncertain_sends == 0) {
    commit_.phase = Phase::kSendLater;  // The only send was not applied.
    LoseOwnership(actions);
    return actions;
  }
  // An earlier send may have put the row; the read-back compares its token.
  ++commit_.uncertain_sends;
  ReadBack(actions);
  return actions;
}

JournalActions Journal::OnTransactUnknown(JournalCall call, Time /*now*/) {
  JournalActions actions;
  if (!IsCurrent(call, Phase::kSent)) return actions;
  ++commit_.uncertain_sends;
  ReadBack(actions);
  return actions;
}

JournalActions Journal::OnTransactNotApplied(JournalCall call, Time now) {
  if (IsCurrent(call, Phase::kSent)) SendLater(now);
  return {};
}

JournalActions Journal::OnReadBack(JournalCall call,
                                   const std::vector<Row>& rows, Time now) {
  JournalActions actions;
  if (!IsCurrent(call, Phase::kReading)) return actions;
  if (rows.size() != 2) return OnReadFailed(call, now);
  const Row& row = rows[0];
  const bool still_owned = rows[1].version == options_.partition_version;
  // Comparing the whole value is safe: it contains the batch's unique token.
  if (row.version != RowVersion() &&
      row.value == commit_.transact.puts.front().value) {
    CompleteCommit(row.version, now, actions);
    if (!still_owned) LoseOwnership(actions);
  } else if (still_owned && row.version == ExpectedVersion()) {
    SendLater(now);
  } else {
    LoseOwnership(actions);
  }
  return actions;
}

JournalActions Journal::OnReadFailed(JournalCall call, Time now) {
  if (IsCurrent(call, Phase::kReading)) {
    commit_.phase = Phase::kReadLater;
    commit_.retry_at = RetryTime(commit_.retries++, now);
  }
  return {};
}

JournalActions Journal::OnOwnershipLost(Time /*now*/) {
  JournalActions actions;
  if (owned_) LoseOwnership(actions);
  return actions;
}

bool Journal::IsCurrent(JournalCall call, Phase phase) const {
  return owned_ && commit_.phase == phase && commit_.call == call;
}

JournalCall Journal::NewCall() { return JournalCall(++last_call_); }

Time Journal::RetryTime(int retries, Time now) {
  constexpr int kMaxDoublings = 16;
  const Duration max_delay =
      std::min(options_.first_retry * (1 << std::min(retries, kMaxDoublings)),
               options_.longest_retry);
  std::uniform_int_distribution<Duration::rep> jitter(max_delay.count() / 2,
                                                      max_delay.count());
  return now + Duration(jitter(random_));
}

void Journal::ReserveCommit(Time now) {
  if (commit_at_ || queue_.empty()) return;
  commit_at_ =
      std::max(budget_->Reserve(now), last_commit_ + options_.commit_delay);
}

void Journal::RefuseOverdue(Time now, JournalActions& actions) {
  RecordsRefused refused;
  while (!queue_.empty() &&
         now - queue_.front().queued_at >= options_.max_queue_wait) {
    refused.record_ids.push_back(queue_.front().record_id);
    queued_bytes_ -= queue_.front().text.size();
    queue_.pop_front();
  }
  if (queue_.empty()) commit_at_.reset();
  if (!refused.record_ids.empty()) actions.emplace_back(std::move(refused));
}

std::string Journal::BuildBatch() {
  BatchWriter batch(commit_.transact.token);
  while (!queue_.empty() &&
         batch.SizeWith(queue_.front().text) <= options_.max_row_bytes) {
    Record& record = queue_.front();
    batch.Add(record.text);
    commit_.record_ids.push_back(record.record_id);
    queued_bytes_ -= record.text.size();
    queue_.pop_front();
  }
  return batch.text();
}

void Journal::StartCommit(Time now, JournalActions& actions) {
  commit_ = Commit{};
  commit_.started_at = now;
  const std::string key = LogRowKey(options_.partition, position_.next);
  TransactCall& transact = commit_.transact;
  transact.token =
      options_.token_prefix + "/" + std::to_string(position_.next.value());
  transact.checks = {
      {PartitionRowKey(options_.partition), options_.partition_version},
      {key, RowVersion()}};
  transact.puts = {{key, BuildBatch()}};
  last_commit_ = now;
  commit_at_.reset();
  ReserveCommit(now);
  Send(actions);
}

void Journal::Send(JournalActions& actions) {
  commit_.phase = Phase::kSent;
  commit_.call = NewCall();
  actions.emplace_back(SendTransact{commit_.call, commit_.transact});
}

void Journal::SendLater(Time now) {
  commit_.phase = Phase::kSendLater;
  commit_.retry_at = RetryTime(commit_.retries++, now);
}

void Journal::ReadBack(JournalActions& actions) {
  commit_.phase = Phase::kReading;
  commit_.call = NewCall();
  actions.emplace_back(SendRead{
      commit_.call, {{CommitKey(), PartitionRowKey(options_.partition)}}});
}

void Journal::CompleteCommit(RowVersion version, Time /*now*/,
                             JournalActions& actions) {
  const Commit completed = std::exchange(commit_, Commit{});
  if (completed.is_pointer) {
    CompletePointer(version, actions);
    return;
  }
  position_.next = position_.next.Next();
  actions.emplace_back(RecordsCommitted{completed.record_ids});
}

void Journal::LoseOwnership(JournalActions& actions) {
  owned_ = false;
  const bool never_sent =
      commit_.uncertain_sends == 0 && commit_.phase != Phase::kSent;
  if (!commit_.record_ids.empty()) {
    if (never_sent) {
      actions.emplace_back(
          RecordsRefused{commit_.record_ids, ErrorKind::kStaleEpoch});
    } else {
      actions.emplace_back(RecordsUnknown{commit_.record_ids});
    }
  }
  RecordsRefused refused{{}, ErrorKind::kStaleEpoch};
  for (const Record& record : queue_)
    refused.record_ids.push_back(record.record_id);
  if (!refused.record_ids.empty()) actions.emplace_back(std::move(refused));
  queue_.clear();
  queued_bytes_ = 0;
  commit_ = Commit{};
}

const std::string& Journal::CommitKey() const {
  return commit_.transact.puts.front().key;
}

RowVersion Journal::ExpectedVersion() const {
  return commit_.is_pointer ? position_.pointer_version : RowVersion();
}

}  // namespace gypsumfall
