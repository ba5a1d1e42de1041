#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/journal/internal/batch.h"
#include "gypsumfall/journal/journal.h"

namespace gypsumfall {
namespace {

// Limits the size of the pointer transaction after a long time without
// snapshots; the remaining rows are deleted with the next snapshot.
constexpr std::size_t kMaxDeletes = 1000;

}  // namespace

bool Journal::SnapshotDue() const {
  const std::uint64_t rows =
      position_.next.value() - 1 - position_.snapshot.value();
  return owned_ && snapshot_phase_ == SnapshotPhase::kNone &&
         rows >= options_.snapshot_rows;
}

JournalActions Journal::BeginSnapshot(std::string text, Time /*now*/) {
  JournalActions actions;
  if (!owned_ || snapshot_phase_ != SnapshotPhase::kNone) return actions;
  snapshot_sequence_ = JournalSequence(position_.next.value() - 1);
  snapshot_object_ = "snap/" + std::to_string(options_.partition) + "/" +
                     std::to_string(snapshot_sequence_.value());
  snapshot_text_ = std::move(text);
  snapshot_retries_ = 0;
  PutObject(actions);
  return actions;
}

void Journal::PutObject(JournalActions& actions) {
  snapshot_phase_ = SnapshotPhase::kPutting;
  snapshot_call_ = NewCall();
  actions.emplace_back(
      PutSnapshotObject{snapshot_call_, snapshot_object_, snapshot_text_});
}

JournalActions Journal::OnObjectPut(JournalCall call, bool stored, Time now) {
  if (!owned_ || snapshot_phase_ != SnapshotPhase::kPutting ||
      call != snapshot_call_) {
    return {};
  }
  if (!stored) {
    snapshot_phase_ = SnapshotPhase::kPutLater;
    snapshot_retry_at_ = RetryTime(snapshot_retries_++, now);
    return {};
  }
  snapshot_phase_ = SnapshotPhase::kPointerDue;
  snapshot_text_.clear();
  return Poll(now);
}

void Journal::StartPointer(Time now, JournalActions& actions) {
  commit_ = Commit{};
  commit_.is_pointer = true;
  commit_.started_at = now;
  const std::string key = SnapshotRowKey(options_.partition);
  TransactCall& transact = commit_.transact;
  transact.token = options_.token_prefix + "/snapshot/" +
                   std::to_string(snapshot_sequence_.value());
  transact.checks = {
      {PartitionRowKey(options_.partition), options_.partition_version},
      {key, position_.pointer_version}};
  transact.puts = {
      {key, SnapshotPointerText(snapshot_object_, snapshot_sequence_)}};
  transact.deletes = TakeRowsToDelete();
  budget_->Reserve(now);
  Send(actions);
}

std::vector<std::string> Journal::TakeRowsToDelete() {
  std::vector<std::string> rows = std::move(position_.stale_rows);
  position_.stale_rows.clear();
  for (JournalSequence sequence = position_.snapshot.Next();
       sequence <= snapshot_sequence_; sequence = sequence.Next()) {
    rows.push_back(LogRowKey(options_.partition, sequence));
  }
  if (rows.size() > kMaxDeletes) {
    position_.stale_rows.assign(rows.begin() + kMaxDeletes, rows.end());
    rows.resize(kMaxDeletes);
  }
  return rows;
}

void Journal::CompletePointer(RowVersion version, JournalActions& actions) {
  if (!position_.object.empty() && position_.object != snapshot_object_) {
    actions.emplace_back(DeleteSnapshotObject{position_.object});
  }
  position_.object = snapshot_object_;
  position_.snapshot = snapshot_sequence_;
  position_.pointer_version = version;
  snapshot_phase_ = SnapshotPhase::kNone;
}

}  // namespace gypsumfall
