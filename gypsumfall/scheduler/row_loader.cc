#include "gypsumfall/scheduler/internal/row_loader.h"

#include <array>
#include <memory>
#include <utility>

namespace gypsumfall {

std::string_view StoreOutcomeName(StoreOutcome outcome) {
  static constexpr std::array<std::string_view, 6> kNames = {
      "done", "conflict", "not_done", "rejected", "unknown", "history_gone"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

namespace scheduler_internal {
namespace {

// Reads the rows of a partition page by page.
struct RowLoad : std::enable_shared_from_this<RowLoad> {
  RowLoad(Context& load_context, Duration page_timeout,
          UniqueFunction<LoadedRows> on_loaded)
      : context(load_context),
        timeout(page_timeout),
        done(std::move(on_loaded)) {}

  void ReadNextPage() {
    context.ports.store.read(range, timeout,
                             [self = shared_from_this()](RowPage page) {
                               self->OnPage(std::move(page));
                             });
  }

  void OnPage(RowPage page) {
    loaded.outcome = page.outcome;
    if (page.outcome != StoreOutcome::kDone) {
      done(std::move(loaded));
      return;
    }
    if (is_first_page) loaded.version = page.version;
    const std::size_t rows_before = loaded.rows.size();
    for (StoredRow& row : page.rows) {
      // The first row of a later page is the last one of the page before.
      if (is_first_page || row.address.key != range.from)
        loaded.rows.push_back(std::move(row));
    }
    is_first_page = false;
    const bool progressed = loaded.rows.size() > rows_before;
    if (!page.has_more || !progressed) {
      if (page.has_more) loaded.outcome = StoreOutcome::kUnknown;
      done(std::move(loaded));
      return;
    }
    // A key behind the last one would be longer, and possibly too long.
    range.from = loaded.rows.back().address.key;
    ReadNextPage();
  }

  Context& context;
  Duration timeout;
  UniqueFunction<LoadedRows> done;
  RowRange range;
  bool is_first_page = true;
  LoadedRows loaded;
};

}  // namespace

void LoadRows(Context& context, RowRange first, Duration timeout,
              UniqueFunction<LoadedRows> done) {
  auto load = std::make_shared<RowLoad>(context, timeout, std::move(done));
  load->range = std::move(first);
  load->ReadNextPage();
}

void LoadRows(Context& context, std::string table, std::string partition,
              Duration timeout, UniqueFunction<LoadedRows> done) {
  LoadRows(context, {std::move(table), std::move(partition), ""}, timeout,
           std::move(done));
}

}  // namespace scheduler_internal
}  // namespace gypsumfall
