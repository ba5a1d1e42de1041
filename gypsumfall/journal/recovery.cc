#include "gypsumfall/journal/internal/recovery.h"

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include "gypsumfall/journal/internal/batch.h"

namespace gypsumfall {
namespace {

// Digits of the largest sequence. Keys are zero-padded to this width so that
// they sort in the order of their sequences.
constexpr std::size_t kSequenceDigits = 20;

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || rest != end) return std::nullopt;
  return value;
}

// Removes the text up to the separator from `text` and returns it.
std::optional<std::string_view> TakeUntil(char separator,
                                          std::string_view& text) {
  const std::size_t at = text.find(separator);
  if (at == std::string_view::npos) return std::nullopt;
  const std::string_view taken = text.substr(0, at);
  text.remove_prefix(at + 1);
  return taken;
}

tl::unexpected<Error> Damaged(const std::string& key, std::string_view what) {
  return Fail(ErrorKind::kInternal, "row " + key + ": " + std::string(what));
}

Result<JournalSequence> SequenceOf(int partition, const std::string& key) {
  const std::string prefix = LogRowPrefix(partition);
  if (!key.starts_with(prefix)) return Damaged(key, "not a log row");
  std::string_view digits = key;
  digits.remove_prefix(prefix.size());
  const auto number = ParseNumber(digits);
  if (!number) return Damaged(key, "no sequence in the key");
  return JournalSequence(*number);
}

Result<void> AddRow(const Row& row, RecoveredJournal& recovered) {
  Result<Batch> batch = ReadBatch(row.value);
  if (!batch) return Damaged(row.key, batch.error().detail);
  std::move(batch->records.begin(), batch->records.end(),
            std::back_inserter(recovered.records));
  recovered.position.next = recovered.position.next.Next();
  return {};
}

}  // namespace

std::string PartitionRowKey(int partition) {
  return "part/" + std::to_string(partition);
}

std::string SnapshotRowKey(int partition) {
  return "snapshot/" + std::to_string(partition);
}

std::string LogRowPrefix(int partition) {
  return "log/" + std::to_string(partition) + "/";
}

std::string LogRowKey(int partition, JournalSequence sequence) {
  const std::string digits = std::to_string(sequence.value());
  return LogRowPrefix(partition) +
         std::string(kSequenceDigits - digits.size(), '0') + digits;
}

BatchWriter::BatchWriter(std::string_view token) : text_(token) {
  text_.push_back('\n');
}

std::size_t BatchWriter::SizeWith(std::string_view record) const {
  return text_.size() + std::to_string(record.size()).size() + 1 +
         record.size();
}

void BatchWriter::Add(std::string_view record) {
  text_.append(std::to_string(record.size()));
  text_.push_back('\n');
  text_.append(record);
}

Result<Batch> ReadBatch(std::string_view text) {
  const auto token = TakeUntil('\n', text);
  if (!token) return Fail(ErrorKind::kInternal, "the batch has no token");
  Batch batch{std::string(*token), {}};
  while (!text.empty()) {
    const auto line = TakeUntil('\n', text);
    const auto length = line ? ParseNumber(*line) : std::nullopt;
    if (!length || *length > text.size()) {
      return Fail(ErrorKind::kInternal, "the batch is cut short");
    }
    batch.records.emplace_back(text.substr(0, *length));
    text.remove_prefix(*length);
  }
  return batch;
}

std::string SnapshotPointerText(std::string_view object,
                                JournalSequence sequence) {
  return std::to_string(sequence.value()) + " " + std::string(object);
}

Result<SnapshotPointer> ReadSnapshotPointer(const Row& pointer) {
  if (pointer.version == RowVersion()) return SnapshotPointer{};
  std::string_view text = pointer.value;
  const auto number_text = TakeUntil(' ', text);
  const auto number = number_text ? ParseNumber(*number_text) : std::nullopt;
  if (!number || text.empty()) {
    return Damaged(pointer.key, "not a snapshot pointer");
  }
  return SnapshotPointer{std::string(text), JournalSequence(*number),
                         pointer.version};
}

Result<RecoveredJournal> RecoverJournal(int partition,
                                        const SnapshotPointer& pointer,
                                        const std::vector<Row>& log_rows) {
  RecoveredJournal recovered;
  JournalPosition& position = recovered.position;
  position.snapshot = pointer.sequence;
  position.object = pointer.object;
  position.pointer_version = pointer.version;
  position.next = pointer.sequence.Next();
  for (const Row& row : log_rows) {
    const auto sequence = SequenceOf(partition, row.key);
    if (!sequence) return tl::unexpected<Error>(sequence.error());
    if (*sequence <= pointer.sequence) {
      position.stale_rows.push_back(row.key);
      continue;
    }
    if (*sequence != position.next) {
      return Damaged(LogRowKey(partition, position.next), "missing");
    }
    const Result<void> added = AddRow(row, recovered);
    if (!added) return tl::unexpected<Error>(added.error());
  }
  return recovered;
}

}  // namespace gypsumfall
