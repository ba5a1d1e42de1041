#include <utility>

#include "gypsumfall/entry/internal/store_service.h"
#include "gypsumfall/entry/internal/task_partition.h"

namespace gypsumfall {
namespace {

constexpr Duration kRetryDelay = seconds(1);
// Rows per scan. Rows have up to 64 KiB, so a page stays below the client's
// body limit.
constexpr int kLogPageRows = 100;

}  // namespace

void TaskPartition::Recover() {
  auto* store = context_.kernel.Find<StoreService>(kStoreService);
  store->table().Read({{SnapshotRowKey(options_.number)}},
                      [this, weak = std::weak_ptr(lifetime_token_)](
                          const PlatformResult<RowsReply>& answer) {
                        if (weak.expired()) return;
                        if (!answer.reply || answer.reply->rows.size() != 1) {
                          RetryRecovery("the snapshot row cannot be read");
                        } else {
                          OnSnapshotRow(answer.reply->rows.front());
                        }
                      });
}

void TaskPartition::RetryRecovery(const std::string& why) {
  log_.Warning("task partition recovery failed; retrying",
               {{"partition", options_.number}, {"why", why}});
  auto retry = std::make_shared<std::unique_ptr<Timer>>();
  *retry = std::make_unique<Timer>(
      context_.runtime, [this, weak = std::weak_ptr(lifetime_token_), retry] {
        const auto keep_alive = std::move(*retry);
        if (!weak.expired()) Recover();
      });
  (*retry)->ScheduleNoLaterThan(context_.Now() + kRetryDelay);
}

void TaskPartition::OnSnapshotRow(const Row& pointer_row) {
  const Result<SnapshotPointer> pointer = ReadSnapshotPointer(pointer_row);
  if (!pointer) {
    RetryRecovery(pointer.error().detail);
  } else if (pointer->object.empty()) {
    ScanLog(*pointer, "", {});
  } else {
    ReadSnapshot(*pointer);
  }
}

void TaskPartition::ReadSnapshot(const SnapshotPointer& pointer) {
  auto* store = context_.kernel.Find<StoreService>(kStoreService);
  store->objects().Get(
      pointer.object,
      [this, weak = std::weak_ptr(lifetime_token_),
       pointer](const PlatformResult<std::optional<std::string>>& answer) {
        if (weak.expired()) return;
        if (answer.reply && *answer.reply) {
          ScanLog(pointer, **answer.reply, {});
        } else {
          RetryRecovery("the snapshot cannot be read");
        }
      });
}

void TaskPartition::ScanLog(const SnapshotPointer& pointer,
                            const std::string& snapshot,
                            std::vector<Row> rows) {
  ScanCall call{.prefix = LogRowPrefix(options_.number), .limit = kLogPageRows};
  if (!rows.empty()) call.after = rows.back().key;
  auto* store = context_.kernel.Find<StoreService>(kStoreService);
  store->table().Scan(
      call, [this, weak = std::weak_ptr(lifetime_token_), pointer, snapshot,
             rows = std::move(rows)](PlatformResult<RowsReply> answer) mutable {
        if (weak.expired()) return;
        if (!answer.reply) {
          RetryRecovery("the log cannot be read");
          return;
        }
        const std::size_t read = answer.reply->rows.size();
        std::move(answer.reply->rows.begin(), answer.reply->rows.end(),
                  std::back_inserter(rows));
        if (read == static_cast<std::size_t>(kLogPageRows)) {
          ScanLog(pointer, snapshot, std::move(rows));
        } else {
          StartServing(pointer, snapshot, rows);
        }
      });
}

void TaskPartition::StartServing(const SnapshotPointer& pointer,
                                 const std::string& snapshot,
                                 const std::vector<Row>& rows) {
  const Result<RecoveredJournal> recovered =
      RecoverJournal(options_.number, pointer, rows);
  if (!recovered) {
    RetryRecovery(recovered.error().detail);
    return;
  }
  TaskTableOptions options;
  options.epoch = options_.epoch;
  options.attempt_lease = context_.settings.tasks.attempt_lease;
  options.retention = context_.settings.tasks.finished_retention;
  auto table = std::make_unique<TaskTable>(options);
  const Result<void> restored =
      table->Restore(snapshot, recovered->records, options_.taken_over_at);
  if (!restored) {
    RetryRecovery(restored.error().detail);
    return;
  }
  JournalOptions journal_options;
  journal_options.partition = options_.number;
  journal_options.partition_version = options_.row_version;
  journal_options.token_prefix = context_.self().str() + "/" +
                                 std::to_string(options_.incarnation.value()) +
                                 "/" + std::to_string(options_.number) + "/" +
                                 std::to_string(options_.epoch.value());
  journal_options.seed = StableHash(journal_options.token_prefix);
  journal_ =
      std::make_unique<Journal>(journal_options, recovered->position, budget_);
  table_ = std::move(table);
  if (confirmed_at_) table_->OnHostLeaseRenewed(*confirmed_at_);
  log_.Info("task partition recovered", {{"partition", options_.number},
                                         {"records", recovered->records.size()},
                                         {"tasks", table_->counts().tasks}});
}

}  // namespace gypsumfall
