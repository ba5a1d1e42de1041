#ifndef GYPSUMFALL_BASE_INTERNAL_IDS_H_
#define GYPSUMFALL_BASE_INTERNAL_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace gypsumfall {

/// A string id that does not convert to ids of other things.
/// @tparam Tag an empty type that tells kinds of ids apart.
template <typename Tag>
class StringId {
 public:
  StringId() = default;
  explicit StringId(std::string value) : value_(std::move(value)) {}

  /// @return the id as text.
  const std::string& str() const { return value_; }
  /// @return whether no id was set.
  bool empty() const { return value_.empty(); }

  friend auto operator<=>(const StringId&, const StringId&) = default;
  friend std::ostream& operator<<(std::ostream& out, const StringId& id) {
    return out << id.value_;
  }

 private:
  std::string value_;
};

/// An integer that does not convert to numbers of other things.
/// @tparam Tag an empty type that tells kinds of numbers apart.
/// @tparam Rep the integer type that holds the value.
template <typename Tag, typename Rep>
class StrongNumber {
 public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(Rep value) : value_(value) {}

  /// @return the plain number.
  constexpr Rep value() const { return value_; }
  /// @return the following number.
  constexpr StrongNumber Next() const { return StrongNumber(value_ + 1); }

  friend constexpr auto operator<=>(const StrongNumber&,
                                    const StrongNumber&) = default;
  friend std::ostream& operator<<(std::ostream& out, StrongNumber number) {
    return out << number.value_;
  }

 private:
  Rep value_ = 0;
};

/// One of our entry host processes, by the name in its settings.
using EntryHostId = StringId<struct EntryHostTag>;
/// A platform host that runs work.
using WorkerId = StringId<struct WorkerTag>;
using RackId = StringId<struct RackTag>;
using DataCentreId = StringId<struct DataCentreTag>;
using CustomerId = StringId<struct CustomerTag>;
/// A task, unique within its customer.
using TaskId = StringId<struct TaskTag>;
/// A request as the caller names it, unique within its customer.
using RequestId = StringId<struct RequestTag>;
/// A request as sent to a worker, unique over all entry hosts and restarts.
using ExchangeId = StringId<struct ExchangeTag>;
/// A kind of work as named in a contract.
using KindId = StringId<struct KindTag>;
/// A unit of ownership: "task-<n>" or "rack-<rack id>".
using PartitionId = StringId<struct PartitionTag>;

/// Counts owners of a partition; commands of a lower epoch are refused.
using Epoch = StrongNumber<struct EpochTag, std::uint64_t>;
/// Counts starts of a process under one id.
using Incarnation = StrongNumber<struct IncarnationTag, std::uint64_t>;
/// Counts attempts to run a task, from 1.
using AttemptNumber = StrongNumber<struct AttemptTag, std::uint32_t>;
/// Version of one contract, from 1; 0 means absent.
using ContractVersion = StrongNumber<struct ContractVersionTag, std::uint64_t>;
/// Counts contract changes over all customers.
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
