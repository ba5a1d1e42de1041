#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_ROW_LOADER_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_ROW_LOADER_H_

#include <string>
#include <vector>

#include "gypsumfall/scheduler/internal/context.h"

namespace gypsumfall::scheduler_internal {

/// All rows of one partition of a table.
struct LoadedRows {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::vector<StoredRow> rows;
  /// Version of the store at the first page; `rows` may lack later changes.
  RowVersion version;
};

/// Reads the rows of a partition from a key on, page by page. Parameters are
/// those of the function below.
/// @param first the first page; its limit is that of each page.
void LoadRows(Context& context, RowRange first, Duration timeout,
              UniqueFunction<LoadedRows> done);

/// Reads all rows of a partition, page by page.
/// @param timeout timeout of the read of one page.
/// @param done called with the rows, or with the outcome of the failed read.
void LoadRows(Context& context, std::string table, std::string partition,
              Duration timeout, UniqueFunction<LoadedRows> done);

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_ROW_LOADER_H_
