#ifndef GYPSUMFALL_JOURNAL_INTERNAL_BATCH_H_
#define GYPSUMFALL_JOURNAL_INTERNAL_BATCH_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// A log row's value: a line with the token, then each record as a line with
/// its length in bytes followed by the record itself.
class BatchWriter {
 public:
  explicit BatchWriter(std::string_view token);

  /// @return the length of the value if `record` were added.
  std::size_t SizeWith(std::string_view record) const;
  void Add(std::string_view record);
  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

/// A log row's value in parts.
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
