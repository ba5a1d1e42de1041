// Applies answers of the table service to the state of TaskPartitions.
#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/ownership/internal/task_partitions.h"

namespace gypsumfall {

void TaskPartitions::ExpireCalls(Time now) {
  for (auto call = pending_.begin(); call != pending_.end();) {
    if (now < call->second.sent_at + settings_.answer_timeout) {
      ++call;
      continue;
    }
    if (call->first == transaction_in_flight_) transaction_in_flight_.clear();
    QueueRereads(call->second);
    call = pending_.erase(call);
  }
}

// Rereads the rows of a transaction whose answer was lost to find out whether
// it was applied. If it is applied after that read, its epoch shows in the next
// conflict or read.
void TaskPartitions::QueueRereads(const Call& call) {
  if (call.puts.empty()) return;
  for (const std::string& key : call.keys) QueueRead(key);
  next_watch_ = Time();
}

void TaskPartitions::QueueRead(const std::string& key) {
  if (std::find(keys_to_read_.begin(), keys_to_read_.end(), key) ==
      keys_to_read_.end()) {
    keys_to_read_.push_back(key);
  }
}

PartitionActions TaskPartitions::OnTransacted(
    const std::string& token, const Result<TransactReply>& reply, Time now) {
  PartitionActions out;
  const auto found = pending_.find(token);
  if (found == pending_.end()) return out;
  const Call call = std::move(found->second);
  pending_.erase(found);
  transaction_in_flight_.clear();
  if (!reply) {
    QueueRereads(call);
    return out;
  }
  if (!reply->committed) {
    ApplyRow(reply->conflict, call.sent_at, now, out);
    return out;
  }
  const std::size_t count = std::min(call.puts.size(), reply->versions.size());
  for (std::size_t i = 0; i < count; ++i) {
    const Row row{call.puts[i].key, reply->versions[i], call.puts[i].value};
    ApplyRow(row, call.sent_at, now, out);
  }
  return out;
}

PartitionActions TaskPartitions::OnRows(const std::string& token,
                                        const Result<RowsReply>& reply,
                                        Time now) {
  PartitionActions out;
  const auto found = pending_.find(token);
  if (found == pending_.end()) return out;
  const Call call = std::move(found->second);
  pending_.erase(found);
  if (!reply) return out;
  for (const Row& row : reply->rows) ApplyRow(row, call.sent_at, now, out);
  if (!call.scan_prefix.empty()) FinishScan(call, *reply, now, out);
  return out;
}

void TaskPartitions::FinishScan(const Call& call, const RowsReply& reply,
                                Time now, PartitionActions& out) {
  constexpr std::size_t kScanLimit = 1000;
  if (reply.rows.size() >= kScanLimit) {
    SendOneScan(call.scan_prefix, reply.rows.back().key, now, out);
    return;
  }
  if (call.scan_prefix != "part/") return;
  for (auto& [id, partition] : partitions_) {
    if (!partition.view) partition.absent = true;
  }
}

void TaskPartitions::ApplyRow(const Row& row, Time sent_at, Time now,
                              PartitionActions& out) {
  const EntryHostId host = HostOfRowKey(row.key);
  if (!host.empty()) {
    ApplyHostRow(host, row, sent_at, now, out);
    return;
  }
  const PartitionId partition = PartitionOfRowKey(row.key);
  if (partitions_.contains(partition)) ApplyPartitionRow(partition, row, out);
}

void TaskPartitions::ApplyHostRow(const EntryHostId& host, const Row& row,
                                  Time sent_at, Time now,
                                  PartitionActions& out) {
  const Result<HostRow> decoded = DecodeHostRow(row.value);
  if (row.version == RowVersion() || !decoded) return;
  const auto [entry, added] = hosts_.try_emplace(host);
  KnownHost& known = entry->second;
  if (!added && row.version < known.version) return;
  const bool observation_gap = now - known.last_answer > settings_.watch_gap;
  if (added || row.version != known.version || observation_gap) {
    known.unchanged_since = now;
  }
  const bool was_live = !added && !known.row.expired;
  const Incarnation before = known.row.incarnation;
  known.row = *decoded;
  known.version = row.version;
  known.last_answer = now;
  known.last_sent = sent_at;
  if (was_live && (known.row.expired || known.row.incarnation != before)) {
    out.emplace_back(HostLeaseExpired{host, before});
  }
}

void TaskPartitions::ApplyPartitionRow(const PartitionId& id, const Row& row,
                                       PartitionActions& out) {
  Partition& partition = partitions_.at(id);
  if (row.version == RowVersion()) return;
  if (partition.view && row.version < partition.view->version) return;
  const Result<PartitionRow> decoded = DecodePartitionRow(row.value);
  if (!decoded) return;
  const bool changed =
      !partition.view || partition.view->version != row.version;
  if (changed && partition.owned) LoseOwnership(id, partition, out);
  partition.view = PartitionView{*decoded, row.version};
  partition.absent = false;
  const bool is_owner = incarnation_ && decoded->owner == settings_.self &&
                        decoded->incarnation == *incarnation_;
  if (!is_owner || partition.owned || partition.dropped_at_stop) return;
  partition.owned = true;
  partition.unowned_since.reset();
  out.emplace_back(OwnershipGained{id, decoded->epoch, row.version});
}

void TaskPartitions::LoseOwnership(const PartitionId& id, Partition& partition,
                                   PartitionActions& out) {
  if (!partition.owned) return;
  partition.owned = false;
  partition.preparing_release = false;
  partition.ready_to_release = false;
  partition.better_owner_since.reset();
  out.emplace_back(OwnershipLost{id, partition.view->row.epoch});
}

void TaskPartitions::OnPeerPartition(const PartitionId& partition,
                                     const PartitionRow& row) {
  const auto found = partitions_.find(partition);
  if (found == partitions_.end()) return;
  const std::optional<PartitionView>& view = found->second.view;
  if (!view || view->row.epoch < row.epoch) RefreshPartition(partition);
}

void TaskPartitions::RefreshHost(const EntryHostId& host) {
  QueueRead(HostRowKey(host));
}

void TaskPartitions::RefreshPartition(const PartitionId& partition) {
  QueueRead(PartitionRowKey(partition));
}

void TaskPartitions::ReadyToRelease(const PartitionId& partition) {
  const auto found = partitions_.find(partition);
  if (found != partitions_.end() && found->second.preparing_release) {
    found->second.ready_to_release = true;
  }
}

void TaskPartitions::Stop() { stopping_ = true; }

bool TaskPartitions::Stopped() const { return stopping_ && Owned().empty(); }

std::optional<PartitionView> TaskPartitions::Find(
    const PartitionId& partition) const {
  const auto found = partitions_.find(partition);
  return found == partitions_.end() ? std::nullopt : found->second.view;
}

std::vector<PartitionId> TaskPartitions::Owned() const {
  std::vector<PartitionId> owned;
  for (const auto& [id, partition] : partitions_) {
    if (partition.owned) owned.push_back(id);
  }
  return owned;
}

std::vector<EntryHostId> TaskPartitions::HostsWithLiveLease() const {
  std::vector<EntryHostId> hosts;
  for (const auto& [id, known] : hosts_) {
    if (!known.row.expired) hosts.push_back(id);
  }
  return hosts;
}

Duration TaskPartitions::ScanInterval() const {
  const auto hosts = static_cast<std::int64_t>(hosts_.size());
  const std::int64_t rows = hosts * (hosts + settings_.partitions);
  const Duration spread =
      seconds(1) * rows / std::max(1, settings_.scan_rows_per_second);
  return std::max(settings_.min_scan_interval, spread);
}

}  // namespace gypsumfall
