#ifndef GYPSUMFALL_OWNERSHIP_INTERNAL_ROWS_H_
#define GYPSUMFALL_OWNERSHIP_INTERNAL_ROWS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// Row `host/<id>`. Rows are never deleted, so that incarnations of one id
/// never repeat.
struct HostRow {
  Incarnation incarnation;
  /// Counts renewals, so that each renewal changes the row.
  std::uint64_t beat = 0;
  DataCentreId data_centre;
  std::string address;
  bool leaving = false;
  /// Set by an observer at takeover, or by the host itself when it stops. This
  /// incarnation never owns anything again.
  bool lapsed = false;

  friend bool operator==(const HostRow&, const HostRow&) = default;
};

/// Row `part/<n>`.
struct PartitionRow {
  EntryHostId owner;
  Incarnation incarnation;
  Epoch epoch;

  friend bool operator==(const PartitionRow&, const PartitionRow&) = default;
};

/// @return "host/<id>".
std::string HostRowKey(const EntryHostId& host);
/// @return the id in a key of a host row; empty for other keys.
EntryHostId HostOfRowKey(std::string_view key);
/// @param number from 0.
/// @return "task-<number>".
PartitionId TaskPartitionId(int number);
/// @return the number in a task partition's id, or -1 for other ids.
int TaskPartitionNumber(const PartitionId& partition);
/// @return "part/<n>" of the task partition.
std::string PartitionRowKey(const PartitionId& partition);
/// @return the task partition of a key "part/<n>"; empty for other keys.
PartitionId PartitionOfRowKey(std::string_view key);
/// @param count number of task partitions of the deployment, at least 1.
/// @return the partition that holds all tasks of the customer.
PartitionId PartitionOfCustomer(const CustomerId& customer, int count);

std::string EncodeHostRow(const HostRow& row);
/// @return the row, or `kBadRequest` if the text is not a host row.
Result<HostRow> DecodeHostRow(std::string_view text);
std::string EncodePartitionRow(const PartitionRow& row);
/// @return the row, or `kBadRequest` if the text is not a partition row.
Result<PartitionRow> DecodePartitionRow(std::string_view text);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_OWNERSHIP_INTERNAL_ROWS_H_
