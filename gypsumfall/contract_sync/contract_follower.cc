#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/contract_sync/contract_sync.h"
#include "gypsumfall/contract_sync/internal/keys.h"

namespace gypsumfall {

using contract_sync_internal::ChangeKey;
using contract_sync_internal::ContractChange;
using contract_sync_internal::DecodeChange;
using contract_sync_internal::kRevisionKey;
using contract_sync_internal::ParseRevision;

namespace {

// Bounds the size of one read by a host that is many revisions behind.
constexpr std::uint64_t kMaxChangesPerRead = 64;
constexpr int kScanPage = 500;

// The initial scan can return stale rows, so the changes just before it are
// read again and checked by version. 64 changes span 43 minutes at 2,100
// changes a day.
constexpr std::uint64_t kRecheckedChanges = 64;

}  // namespace

std::vector<ContractFollowerAction> ContractFollower::Tick(Time now) {
  if (phase_ != Phase::kIdle) return {};
  const bool peer_is_ahead = scan_done_ && newest_seen_ > applied_revision_;
  if (!peer_is_ahead && now < next_poll_) return {};
  phase_ = Phase::kRevision;
  return {ReadRows{{{kRevisionKey}}}};
}

void ContractFollower::OnPeerRevision(ContractRevision revision) {
  newest_seen_ = std::max(newest_seen_, revision);
}

void ContractFollower::OnReadFailed(Time now) {
  // Also discards the revision reported by a peer: immediate retries by all
  // hosts would overload a table service that is recovering.
  newest_seen_ = applied_revision_;
  scanned_.clear();
  BecomeIdle(now);
}

void ContractFollower::BecomeIdle(Time now) {
  phase_ = Phase::kIdle;
  next_poll_ = now + poll_interval_;
}

std::vector<ContractFollowerAction> ContractFollower::OnRows(
    const RowsReply& reply, Time now) {
  switch (phase_) {
    case Phase::kIdle:
      return {};
    case Phase::kRevision: {
      std::vector<ContractFollowerAction> actions = OnRevision(reply);
      if (actions.empty()) BecomeIdle(now);
      return actions;
    }
    case Phase::kScan:
      return OnScan(reply, now);
    case Phase::kChanges:
      return OnChanges(reply);
    case Phase::kContracts:
      return OnContracts(reply, now);
  }
  return {};
}

std::vector<ContractFollowerAction> ContractFollower::OnRevision(
    const RowsReply& reply) {
  const ContractRevision read = reply.rows.empty()
                                    ? ContractRevision()
                                    : ParseRevision(reply.rows.front().value);
  if (!scan_done_) {
    // The revision is read before the scan, so that a change made between the
    // two is fetched again instead of being missed.
    read_target_ = read;
    phase_ = Phase::kScan;
    return {ScanRows{{std::string(ContractPrefix()), "", kScanPage}}};
  }
  // A stale read can return an older revision than the applied one.
  newest_seen_ = std::max(applied_revision_, read);
  if (read <= applied_revision_) return {};
  return ReadChanges();
}

std::vector<ContractFollowerAction> ContractFollower::ReadChanges() {
  phase_ = Phase::kChanges;
  read_target_ = ContractRevision(std::min(
      newest_seen_.value(), applied_revision_.value() + kMaxChangesPerRead));
  ReadCall call;
  for (auto revision = applied_revision_.Next(); revision <= read_target_;
       revision = revision.Next()) {
    call.keys.push_back(ChangeKey(revision));
  }
  return {ReadRows{std::move(call)}};
}

std::vector<ContractFollowerAction> ContractFollower::OnScan(
    const RowsReply& reply, Time now) {
  for (const Row& row : reply.rows) {
    if (auto contract = DecodeStoredContract(row.value)) {
      scanned_.push_back(std::move(*contract));
    }
  }
  if (reply.rows.size() == static_cast<std::size_t>(kScanPage)) {
    return {ScanRows{
        {std::string(ContractPrefix()), reply.rows.back().key, kScanPage}}};
  }
  scan_done_ = true;
  load_target_revision_ = read_target_;
  newest_seen_ = read_target_;
  applied_revision_ = ContractRevision(
      read_target_.value() - std::min(read_target_.value(), kRecheckedChanges));
  BecomeIdle(now);
  return {ApplyContracts{std::exchange(scanned_, {}), applied_revision_}};
}

std::vector<ContractFollowerAction> ContractFollower::OnChanges(
    const RowsReply& reply) {
  expected_versions_.clear();
  std::uint64_t last_complete = applied_revision_.value();
  for (const Row& row : reply.rows) {
    // A missing change row means that the read was stale: applies only the
    // contiguous changes before it.
    if (row.version == RowVersion()) break;
    ++last_complete;
    const ContractChange change = DecodeChange(row.value);
    ContractVersion& version = expected_versions_[change.customer];
    version = std::max(version, change.version);
  }
  read_target_ = ContractRevision(last_complete);
  phase_ = Phase::kContracts;
  ReadCall call;
  for (const auto& [customer, version] : expected_versions_) {
    call.keys.push_back(ContractKey(customer));
  }
  return {ReadRows{std::move(call)}};
}

std::vector<ContractFollowerAction> ContractFollower::OnContracts(
    const RowsReply& reply, Time now) {
  ApplyContracts apply;
  for (const Row& row : reply.rows) {
    auto contract = DecodeStoredContract(row.value);
    if (!contract) continue;
    const auto expected = expected_versions_.find(contract->customer);
    if (expected != expected_versions_.end() &&
        contract->version >= expected->second) {
      expected_versions_.erase(expected);
    }
    apply.contracts.push_back(std::move(*contract));
  }
  if (expected_versions_.empty()) {
    applied_revision_ = std::max(applied_revision_, read_target_);
    BecomeIdle(now);
  } else {
    OnReadFailed(now);
  }
  apply.revision = applied_revision_;
  return {std::move(apply)};
}

}  // namespace gypsumfall
