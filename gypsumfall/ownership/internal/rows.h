#ifndef GYPSUMFALL_OWNERSHIP_INTERNAL_ROWS_H_
#define GYPSUMFALL_OWNERSHIP_INTERNAL_ROWS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// Row `host/<id>`: the lease of an entry host. Host rows are never deleted, so
/// that an id never reuses an incarnation.
struct HostRow {
  Incarnation incarnation;
  /// Incremented by each renewal, so that every renewal changes the row.
  std::uint64_t renewal_count = 0;
  DataCentreId data_centre;
  std::string address;
  bool leaving = false;
  /// Set by another host at takeover, or by the host itself at shutdown. An
  /// expired incarnation never owns anything again.
  bool expired = false;

  friend bool operator==(const HostRow&, const HostRow&) = default;
};

/// Row `part/<n>`: the owner of a task partition.
struct PartitionRow {
  EntryHostId owner;
  Incarnation incarnation;
  Epoch epoch;

  friend bool operator==(const PartitionRow&, const PartitionRow&) = default;
};

/// @return "host/<id>".
std::string HostRowKey(const EntryHostId& host);
/// @return the host id in the key of a host row; empty for other keys.
EntryHostId HostOfRowKey(std::string_view key);
/// @param number index of the partition, from 0.
/// @return "task-<number>".
PartitionId TaskPartitionId(int number);
/// @return the number in a task partition's id, or -1 for other ids.
int TaskPartitionNumber(const PartitionId& partition);
/// @return "part/<n>", the row key of the task partition.
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
