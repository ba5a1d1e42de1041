#include "gypsumfall/duty/duty.h"

#include <utility>

namespace gypsumfall {
namespace {

// Added to a lease before it counts as over for others: reading, sending and
// the drift of two clocks.
constexpr Duration kLeaseMargin = milliseconds(150);
// Candidates claim one after another, so that most of them see the first
// claim instead of racing it.
constexpr std::uint64_t kClaimSlots = 8;
constexpr Duration kClaimSlot = milliseconds(20);
// Refusals further apart do not belong to one outage of the holder.
constexpr Duration kRefusalMemory = seconds(1);

}  // namespace

DutyLease::DutyLease(const DutySettings& settings, EntryHostId self,
                     std::string endpoint, std::string process)
    : settings_(settings),
      self_(std::move(self)),
      endpoint_(std::move(endpoint)),
      process_(std::move(process)) {}

void DutyLease::Observe(const std::optional<DutyRecord>& record,
                        RowVersion version, Time now) {
  if (held_) return;
  // Responses may overtake each other; versions only grow.
  if (known_ && version < version_) return;
  if (!known_ || version != version_ || record_ != record) {
    unchanged_since_ = now;
    refusals_ = 0;
    replaced_ = false;
  }
  known_ = true;
  record_ = record;
  version_ = version;
}

void DutyLease::OnHolderRefused(Time now) {
  if (now > last_refusal_ + kRefusalMemory) refusals_ = 0;
  last_refusal_ = now;
  ++refusals_;
}

void DutyLease::OnHolderReplaced() { replaced_ = true; }

bool DutyLease::IsOver(Time now) const {
  if (!record_ || record_->released || replaced_) return true;
  // Either an earlier process of this host, or a claim of this process whose
  // answer was lost; neither orders workers.
  if (record_->holder == self_) return true;
  if (refusals_ >= settings_.refusals_until_gone) return true;
  if (last_read_failure_ &&
      now < *last_read_failure_ + settings_.outage_grace) {
    return false;
  }
  return now >= unchanged_since_ + settings_.lease + kLeaseMargin;
}

Duration DutyLease::ClaimDelay() const {
  const std::uint64_t epoch = record_ ? record_->epoch.value() : 0;
  const std::uint64_t slot =
      StableHash(self_.str() + "/" + std::to_string(epoch)) % kClaimSlots;
  return kClaimSlot * static_cast<std::int64_t>(slot);
}

std::optional<DutyClaim> DutyLease::Claim(Time now) const {
  if (held_ || !known_ || !IsOver(now)) return std::nullopt;
  if (now < unchanged_since_ + ClaimDelay()) return std::nullopt;
  DutyRecord record{.holder = self_,
                    .endpoint = endpoint_,
                    .process = process_,
                    .epoch = record_ ? record_->epoch.Next() : Epoch(1)};
  return DutyClaim{std::move(record), version_};
}

void DutyLease::OnStored(const DutyRecord& record, RowVersion version,
                         Time sent) {
  if (!held_) {
    // A holder that did not answer, or that was cut off, may have acted until
    // its lease was over.
    const bool known_gone = !record_ || record_->released || replaced_ ||
                            record_->holder == self_ ||
                            sent >= unchanged_since_ + settings_.lease;
    predecessor_slack_ = known_gone ? Duration{0} : settings_.lease;
  }
  held_ = !record.released;
  known_ = true;
  record_ = record;
  version_ = version;
  valid_until_ = sent + settings_.lease;
}

void DutyLease::OnLost() {
  held_ = false;
  known_ = false;
  refusals_ = 0;
  replaced_ = false;
}

DutyClaim DutyLease::Renewal() const {
  DutyClaim claim{*record_, version_};
  ++claim.record.renewal;
  return claim;
}

DutyClaim DutyLease::Release() const {
  DutyClaim claim = Renewal();
  claim.record.released = true;
  return claim;
}

}  // namespace gypsumfall
