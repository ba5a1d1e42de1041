#ifndef GYPSUMFALL_JOURNAL_INTERNAL_RECOVERY_H_
#define GYPSUMFALL_JOURNAL_INTERNAL_RECOVERY_H_

#include <string>
#include <string_view>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

/// Position at which a journal continues.
struct JournalPosition {
  /// Sequence of the next log row.
  JournalSequence next = JournalSequence(1);
  /// Last sequence that the snapshot contains; 0 without a snapshot.
  JournalSequence snapshot;
  /// Object that the snapshot pointer names; empty without a snapshot.
  std::string object;
  /// Version of the pointer row. Each pointer transaction checks it, so that a
  /// delayed copy of an older one cannot move the pointer back.
  RowVersion pointer_version;
  /// Log rows whose records the snapshot already contains. They remain if a
  /// delayed copy of a commit was applied after its row was deleted; the next
  /// snapshot deletes them.
  std::vector<std::string> stale_rows;
};

/// Content of the row `snapshot/<p>`.
struct SnapshotPointer {
  std::string object;
  JournalSequence sequence;
  /// Version of the row; 0 means that there is no snapshot.
  RowVersion version;
};

/// Journal state that a new owner needs to take over a partition.
struct RecoveredJournal {
  JournalPosition position;
  /// Records of the log rows after the snapshot, in order.
  std::vector<std::string> records;
};

/// @return the key of a partition's ownership row, "part/<n>".
std::string PartitionRowKey(int partition);
/// @return the key of a partition's snapshot pointer, "snapshot/<n>".
std::string SnapshotRowKey(int partition);
/// @return the prefix of a partition's log rows, "log/<n>/".
std::string LogRowPrefix(int partition);
/// @return the key of a log row; keys sort in the order of their sequences.
std::string LogRowKey(int partition, JournalSequence sequence);

/// @param pointer the row `snapshot/<p>`, possibly absent (version 0).
/// @return the pointer (empty object if the row is absent), or `kInternal` if
///     the row is damaged.
Result<SnapshotPointer> ReadSnapshotPointer(const Row& pointer);

/// Recovers a journal. The caller must first take the partition, then read the
/// pointer, then the object, then scan the log rows.
/// @param partition the partition's number.
/// @param pointer the snapshot pointer.
/// @param log_rows all rows under `LogRowPrefix(partition)`, in key order.
/// @return the records after the snapshot and the next position, or
///     `kInternal` if a row is missing or damaged.
Result<RecoveredJournal> RecoverJournal(int partition,
                                        const SnapshotPointer& pointer,
                                        const std::vector<Row>& log_rows);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_JOURNAL_INTERNAL_RECOVERY_H_
