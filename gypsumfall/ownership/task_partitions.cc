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
  for (auto& [id, partition] : partitions_) Drop(id, partition, out);
  return out;
}

PartitionActions TaskPartitions::Tick(std::span<const EntryHostId> preferred,
                                      Time now) {
  PartitionActions out;
  ExpireCalls(now);
  if (now >= next_scan_) SendScans(now, out);
  if (now >= next_watch_) SendWatch(now, out);
  SendLapse(preferred, now, out);
  SendClaims(preferred, now, out);
  SendHandOvers(preferred, now, out);
  return out;
}

std::string TaskPartitions::NewToken() {
  const std::uint64_t incarnation = incarnation_ ? incarnation_->value() : 0;
  return "own/" + settings_.self.str() + "/" + std::to_string(incarnation) +
         "/" + std::to_string(++calls_);
}

bool TaskPartitions::MayTransact(Time now) const {
  return incarnation_ && transaction_.empty() && now >= next_transact_;
}

std::vector<EntryHostId> TaskPartitions::Watched() const {
  const std::vector<EntryHostId> hosts = HostsByRow();
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
  for (const EntryHostId& host : Watched()) {
    call.keys.push_back(HostRowKey(host));
    const Time lapse_at = hosts_.at(host).unchanged_since + settings_.lease +
                          settings_.lease_margin;
    if (lapse_at > now) next_watch_ = std::min(next_watch_, lapse_at);
  }
  const auto extra =
      std::min(std::ssize(read_next_),
               static_cast<std::ptrdiff_t>(settings_.max_extra_reads));
  std::move(read_next_.begin(), read_next_.begin() + extra,
            std::back_inserter(call.keys));
  read_next_.erase(read_next_.begin(), read_next_.begin() + extra);
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
  transaction_ = call.token;
  Call pending;
  pending.sent_at = now;
  for (const RowCheck& check : call.checks) pending.keys.push_back(check.key);
  pending.puts = call.puts;
  pending_[call.token] = std::move(pending);
  out.emplace_back(OwnershipTransact{std::move(call)});
}

void TaskPartitions::AddPut(const PartitionId& id, const EntryHostId& owner,
                            Incarnation incarnation, TransactCall& call) const {
  const std::optional<PartitionView> view = Find(id);
  const std::string key = PartitionRowKey(id);
  const Epoch epoch = view ? view->row.epoch.Next() : Epoch(1);
  call.checks.push_back({key, view ? view->version : RowVersion()});
  call.puts.push_back(
      {key, EncodePartitionRow(PartitionRow{owner, incarnation, epoch})});
}

// Marks at most one host lapsed, and takes those of its partitions that prefer
// this host; other hosts claim the rest when they see the lapsed row.
void TaskPartitions::SendLapse(std::span<const EntryHostId> preferred, Time now,
                               PartitionActions& out) {
  if (!MayTransact(now)) return;
  for (const auto& [host, known] : hosts_) {
    const Duration unchanged = known.last_sent - known.unchanged_since;
    if (known.row.lapsed || host == settings_.self ||
        unchanged < settings_.lease + settings_.lease_margin) {
      continue;
    }
    HostRow lapsed = known.row;
    lapsed.lapsed = true;
    TransactCall call;
    call.checks.push_back({HostRowKey(host), known.version});
    call.puts.push_back({HostRowKey(host), EncodeHostRow(lapsed)});
    const std::vector<EntryHostId> others = Without(preferred, host);
    for (const auto& [id, partition] : partitions_) {
      if (std::ssize(call.puts) >= settings_.rows_per_transaction) break;
      if (!partition.view || partition.view->row.owner != host) continue;
      if (stopping_ || RendezvousOwner(id.str(), others) != settings_.self) {
        continue;
      }
      AddPut(id, settings_.self, *incarnation_, call);
    }
    SendTransaction(std::move(call), now, out);
    return;
  }
}

bool TaskPartitions::OwnedByDead(const PartitionRow& row) {
  if (row.owner == settings_.self) return row.incarnation != incarnation_;
  const auto host = hosts_.find(row.owner);
  if (host == hosts_.end()) {
    AddRead(HostRowKey(row.owner));
    return false;
  }
  const HostRow& found = host->second.row;
  return found.incarnation > row.incarnation ||
         (found.incarnation == row.incarnation && found.lapsed);
}

bool TaskPartitions::ShouldClaim(const PartitionId& id, Partition& partition,
                                 std::span<const EntryHostId> preferred,
                                 Time now) {
  const bool orphan =
      partition.view ? OwnedByDead(partition.view->row) : partition.absent;
  if (partition.owned || !orphan) {
    partition.orphan_since.reset();
    return false;
  }
  if (!partition.orphan_since) partition.orphan_since = now;
  const std::vector<EntryHostId> order = RendezvousOrder(id.str(), preferred);
  const auto self = std::find(order.begin(), order.end(), settings_.self);
  if (self == order.end()) return false;
  const auto rank = self - order.begin();
  return now >= *partition.orphan_since + rank * settings_.claim_stagger;
}

void TaskPartitions::SendClaims(std::span<const EntryHostId> preferred,
                                Time now, PartitionActions& out) {
  if (stopping_ || !MayTransact(now)) return;
  TransactCall call;
  for (auto& [id, partition] : partitions_) {
    if (std::ssize(call.puts) >= settings_.rows_per_transaction) break;
    if (!ShouldClaim(id, partition, preferred, now)) continue;
    AddPut(id, settings_.self, *incarnation_, call);
  }
  if (!call.puts.empty()) SendTransaction(std::move(call), now, out);
}

std::optional<EntryHostId> TaskPartitions::BetterOwner(
    const PartitionId& id, std::span<const EntryHostId> preferred) const {
  std::vector<EntryHostId> able;
  for (const EntryHostId& host : preferred) {
    const auto known = hosts_.find(host);
    const bool live = known != hosts_.end() && !known->second.row.lapsed &&
                      !known->second.row.leaving;
    if (live || (host == settings_.self && !stopping_)) able.push_back(host);
  }
  const std::optional<EntryHostId> best = RendezvousOwner(id.str(), able);
  return best == settings_.self ? std::nullopt : best;
}

// Starts a release when a better owner has lasted, and takes it back when
// there is none any more.
void TaskPartitions::UpdateRelease(const PartitionId& id, Partition& partition,
                                   const std::optional<EntryHostId>& better,
                                   Time now, PartitionActions& out) {
  const bool wanted = better || stopping_;
  if (!wanted) {
    partition.better_since.reset();
    if (!partition.preparing) return;
    partition.preparing = false;
    partition.ready = false;
    out.emplace_back(OwnershipGained{id, partition.view->row.epoch,
                                     partition.view->version});
    return;
  }
  if (!partition.better_since) partition.better_since = now;
  const bool due =
      stopping_ || now >= *partition.better_since + settings_.handover_delay;
  if (!due || partition.preparing) return;
  partition.preparing = true;
  out.emplace_back(PrepareRelease{id});
}

void TaskPartitions::SendHandOvers(std::span<const EntryHostId> preferred,
                                   Time now, PartitionActions& out) {
  if (!transaction_.empty()) return;
  TransactCall call;
  for (auto& [id, partition] : partitions_) {
    if (!partition.owned) continue;
    const std::optional<EntryHostId> better = BetterOwner(id, preferred);
    UpdateRelease(id, partition, better, now, out);
    if (!partition.ready) continue;
    if (!better) {
      // The last host stops: its row will be marked lapsed, which frees the
      // partition for any later host.
      partition.released = true;
      Drop(id, partition, out);
      continue;
    }
    if (std::ssize(call.puts) >= settings_.rows_per_transaction) continue;
    AddPut(id, *better, hosts_.at(*better).row.incarnation, call);
  }
  if (!call.puts.empty() && MayTransact(now)) {
    SendTransaction(std::move(call), now, out);
  }
}

}  // namespace gypsumfall
