#ifndef GYPSUMFALL_BASE_INTERNAL_IDS_H_
#define GYPSUMFALL_BASE_INTERNAL_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace gypsumfall {

/// A strongly typed string id, not convertible to other types of ids.
/// @tparam Tag type that distinguishes one type of id from the others.
template <typename Tag>
class StringId {
 public:
  StringId() = default;
  explicit StringId(std::string value) : value_(std::move(value)) {}

  /// @return the id as text.
  const std::string& str() const { return value_; }
  /// @return whether the id is unset.
  bool empty() const { return value_.empty(); }

  friend auto operator<=>(const StringId&, const StringId&) = default;
  friend std::ostream& operator<<(std::ostream& out, const StringId& id) {
    return out << id.value_;
  }

 private:
  std::string value_;
};

/// A strongly typed integer, not convertible to other types of numbers.
/// @tparam Tag type that distinguishes one type of number from the others.
/// @tparam Rep the integer type that holds the value.
template <typename Tag, typename Rep>
class StrongNumber {
 public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(Rep value) : value_(value) {}

  /// @return the underlying value.
  constexpr Rep value() const { return value_; }
  /// @return the value plus one.
  constexpr StrongNumber Next() const { return StrongNumber(value_ + 1); }

  friend constexpr auto operator<=>(const StrongNumber&,
                                    const StrongNumber&) = default;
  friend std::ostream& operator<<(std::ostream& out, StrongNumber number) {
    return out << number.value_;
  }

 private:
  Rep value_ = 0;
};

/// An entry host process, by the id in its settings.
using EntryHostId = StringId<struct EntryHostTag>;
/// A platform host that runs work.
using WorkerId = StringId<struct WorkerTag>;
using RackId = StringId<struct RackTag>;
using DataCentreId = StringId<struct DataCentreTag>;
using CustomerId = StringId<struct CustomerTag>;
/// A task, unique within its customer.
using TaskId = StringId<struct TaskTag>;
/// A request id that the caller chooses, unique within its customer.
using RequestId = StringId<struct RequestTag>;
/// One dispatch of a request to a worker, unique across all entry hosts and
/// their restarts.
using ExchangeId = StringId<struct ExchangeTag>;
/// A kind of work that a contract defines.
using KindId = StringId<struct KindTag>;
/// A partition that one entry host owns at a time: "task-<n>" or
/// "rack-<rack id>".
using PartitionId = StringId<struct PartitionTag>;

/// Fencing token of a partition, incremented with each change of owner;
/// commands with a lower epoch are refused.
using Epoch = StrongNumber<struct EpochTag, std::uint64_t>;
/// Number of times that the process with an id was started.
using Incarnation = StrongNumber<struct IncarnationTag, std::uint64_t>;
/// Number of an attempt to run a task, from 1.
using AttemptNumber = StrongNumber<struct AttemptTag, std::uint32_t>;
/// Version of one customer's contract, from 1; 0 means absent.
using ContractVersion = StrongNumber<struct ContractVersionTag, std::uint64_t>;
/// Number of contract changes across all customers.
using ContractRevision =
    StrongNumber<struct ContractRevisionTag, std::uint64_t>;
/// Version of a row in the table service; 0 means absent.
using RowVersion = StrongNumber<struct RowVersionTag, std::uint64_t>;
/// Position in a journal, from 1.
using JournalSequence = StrongNumber<struct JournalSequenceTag, std::uint64_t>;

}  // namespace gypsumfall

template <typename Tag>
struct std::hash<gypsumfall::StringId<Tag>> {
  std::size_t operator()(const gypsumfall::StringId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.str());
  }
};

template <typename Tag, typename Rep>
struct std::hash<gypsumfall::StrongNumber<Tag, Rep>> {
  std::size_t operator()(
      gypsumfall::StrongNumber<Tag, Rep> number) const noexcept {
    return std::hash<Rep>()(number.value());
  }
};

#endif  // GYPSUMFALL_BASE_INTERNAL_IDS_H_
