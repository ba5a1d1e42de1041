#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_ROW_LOADER_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_ROW_LOADER_H_

#include <string>
#include <vector>

#include "gypsumfall/scheduler/internal/context.h"

namespace gypsumfall::scheduler_internal {

/// All rows of one part of a table.
struct LoadedRows {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::vector<StoredRow> rows;
  /// Version of the first page; changes since then may be missing in `rows`.
  RowVersion version;
};

/// Reads all rows of a part, page by page.
/// @param timeout longest time for one page.
/// @param done gets the rows, or the outcome of the page that failed.
void LoadRows(Context& context, std::string table, std::string part,
              Duration timeout, UniqueFunction<LoadedRows> done);

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_ROW_LOADER_H_
