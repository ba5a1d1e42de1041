#include "gypsumfall/ownership/internal/task_partitions.h"

#include <algorithm>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/ownership/internal/rendezvous.h"

namespace gypsumfall {
namespace {

constexpr int kScanLimit = 1000;

std::vector<EntryHostId> Without(std::span<const EntryHostId> hosts,
                                 const EntryHostId& host) {
  std::vector<EntryHostId> rest;
  std::copy_if(hosts.begin(), hosts.end(), std::back_inserter(rest),
               [&](const EntryHostId& each) { return each != host; });
  return rest;
}

}  // namespace

TaskPartitions::TaskPartitions(TaskPartitionsSettings settings)
    : settings_(std::move(settings)) {
  for (int n = 0; n < settings_.partitions; ++n) {
    partitions_[TaskPartitionId(n)];
  }
}

PartitionActions TaskPartitions::OnLeaseGained(Incarnation incarnation,
                                               Time now) {
  PartitionActions out = OnLeaseLost(now);
  incarnation_ = incarnation;
  next_scan_ = now;
  return out;
}

PartitionActions TaskPartitions::OnLeaseLost(Time /*now*/) {
  PartitionActions out;
  incarnation_.reset();
  for (auto& [id, partition] : partitions_) LoseOwnership(id, partition, out);
  return out;
}

PartitionActions TaskPartitions::Tick(std::span<const EntryHostId> preferred,
                                      Time now) {
  PartitionActions out;
  ExpireCalls(now);
  if (now >= next_scan_) SendScans(now, out);
  if (now >= next_watch_) SendWatch(now, out);
  SendExpiry(preferred, now, out);
  SendClaims(preferred, now, out);
  SendHandOvers(preferred, now, out);
  return out;
}

std::string TaskPartitions::NewToken() {
  const std::uint64_t incarnation = incarnation_ ? incarnation_->value() : 0;
  return "own/" + settings_.self.str() + "/" + std::to_string(incarnation) +
         "/" + std::to_string(++call_count_);
}

bool TaskPartitions::MayTransact(Time now) const {
  return incarnation_ && transaction_in_flight_.empty() &&
         now >= next_transact_;
}

std::vector<EntryHostId> TaskPartitions::WatchedHosts() const {
  const std::vector<EntryHostId> hosts = HostsWithLiveLease();
  std::vector<EntryHostId> watched;
  auto next = std::upper_bound(hosts.begin(), hosts.end(), settings_.self);
  for (std::size_t i = 0; i < hosts.size(); ++i, ++next) {
    if (next == hosts.end()) next = hosts.begin();
    if (*next == settings_.self) continue;
    if (std::ssize(watched) == settings_.watched_successors) break;
    watched.push_back(*next);
  }
  return watched;
}

void TaskPartitions::SendWatch(Time now, PartitionActions& out) {
  Call call;
  call.sent_at = now;
  next_watch_ = now + settings_.watch_interval;
  for (const EntryHostId& host : WatchedHosts()) {
    call.keys.push_back(HostRowKey(host));
    const Time expires_at = hosts_.at(host).unchanged_since +
                            settings_.lease_duration + settings_.lease_margin;
    if (expires_at > now) next_watch_ = std::min(next_watch_, expires_at);
  }
  const auto extra =
      std::min(std::ssize(keys_to_read_),
               static_cast<std::ptrdiff_t>(settings_.max_extra_reads));
  std::move(keys_to_read_.begin(), keys_to_read_.begin() + extra,
            std::back_inserter(call.keys));
  keys_to_read_.erase(keys_to_read_.begin(), keys_to_read_.begin() + extra);
  if (call.keys.empty()) return;
  const std::string token = NewToken();
  out.emplace_back(OwnershipRead{token, ReadCall{call.keys}});
  pending_[token] = std::move(call);
}

void TaskPartitions::SendScans(Time now, PartitionActions& out) {
  next_scan_ = now + ScanInterval();
  SendOneScan("host/", "host/", now, out);
  SendOneScan("part/", "part/", now, out);
}

void TaskPartitions::SendOneScan(const std::string& prefix,
                                 const std::string& after, Time now,
                                 PartitionActions& out) {
  const std::string token = NewToken();
  out.emplace_back(OwnershipScan{token, ScanCall{prefix, after, kScanLimit}});
  Call call;
  call.sent_at = now;
  call.scan_prefix = prefix;
  pending_[token] = std::move(call);
}

void TaskPartitions::SendTransaction(TransactCall call, Time now,
                                     PartitionActions& out) {
  call.token = NewToken();
  next_transact_ = now + settings_.transact_interval;
  transaction_in_flight_ = call.token;
  Call pending;
  pending.sent_at = now;
  for (const RowCheck& check : call.checks) pending.keys.push_back(check.key);
  pending.puts = call.puts;
  pending_[call.token] = std::move(pending);
  out.emplace_back(OwnershipTransact{std::move(call)});
}

void TaskPartitions::AddOwnerChange(const PartitionId& id,
                                    const EntryHostId& owner,
                                    Incarnation incarnation,
                                    TransactCall& call) const {
  const std::optional<PartitionView> view = Find(id);
  const std::string key = PartitionRowKey(id);
  const Epoch epoch = view ? view->row.epoch.Next() : Epoch(1);
  call.checks.push_back({key, view ? view->version : RowVersion()});
  call.puts.push_back(
      {key, EncodePartitionRow(PartitionRow{owner, incarnation, epoch})});
}

// Marks at most one host row expired and claims, in the same transaction, those
// partitions of the host that prefer this host. Other hosts claim the rest when
// they read the expired row.
void TaskPartitions::SendExpiry(std::span<const EntryHostId> preferred,
                                Time now, PartitionActions& out) {
  if (!MayTransact(now)) return;
  for (const auto& [host, known] : hosts_) {
    const Duration unchanged = known.last_sent - known.unchanged_since;
    if (known.row.expired || host == settings_.self ||
        unchanged < settings_.lease_duration + settings_.lease_margin) {
      continue;
    }
    HostRow expired_row = known.row;
    expired_row.expired = true;
    TransactCall call;
    call.checks.push_back({HostRowKey(host), known.version});
    call.puts.push_back({HostRowKey(host), EncodeHostRow(expired_row)});
    const std::vector<EntryHostId> others = Without(preferred, host);
    for (const auto& [id, partition] : partitions_) {
      if (std::ssize(call.puts) >= settings_.rows_per_transaction) break;
      if (!partition.view || partition.view->row.owner != host) continue;
      if (stopping_ || RendezvousOwner(id.str(), others) != settings_.self) {
        continue;
      }
      AddOwnerChange(id, settings_.self, *incarnation_, call);
    }
    SendTransaction(std::move(call), now, out);
    return;
  }
}

bool TaskPartitions::HasDeadOwner(const PartitionRow& row) {
  if (row.owner == settings_.self) return row.incarnation != incarnation_;
  const auto host = hosts_.find(row.owner);
  if (host == hosts_.end()) {
    QueueRead(HostRowKey(row.owner));
    return false;
  }
  const HostRow& found = host->second.row;
  return found.incarnation > row.incarnation ||
         (found.incarnation == row.incarnation && found.expired);
}

bool TaskPartitions::ShouldClaim(const PartitionId& id, Partition& partition,
                                 std::span<const EntryHostId> preferred,
                                 Time now) {
  const bool unowned =
      partition.view ? HasDeadOwner(partition.view->row) : partition.absent;
  if (partition.owned || !unowned) {
    partition.unowned_since.reset();
    return false;
  }
  if (!partition.unowned_since) partition.unowned_since = now;
  const std::vector<EntryHostId> order = RendezvousOrder(id.str(), preferred);
  const auto self = std::find(order.begin(), order.end(), settings_.self);
  if (self == order.end()) return false;
  const auto rank = self - order.begin();
  return now >= *partition.unowned_since + rank * settings_.claim_stagger;
}

void TaskPartitions::SendClaims(std::span<const EntryHostId> preferred,
                                Time now, PartitionActions& out) {
  if (stopping_ || !MayTransact(now)) return;
  TransactCall call;
  for (auto& [id, partition] : partitions_) {
    if (std::ssize(call.puts) >= settings_.rows_per_transaction) break;
    if (!ShouldClaim(id, partition, preferred, now)) continue;
    AddOwnerChange(id, settings_.self, *incarnation_, call);
  }
  if (!call.puts.empty()) SendTransaction(std::move(call), now, out);
}

std::optional<EntryHostId> TaskPartitions::BetterOwner(
    const PartitionId& id, std::span<const EntryHostId> preferred) const {
  std::vector<EntryHostId> usable;
  for (const EntryHostId& host : preferred) {
    const auto known = hosts_.find(host);
    const bool live = known != hosts_.end() && !known->second.row.expired &&
                      !known->second.row.leaving;
    if (live || (host == settings_.self && !stopping_)) usable.push_back(host);
  }
  const std::optional<EntryHostId> best = RendezvousOwner(id.str(), usable);
  return best == settings_.self ? std::nullopt : best;
}

// Starts a release once another host has been preferred for `handover_delay`,
// or at shutdown. Cancels a release when no other host is preferred any more.
void TaskPartitions::UpdateRelease(
    const PartitionId& id, Partition& partition,
    const std::optional<EntryHostId>& better_owner, Time now,
    PartitionActions& out) {
  const bool wanted = better_owner || stopping_;
  if (!wanted) {
    partition.better_owner_since.reset();
    if (!partition.preparing_release) return;
    partition.preparing_release = false;
    partition.ready_to_release = false;
    out.emplace_back(OwnershipGained{id, partition.view->row.epoch,
                                     partition.view->version});
    return;
  }
  if (!partition.better_owner_since) partition.better_owner_since = now;
  const bool due = stopping_ || now >= *partition.better_owner_since +
                                           settings_.handover_delay;
  if (!due || partition.preparing_release) return;
  partition.preparing_release = true;
  out.emplace_back(PrepareRelease{id});
}

void TaskPartitions::SendHandOvers(std::span<const EntryHostId> preferred,
                                   Time now, PartitionActions& out) {
  if (!transaction_in_flight_.empty()) return;
  TransactCall call;
  for (auto& [id, partition] : partitions_) {
    if (!partition.owned) continue;
    const std::optional<EntryHostId> better_owner = BetterOwner(id, preferred);
    UpdateRelease(id, partition, better_owner, now, out);
    if (!partition.ready_to_release) continue;
    if (!better_owner) {
      // No other host is left. This host marks its own row expired when it
      // stops, so that any later host can claim the partition.
      partition.dropped_at_stop = true;
      LoseOwnership(id, partition, out);
      continue;
    }
    if (std::ssize(call.puts) >= settings_.rows_per_transaction) continue;
    AddOwnerChange(id, *better_owner, hosts_.at(*better_owner).row.incarnation,
                   call);
  }
  if (!call.puts.empty() && MayTransact(now)) {
    SendTransaction(std::move(call), now, out);
  }
}

}  // namespace gypsumfall
