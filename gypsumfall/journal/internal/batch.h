#ifndef GYPSUMFALL_JOURNAL_INTERNAL_BATCH_H_
#define GYPSUMFALL_JOURNAL_INTERNAL_BATCH_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// Builds a log row's value: a line with the token, then for each record a line
/// with its length in bytes followed by the record itself.
class BatchWriter {
 public:
  explicit BatchWriter(std::string_view token);

  /// @return the value's size in bytes if `record` were added.
  std::size_t SizeWith(std::string_view record) const;
  void Add(std::string_view record);
  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

/// The parsed value of a log row.
struct Batch {
  std::string token;
  std::vector<std::string> records;
};

/// @return the batch, or `kInternal` if the text is damaged.
Result<Batch> ReadBatch(std::string_view text);

/// @return the text of the row `snapshot/<p>`.
std::string SnapshotPointerText(std::string_view object,
                                JournalSequence sequence);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_JOURNAL_INTERNAL_BATCH_H_
