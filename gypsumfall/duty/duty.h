#ifndef GYPSUMFALL_DUTY_DUTY_H_
#define GYPSUMFALL_DUTY_DUTY_H_

/// @file
/// Decides which entry host schedules. The duty is one row of the table
/// service; whoever replaces the row under a condition on its version holds
/// the duty in the next epoch. Nothing in the store expires, so a holder counts
/// its own lease from the time at which it sent its latest successful renewal,
/// and others wait for a whole lease in which the row did not change.
///
/// Example:
/// @code
///   DutyLease duty({}, EntryHostId("entry-1"), "10.0.0.1:7000", process);
///   duty.Observe(row, version, now);
///   if (auto claim = duty.Claim(now)) { /* put claim->record */ }
///   duty.OnStored(*claim, version, sent);
///   if (duty.IsHeld(now)) { /* order workers */ }
/// @endcode

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gypsumfall/base/base.h"
#include "gypsumfall/jobs/jobs.h"

namespace gypsumfall {

struct DutySettings {
  /// Time after a renewal was sent in which the holder may act.
  Duration lease = seconds(3);
  /// A claim is put off this long after a failed read, so that a holder that
  /// the same outage has kept from renewing comes first.
  Duration outage_grace = milliseconds(700);
  /// Refused connections to the holder after which it counts as gone.
  int refusals_until_gone = 2;
  /// Processors of this host, as part of a core. Larger hosts claim first.
  double processor_share = 1.0;
};

/// Why the duty of another holder counts as over.
enum class DutyEnd {
  kNotOver,
  kNoRow,
  kReleased,
  /// The row names this host, which does not schedule.
  kOwnRow,
  /// Another process answers at the holder's address.
  kHolderReplaced,
  /// The holder's address refuses connections.
  kHolderRefuses,
  /// The row did not change for a whole lease.
  kLeaseOver,
};

/// @return a fixed name such as "lease_over".
std::string_view DutyEndName(DutyEnd end);

/// A row to put, if the stored one still has the version.
struct DutyClaim {
  DutyRecord record;
  RowVersion expected;
  /// Why a claim is made; not used for renewals.
  DutyEnd reason = DutyEnd::kNotOver;
};

/// One host's view of the duty.
class DutyLease {
 public:
  /// @param endpoint address at which other hosts reach this one.
  /// @param process id that no other process has had.
  DutyLease(const DutySettings& settings, EntryHostId self,
            std::string endpoint, std::string process);

  /// Takes in the row as it was read; nothing if there is none yet.
  void Observe(const std::optional<DutyRecord>& record, RowVersion version,
               Time now);
  /// The row could not be read.
  void OnReadFailed(Time now) { last_read_failure_ = now; }
  /// The holder's address refused a connection.
  void OnHolderRefused(Time now);
  /// Another process answers at the holder's address.
  void OnHolderReplaced();

  /// To be called often while this host does not have the duty.
  /// @param handicap time that this host leaves to hosts that carry less.
  /// @return the row to put if this host should take over.
  std::optional<DutyClaim> Claim(Time now, Duration handicap = Duration{0});
  /// A claim or renewal was stored.
  /// @param claim what was stored.
  /// @param sent when it was sent.
  void OnStored(const DutyClaim& claim, RowVersion version, Time sent);
  /// The duty was lost or a claim failed; the row has to be read again.
  void OnLost();

  /// @return the next renewal; the duty must be held or suspended.
  DutyClaim Renewal() const;
  /// @return the row that gives the duty back.
  DutyClaim Release() const;

  /// @return whether this host may order workers.
  bool IsHeld(Time now) const { return held_ && now < valid_until_; }
  /// @return whether this host has the duty, even if its lease is over and
  ///   has yet to be renewed.
  bool has_duty() const { return held_; }
  /// @return the row as last seen.
  const std::optional<DutyRecord>& record() const { return record_; }
  RowVersion version() const { return version_; }
  /// @return whether this host has fewer processors than the latest holder.
  bool IsSmallerThanHolder() const;
  /// @return longest time that the holder before may still have acted after
  ///   this host's claim.
  Duration predecessor_slack() const { return predecessor_slack_; }

 private:
  DutyEnd EndOf(Time now) const;
  Duration ClaimDelay() const;
  MilliCores Processors() const;

  DutySettings settings_;
  EntryHostId self_;
  std::string endpoint_;
  std::string process_;
  std::optional<DutyRecord> record_;
  RowVersion version_;
  Time unchanged_since_{};
  /// Time of the latest read that succeeded.
  Time observed_at_{};
  /// Since when the duty was seen to be over, if it is.
  std::optional<Time> over_since_;
  std::optional<Time> last_read_failure_;
  int refusals_ = 0;
  Time last_refusal_{};
  bool replaced_ = false;
  bool known_ = false;
  bool held_ = false;
  Time valid_until_{};
  Duration predecessor_slack_{0};
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_DUTY_DUTY_H_
