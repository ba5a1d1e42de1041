#include "gypsumfall/scheduler/internal/duty_service.h"

#include <algorithm>
#include <utility>

namespace gypsumfall::scheduler_internal {
namespace {

// A holder renews at least this often, see DispatchService; a host that reads
// this often sees each renewal.
constexpr Duration kReadInterval = milliseconds(700);
// Hosts with fewer processors than the holder claim only after the others, and
// read less often: reads are priced, and most hosts of a large deployment are
// small.
constexpr Duration kSmallHostReadInterval = milliseconds(2100);
constexpr Duration kReadTimeout = milliseconds(600);
constexpr Duration kStoreTimeout = milliseconds(700);
constexpr Duration kFirstRetryDelay = milliseconds(20);
constexpr Duration kMaxRetryDelay = milliseconds(320);
// A host leaves a duty to hosts without one for this time, for each that it
// has. Longer than a claim takes, short against the lease that has passed.
constexpr Duration kHeldDutyHandicap = milliseconds(400);

}  // namespace

DutyService::DutyService(Context& context, const ShardScope& scope,
                         HostDuties& duties)
    : context_(context),
      scope_(scope),
      duties_(duties),
      lease_({.processor_share = context.settings.host.processor_share},
             context.settings.host.id,
             context.settings.host.listen_peers.ToString(), context.process),
      retry_(context.runtime, [this] { Send(); }) {}

void DutyService::Release() {
  if (!lease_.is_leader() || storing_) return;
  const LeaderClaim release = lease_.Release();
  RowTransaction transaction{.conditions = {{Address(), release.expected}},
                             .writes = {{Address(), Encode(release.record)}},
                             .removals = {}};
  // From here on nothing is ordered, whether the row is stored or not.
  --duties_.held;
  lease_.OnLost();
  on_lost();
  context_.ports.store.transact(
      std::move(transaction), kStoreTimeout,
      [this](const TransactionReply& reply) {
        log_.Info("duty given back",
                  {{"shard", scope_.id},
                   {"outcome", StoreOutcomeName(reply.outcome)}});
        ReadSoon();
      });
}

void DutyService::Tick() {
  if (duties_.stopping) Release();
  if (lease_.is_leader()) return;
  if (context_.Now() >= next_read_) Read();
  TryClaim();
}

void DutyService::ReadSoon() { next_read_ = Time::min(); }

void DutyService::OnHolderRefused() {
  lease_.OnHolderRefused(context_.Now());
  ReadSoon();
}

void DutyService::OnHolderReplaced(const std::string& process) {
  if (!lease_.record() || lease_.record()->process == process) {
    ReadSoon();
    return;
  }
  lease_.OnHolderReplaced();
}

void DutyService::Read() {
  if (reading_ || lease_.is_leader()) return;
  reading_ = true;
  next_read_ =
      context_.Now() +
      (lease_.IsSmallerThanHolder() ? kSmallHostReadInterval : kReadInterval);
  context_.ports.store.read(OnlyRow(Address()), kReadTimeout,
                            [this](const RowPage& page) {
                              reading_ = false;
                              OnRead(page);
                            });
}

void DutyService::OnRead(const RowPage& page) {
  const Time now = context_.Now();
  if (page.outcome != StoreOutcome::kDone) {
    lease_.OnReadFailed(now);
    return;
  }
  std::optional<DutyRecord> record;
  RowVersion version;
  for (const StoredRow& row : page.rows) {
    if (row.address.key != kDutyKey) continue;
    version = row.version;
    Result<DutyRecord> decoded = Decode<DutyRecord>(row.value);
    if (decoded) {
      record = *std::move(decoded);
    } else {
      log_.Error("the duty row can not be read and is replaced",
                 {{"why", decoded.error().detail}});
    }
  }
  lease_.Observe(record, version, now);
  TryClaim();
}

void DutyService::TryClaim() {
  const Time now = context_.Now();
  if (claiming_ || duties_.stopping) return;
  const std::optional<LeaderClaim> claim =
      lease_.Claim(now, kHeldDutyHandicap * duties_.held);
  if (!claim || duties_.claiming) return;
  claiming_ = true;
  duties_.claiming = true;
  log_.Info("claiming the duty",
            {{"shard", scope_.id},
             {"epoch", claim->record.epoch},
             {"why", ClaimReasonName(claim->reason)},
             {"holder", lease_.record() ? lease_.record()->holder.str() : ""},
             {"row_version", claim->expected}});
  RowTransaction transaction{.conditions = {{Address(), claim->expected}},
                             .writes = {{Address(), Encode(claim->record)}},
                             .removals = {}};
  context_.ports.store.transact(
      std::move(transaction), kStoreTimeout,
      [this, claim = *claim, sent = now](const TransactionReply& reply) {
        claiming_ = false;
        duties_.claiming = false;
        if (reply.outcome == StoreOutcome::kDone) {
          lease_.OnStored(claim, reply.version, sent);
          last_stored_ = sent;
          ++duties_.held;
          log_.Info("duty held", {{"shard", scope_.id},
                                  {"epoch", claim.record.epoch},
                                  {"held", duties_.held}});
          on_held();
          return;
        }
        // With an unknown outcome the row may come to name this process. The
        // next read then shows a holder that is not scheduling; its own lease
        // check claims the following epoch.
        log_.Info("claim failed",
                  {{"shard", scope_.id},
                   {"outcome", StoreOutcomeName(reply.outcome)}});
        lease_.OnLost();
        ReadSoon();
      });
}

void DutyService::Store(RowTransaction rows, std::function<void()> stored) {
  LeaderClaim renewal = lease_.Renewal();
  rows.conditions.push_back({Address(), renewal.expected});
  rows.writes.push_back({Address(), Encode(renewal.record)});
  storing_ = Storing{.transaction = std::move(rows),
                     .renewal = std::move(renewal),
                     .stored = std::move(stored),
                     .first_sent = context_.Now()};
  Send();
}

void DutyService::Send() {
  if (!storing_) return;
  context_.ports.store.transact(
      storing_->transaction, kStoreTimeout,
      [this, renewal = storing_->renewal.record.renewal,
       epoch = storing_->renewal.record.epoch](const TransactionReply& reply) {
        const bool current = storing_ &&
                             storing_->renewal.record.renewal == renewal &&
                             storing_->renewal.record.epoch == epoch;
        if (current) OnReply(reply);
      });
}

void DutyService::OnReply(const TransactionReply& reply) {
  if (reply.outcome == StoreOutcome::kDone) {
    Finish(reply.version);
    return;
  }
  if (reply.outcome == StoreOutcome::kConflict) {
    // An earlier attempt without an answer may have been carried out.
    for (const StoredRow& row : reply.current) {
      const Result<DutyRecord> record = Decode<DutyRecord>(row.value);
      if (row.address == Address() && record &&
          *record == storing_->renewal.record) {
        Finish(row.version);
        return;
      }
    }
    Lose("the duty row has another version");
    return;
  }
  if (storing_->failures++ == 0) {
    log_.Warning("store does not take the scheduler's rows",
                 {{"shard", scope_.id},
                  {"outcome", StoreOutcomeName(reply.outcome)},
                  {"rows", storing_->transaction.writes.size()}});
  }
  const Duration delay =
      kFirstRetryDelay * (1 << std::min(storing_->failures - 1, 4));
  retry_.NotAfter(context_.Now() + std::min(delay, kMaxRetryDelay));
}

void DutyService::Finish(RowVersion version) {
  Storing done = std::move(*storing_);
  storing_.reset();
  if (done.failures > 0) {
    log_.Info("store takes the scheduler's rows again",
              {{"shard", scope_.id}, {"failures", done.failures}});
  }
  lease_.OnStored(done.renewal, version, done.first_sent);
  last_stored_ = done.first_sent;
  done.stored();
}

void DutyService::Resign() { Lose("workers know a newer epoch"); }

void DutyService::Lose(std::string_view why) {
  storing_.reset();
  log_.Warning("duty lost", {{"shard", scope_.id}, {"why", why}});
  --duties_.held;
  lease_.OnLost();
  ReadSoon();
  on_lost();
}

std::string DutyService::Dump() const {
  if (!lease_.record()) return "no duty row seen\n";
  const DutyRecord& record = *lease_.record();
  return "holder " + record.holder.str() + " at " + record.endpoint +
         " epoch " + std::to_string(record.epoch.value()) + " row version " +
         std::to_string(lease_.version().value()) +
         (lease_.is_leader() ? ", held here\n" : "\n");
}

}  // namespace gypsumfall::scheduler_internal
