#include "gypsumfall/leadership/leadership.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace gypsumfall {
namespace {

// Added to the lease before other hosts consider it expired. Covers read and
// send latency and the drift between two clocks.
constexpr Duration kLeaseMargin = milliseconds(150);
// Candidates claim in staggered slots, so that most of them see the first claim
// instead of competing with it. A slot covers a claim, which takes longer than
// a read, and the read that shows it; it has a minimum length. Smaller hosts
// claim after larger ones, which have more processors for scheduling.
constexpr std::uint64_t kClaimSlotCount = 8;
constexpr Duration kMinClaimSlotLength = milliseconds(8);
constexpr int kReadsPerClaimSlot = 3;
// A holder that renews over a slow store needs this many times the latency of a
// read, because its write waits for other writes of the partition.
constexpr int kSlowRenewalFactor = 4;
// Time for which a row that names its successor is left to it.
constexpr Duration kSuccessorHeadStart = milliseconds(800);
// Time for which a smaller host has led before it is asked to hand over, and
// the time between two candidates. A handover interrupts scheduling for some
// hundred milliseconds, which is less than a small host costs in that time.
constexpr Duration kMinTimeBeforeHandover = seconds(2);
constexpr Duration kHandoverSlotLength = milliseconds(300);
constexpr Duration kProcessorShareDelay = milliseconds(200);
// Multiplies kProcessorShareDelay while no leader row exists. On the first
// start of a deployment no job waits for a scheduler, and hosts start at
// slightly different times.
constexpr int kFirstStartFactor = 5;
// A host with fewer processors than the last holder waits until every larger
// host has read the row, which happens every 0.7 s, and could have claimed it.
constexpr Duration kSmallerThanHolderDelay = milliseconds(1100);
// Refused connections further apart than this count as separate outages of the
// holder.
constexpr Duration kRefusalWindow = seconds(1);

}  // namespace

MilliCores ProcessorsOf(double processor_share) {
  return MilliCores(std::lround(processor_share * 1000));
}

std::string_view ClaimReasonName(ClaimReason claim_reason) {
  static constexpr std::array<std::string_view, 7> kNames = {
      "not_over",        "no_row",         "released",  "own_row",
      "holder_replaced", "holder_refuses", "lease_over"};
  return kNames.at(static_cast<std::size_t>(claim_reason));
}

LeaderLease::LeaderLease(const LeaderLeaseSettings& settings, EntryHostId self,
                         std::string endpoint, std::string process)
    : settings_(settings),
      self_(std::move(self)),
      endpoint_(std::move(endpoint)),
      process_(std::move(process)) {}

void LeaderLease::Observe(const std::optional<LeaderRecord>& record,
                          RowVersion version, Time now, Duration read_latency) {
  if (is_leader_) return;
  read_latency_ = read_latency;
  // Responses may arrive out of order; versions only increase.
  if (row_known_ && version < version_) return;
  if (!row_known_ || version != version_ || record_ != record) {
    unchanged_since_ = now;
    refusals_ = 0;
    holder_replaced_ = false;
  }
  if (!row_known_ || !record || !record_ ||
      record->process != record_->process ||
      record->released != record_->released) {
    holder_since_ = now;
  }
  row_known_ = true;
  observed_at_ = now;
  record_ = record;
  version_ = version;
}

void LeaderLease::OnHolderRefused(const std::string& called, Time now) {
  if (!IsHolder(called)) return;
  if (now > last_refusal_ + kRefusalWindow) refusals_ = 0;
  last_refusal_ = now;
  ++refusals_;
}

void LeaderLease::OnHolderReplaced(const std::string& called) {
  if (IsHolder(called)) holder_replaced_ = true;
}

bool LeaderLease::IsHolder(const std::string& process) const {
  return record_ && record_->process == process;
}

ClaimReason LeaderLease::FindClaimReason(Time now) const {
  if (!record_) return ClaimReason::kNoRow;
  if (record_->released) return ClaimReason::kReleased;
  // The row was written by an earlier process of this host, or by a claim of
  // this process whose response was lost. Neither sends orders to workers.
  if (record_->holder == self_) return ClaimReason::kOwnRow;
  if (holder_replaced_) return ClaimReason::kHolderReplaced;
  // A row that could not be read since the last observation may have changed.
  const bool outage = last_read_failure_ &&
                      (*last_read_failure_ >= observed_at_ ||
                       now < *last_read_failure_ + settings_.outage_grace);
  if (!outage && now >= unchanged_since_ + settings_.lease + kLeaseMargin +
                            kSlowRenewalFactor * read_latency_) {
    return ClaimReason::kLeaseExpired;
  }
  if (refusals_ >= settings_.refusal_threshold) {
    return ClaimReason::kHolderRefuses;
  }
  return ClaimReason::kNone;
}

std::uint64_t LeaderLease::ClaimSlot() const {
  const std::uint64_t epoch = record_ ? record_->epoch.value() : 0;
  return StableHash(self_.str() + "/" + std::to_string(epoch)) %
         kClaimSlotCount;
}

Duration LeaderLease::ClaimDelay() const {
  const bool has_successor =
      record_ && record_->released && !record_->successor.empty();
  if (has_successor && record_->successor == self_) return Duration{0};
  const Duration slot_length =
      std::max(kMinClaimSlotLength, kReadsPerClaimSlot * read_latency_);
  const double missing_share =
      std::clamp(1.0 - settings_.processor_share, 0.0, 1.0);
  const Duration share_delay(static_cast<std::int64_t>(
      missing_share * static_cast<double>(kProcessorShareDelay.count())));
  Duration delay = slot_length * static_cast<std::int64_t>(ClaimSlot()) +
                   share_delay * (record_ ? 1 : kFirstStartFactor);
  if (IsSmallerThanHolder()) {
    delay += kSmallerThanHolderDelay +
             slot_length * static_cast<std::int64_t>(kClaimSlotCount);
  }
  return has_successor ? delay + kSuccessorHeadStart : delay;
}

bool LeaderLease::IsSmallerThanHolder() const {
  return record_ && Processors() < record_->processors;
}

bool LeaderLease::WantsHandover(Time now) const {
  if (is_leader_ || !row_known_ || !record_ || record_->released) return false;
  // Rows without the size of their holder were written before it was stored.
  if (record_->processors.value() == 0 || record_->processors >= Processors()) {
    return false;
  }
  return now >=
         holder_since_ + kMinTimeBeforeHandover +
             kHandoverSlotLength * static_cast<std::int64_t>(ClaimSlot());
}

MilliCores LeaderLease::Processors() const {
  return ProcessorsOf(settings_.processor_share);
}

milliseconds LeaderLease::SlackAfter(ClaimReason reason) const {
  const auto lease = std::chrono::ceil<milliseconds>(settings_.lease);
  switch (reason) {
    case ClaimReason::kNone:
    case ClaimReason::kNoRow:
    case ClaimReason::kLeaseExpired:
      return milliseconds(0);
    case ClaimReason::kHolderRefuses:
    case ClaimReason::kHolderReplaced:
      // A network partition also refuses connections, and another machine may
      // have been given the address of a holder that is only cut off.
      return lease;
    case ClaimReason::kOwnRow:
      // A machine of the same name at another address may be cut off.
      if (record_->endpoint != endpoint_) return lease;
      [[fallthrough]];
    case ClaimReason::kReleased:
      // The holder sends no more orders, but the one before it may, if the
      // holder claimed because of refused connections.
      return record_->predecessor_slack.value_or(lease);
  }
  return lease;
}

std::optional<LeaderClaim> LeaderLease::Claim(Time now, Duration extra_delay) {
  if (is_leader_ || !row_known_) return std::nullopt;
  const ClaimReason reason = FindClaimReason(now);
  if (reason == ClaimReason::kNone) {
    claimable_since_.reset();
    return std::nullopt;
  }
  if (!claimable_since_) claimable_since_ = now;
  if (now < *claimable_since_ + ClaimDelay() + extra_delay) return std::nullopt;
  LeaderRecord record{.holder = self_,
                      .endpoint = endpoint_,
                      .process = process_,
                      .epoch = record_ ? record_->epoch.Next() : Epoch(1),
                      .processors = Processors(),
                      .predecessor_slack = SlackAfter(reason)};
  return LeaderClaim{std::move(record), version_, reason};
}

void LeaderLease::OnStored(const LeaderClaim& claim, RowVersion version,
                           Time sent) {
  if (!is_leader_) {
    predecessor_slack_ = *claim.record.predecessor_slack;
    predecessors_end_ = sent + predecessor_slack_;
  }
  is_leader_ = !claim.record.released;
  row_known_ = true;
  record_ = claim.record;
  version_ = version;
  valid_until_ = sent + settings_.lease;
}

void LeaderLease::OnLost() {
  is_leader_ = false;
  row_known_ = false;
  claimable_since_.reset();
  refusals_ = 0;
  holder_replaced_ = false;
}

LeaderClaim LeaderLease::Renewal(Time now) const {
  LeaderClaim claim{*record_, version_};
  ++claim.record.renewal;
  claim.record.predecessor_slack = std::chrono::ceil<milliseconds>(
      std::max(Duration{0}, predecessors_end_ - now));
  return claim;
}

LeaderClaim LeaderLease::Release(Time now, EntryHostId successor) const {
  LeaderClaim claim = Renewal(now);
  claim.record.released = true;
  claim.record.full = false;
  claim.record.load.clear();
  claim.record.successor = std::move(successor);
  return claim;
}

bool ClaimGate::Allows(bool due, Time read_sent, Time now) {
  if (!due) {
    due_since_.reset();
    return false;
  }
  if (!due_since_) due_since_ = now;
  return read_sent >= *due_since_;
}

}  // namespace gypsumfall
