#include "gypsumfall/duty/duty.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace gypsumfall {
namespace {

// Added to a lease before it counts as over for others: reading, sending and
// the drift of two clocks.
constexpr Duration kLeaseMargin = milliseconds(150);
// Candidates claim one after another, so that most of them see the first
// claim instead of racing it. Smaller hosts come after larger ones, which carry
// the duty more easily.
constexpr std::uint64_t kClaimSlots = 4;
constexpr Duration kClaimSlot = milliseconds(15);
constexpr Duration kSmallHostDelay = milliseconds(200);
// On the first start nobody waits for the duty, and hosts start at slightly
// different times.
constexpr int kFirstStartFactor = 5;
// A host with fewer processors than the last holder waits until each larger one
// has read the row, which all do every 0.7 s, and could have claimed.
constexpr Duration kSmallerHostDelay = milliseconds(1100);
// Refusals further apart do not belong to one outage of the holder.
constexpr Duration kRefusalMemory = seconds(1);

}  // namespace

std::string_view DutyEndName(DutyEnd end) {
  static constexpr std::array<std::string_view, 7> kNames = {
      "not_over",        "no_row",         "released",  "own_row",
      "holder_replaced", "holder_refuses", "lease_over"};
  return kNames.at(static_cast<std::size_t>(end));
}

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
  observed_at_ = now;
  record_ = record;
  version_ = version;
}

void DutyLease::OnHolderRefused(Time now) {
  if (now > last_refusal_ + kRefusalMemory) refusals_ = 0;
  last_refusal_ = now;
  ++refusals_;
}

void DutyLease::OnHolderReplaced() { replaced_ = true; }

DutyEnd DutyLease::EndOf(Time now) const {
  if (!record_) return DutyEnd::kNoRow;
  if (record_->released) return DutyEnd::kReleased;
  // Either an earlier process of this host, or a claim of this process whose
  // answer was lost; neither orders workers.
  if (record_->holder == self_) return DutyEnd::kOwnRow;
  if (replaced_) return DutyEnd::kHolderReplaced;
  // A row that could not be read since may well have changed.
  const bool outage = last_read_failure_ &&
                      (*last_read_failure_ >= observed_at_ ||
                       now < *last_read_failure_ + settings_.outage_grace);
  if (!outage && now >= unchanged_since_ + settings_.lease + kLeaseMargin) {
    return DutyEnd::kLeaseOver;
  }
  if (refusals_ >= settings_.refusals_until_gone) {
    return DutyEnd::kHolderRefuses;
  }
  return DutyEnd::kNotOver;
}

Duration DutyLease::ClaimDelay() const {
  const std::uint64_t epoch = record_ ? record_->epoch.value() : 0;
  const std::uint64_t slot =
      StableHash(self_.str() + "/" + std::to_string(epoch)) % kClaimSlots;
  const double missing = std::clamp(1.0 - settings_.processor_share, 0.0, 1.0);
  const Duration small_host(static_cast<std::int64_t>(
      missing * static_cast<double>(kSmallHostDelay.count())));
  return kClaimSlot * static_cast<std::int64_t>(slot) +
         small_host * (record_ ? 1 : kFirstStartFactor) +
         (IsSmallerThanHolder() ? kSmallerHostDelay : Duration{0});
}

bool DutyLease::IsSmallerThanHolder() const {
  return record_ && Processors() < record_->processors;
}

MilliCores DutyLease::Processors() const {
  return MilliCores(std::lround(settings_.processor_share * 1000));
}

std::optional<DutyClaim> DutyLease::Claim(Time now, Duration handicap) {
  if (held_ || !known_) return std::nullopt;
  const DutyEnd reason = EndOf(now);
  if (reason == DutyEnd::kNotOver) {
    over_since_.reset();
    return std::nullopt;
  }
  if (!over_since_) over_since_ = now;
  if (now < *over_since_ + ClaimDelay() + handicap) return std::nullopt;
  DutyRecord record{.holder = self_,
                    .endpoint = endpoint_,
                    .process = process_,
                    .epoch = record_ ? record_->epoch.Next() : Epoch(1),
                    .processors = Processors()};
  return DutyClaim{std::move(record), version_, reason};
}

void DutyLease::OnStored(const DutyClaim& claim, RowVersion version,
                         Time sent) {
  if (!held_) {
    // Unless a whole lease has passed, the holder or one shortly before it may
    // act on: a cut refuses connections too, and a holder that took over by
    // that sign may have been replaced or have given the duty back since.
    const bool waited =
        claim.reason == DutyEnd::kLeaseOver || claim.reason == DutyEnd::kNoRow;
    predecessor_slack_ = waited ? Duration{0} : settings_.lease;
  }
  held_ = !claim.record.released;
  known_ = true;
  record_ = claim.record;
  version_ = version;
  valid_until_ = sent + settings_.lease;
}

void DutyLease::OnLost() {
  held_ = false;
  known_ = false;
  over_since_.reset();
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
