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

// Bounds one read after a long time out of contact.
constexpr std::uint64_t kMaxChangesPerRead = 64;
constexpr int kScanPage = 500;

// A first scan can be stale. The changes just before it are read again with
// their versions; 64 changes span 43 minutes at 2,100 changes a day.
constexpr std::uint64_t kRecheckedChanges = 64;

}  // namespace

std::vector<FollowAction> ContractFollower::Tick(Time now) {
  if (phase_ != Phase::kIdle) return {};
  const bool peer_is_ahead = scan_done_ && seen_ > applied_;
  if (!peer_is_ahead && now < next_poll_) return {};
  phase_ = Phase::kRevision;
  return {ReadRows{{{kRevisionKey}}}};
}

void ContractFollower::OnPeerRevision(ContractRevision revision) {
  seen_ = std::max(seen_, revision);
}

void ContractFollower::OnReadFailed(Time now) {
  // A peer's hint is dropped as well: repeating at once would send a wave of
  // reads to a table service that is coming back.
  seen_ = applied_;
  scanned_.clear();
  Idle(now);
}

void ContractFollower::Idle(Time now) {
  phase_ = Phase::kIdle;
  next_poll_ = now + poll_interval_;
}

std::vector<FollowAction> ContractFollower::OnRows(const RowsReply& reply,
                                                   Time now) {
  switch (phase_) {
    case Phase::kIdle:
      return {};
    case Phase::kRevision: {
      std::vector<FollowAction> actions = OnRevision(reply);
      if (actions.empty()) Idle(now);
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

std::vector<FollowAction> ContractFollower::OnRevision(const RowsReply& reply) {
  const ContractRevision read = reply.rows.empty()
                                    ? ContractRevision()
                                    : ParseRevision(reply.rows.front().value);
  if (!scan_done_) {
    // The revision is read before the scan, so a change between the two is
    // fetched again later instead of being missed.
    target_ = read;
    phase_ = Phase::kScan;
    return {ScanRows{{std::string(ContractPrefix()), "", kScanPage}}};
  }
  // A stale read can show an older revision than the one applied.
  seen_ = std::max(applied_, read);
  if (read <= applied_) return {};
  return ReadChanges();
}

std::vector<FollowAction> ContractFollower::ReadChanges() {
  phase_ = Phase::kChanges;
  target_ = ContractRevision(
      std::min(seen_.value(), applied_.value() + kMaxChangesPerRead));
  ReadCall call;
  for (auto revision = applied_.Next(); revision <= target_;
       revision = revision.Next()) {
    call.keys.push_back(ChangeKey(revision));
  }
  return {ReadRows{std::move(call)}};
}

std::vector<FollowAction> ContractFollower::OnScan(const RowsReply& reply,
                                                   Time now) {
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
  load_target_ = target_;
  seen_ = target_;
  applied_ = ContractRevision(target_.value() -
                              std::min(target_.value(), kRecheckedChanges));
  Idle(now);
  return {ApplyContracts{std::exchange(scanned_, {}), applied_}};
}

std::vector<FollowAction> ContractFollower::OnChanges(const RowsReply& reply) {
  expected_.clear();
  std::uint64_t complete = applied_.value();
  for (const Row& row : reply.rows) {
    // A missing change row means a stale read: apply only what is complete.
    if (row.version == RowVersion()) break;
    ++complete;
    const ContractChange change = DecodeChange(row.value);
    ContractVersion& version = expected_[change.customer];
    version = std::max(version, change.version);
  }
  target_ = ContractRevision(complete);
  phase_ = Phase::kContracts;
  ReadCall call;
  for (const auto& [customer, version] : expected_) {
    call.keys.push_back(ContractKey(customer));
  }
  return {ReadRows{std::move(call)}};
}

std::vector<FollowAction> ContractFollower::OnContracts(const RowsReply& reply,
                                                        Time now) {
  ApplyContracts apply;
  for (const Row& row : reply.rows) {
    auto contract = DecodeStoredContract(row.value);
    if (!contract) continue;
    const auto expected = expected_.find(contract->customer);
    if (expected != expected_.end() && contract->version >= expected->second) {
      expected_.erase(expected);
    }
    apply.contracts.push_back(std::move(*contract));
  }
  if (expected_.empty()) {
    applied_ = std::max(applied_, target_);
    Idle(now);
  } else {
    OnReadFailed(now);
  }
  apply.revision = applied_;
  return {std::move(apply)};
}

}  // namespace gypsumfall
