#include "gypsumfall/scheduler/internal/leader_elector.h"

#include <algorithm>
#include <utility>

namespace gypsumfall::scheduler_internal {
namespace {

// Equals the maximum time between two renewals in DispatchService, so that a
// host that reads at this interval sees each renewal.
constexpr Duration kReadInterval = milliseconds(700);
// Hosts with fewer processors than the holder claim only after the others and
// read less often, because reads are billed and most hosts of a large
// deployment are small.
constexpr Duration kSmallHostReadInterval = milliseconds(2100);
constexpr Duration kReadTimeout = milliseconds(600);
// An attempt to store that is not answered may only be waiting in a slow store.
// It can still succeed until its timeout, while another attempt is sent in case
// its connection is dead. The timeout is below the lease, which starts when the
// first attempt is sent.
constexpr Duration kStoreTimeout = milliseconds(2200);
constexpr Duration kSecondAttemptDelay = milliseconds(700);
// Time for which this host leads before it hands leadership over.
constexpr Duration kMinTimeAsLeader = seconds(2);
constexpr Duration kFirstRetryDelay = milliseconds(20);
constexpr Duration kMaxRetryDelay = milliseconds(320);
// Delay of a claim for each shard that this host already leads, so that hosts
// with fewer shards claim first. It is longer than a claim takes and short
// compared with the lease that has expired.
constexpr Duration kClaimDelayPerHeldShard = milliseconds(400);

}  // namespace

LeaderElector::LeaderElector(Context& context, const ShardScope& scope,
                             HostLeadership& host_leadership)
    : context_(context),
      scope_(scope),
      host_leadership_(host_leadership),
      lease_({.processor_share = context.settings.host.processor_share},
             context.settings.host.id,
             context.settings.host.listen_peers.ToString(), context.process),
      retry_(context.runtime, [this] { SendPendingStore(); }) {}

void LeaderElector::Release() {
  if (!lease_.is_leader() || pending_store_) return;
  ReleaseTo(EntryHostId(), [](bool) {});
}

bool LeaderElector::WantsHandover() const {
  return !host_leadership_.stopping && host_leadership_.held_shards == 0 &&
         lease_.WantsHandover(context_.Now());
}

void LeaderElector::HandOver(const HandoverRequest& request,
                             UniqueFunction<bool> done) {
  const bool suitable = lease_.is_leader() && !host_leadership_.stopping &&
                        !pending_handover_ &&
                        request.processors > lease_.record()->processors &&
                        context_.Now() >= elected_at_ + kMinTimeAsLeader;
  if (!suitable) return done(false);
  log_.Info("handing leadership over to a larger host",
            {{"shard", scope_.id}, {"successor", request.host}});
  pending_handover_ = PendingHandover{request.host, std::move(done)};
  CompleteHandover();
}

void LeaderElector::CompleteHandover() {
  if (!pending_handover_ || pending_store_) return;
  PendingHandover handover = std::move(*pending_handover_);
  pending_handover_.reset();
  if (!lease_.is_leader()) return handover.done(false);
  ReleaseTo(handover.successor, std::move(handover.done));
}

void LeaderElector::ReleaseTo(const EntryHostId& successor,
                              UniqueFunction<bool> done) {
  const LeaderClaim release = lease_.Release(context_.Now(), successor);
  RowTransaction transaction{
      .conditions = {{LeaderRowAddress(), release.expected}},
      .writes = {{LeaderRowAddress(), Encode(release.record)}},
      .removals = {}};
  // From here on no orders are sent, whether or not the row is stored.
  --host_leadership_.held_shards;
  lease_.OnLost();
  on_lost();
  context_.ports.store.transact(
      std::move(transaction), kStoreTimeout,
      [this, done = std::move(done)](const TransactionReply& reply) mutable {
        log_.Info("leadership released",
                  {{"shard", scope_.id},
                   {"outcome", StoreOutcomeName(reply.outcome)}});
        ReadSoon();
        done(reply.outcome == StoreOutcome::kDone);
      });
}

void LeaderElector::Tick() {
  if (host_leadership_.stopping) Release();
  if (lease_.is_leader()) return;
  if (context_.Now() >= next_read_) ReadLeaderRow();
  TryClaim();
}

void LeaderElector::ReadSoon() { next_read_ = Time::min(); }

void LeaderElector::OnHolderRefused(const std::string& called) {
  lease_.OnHolderRefused(called, context_.Now());
  ReadSoon();
}

void LeaderElector::OnHolderReplaced(const std::string& called,
                                     const std::string& answering) {
  if (called == answering) {
    ReadSoon();
    return;
  }
  lease_.OnHolderReplaced(called);
}

void LeaderElector::ReadLeaderRow() {
  if (reading_ || lease_.is_leader()) return;
  reading_ = true;
  next_read_ =
      context_.Now() +
      (lease_.IsSmallerThanHolder() ? kSmallHostReadInterval : kReadInterval);
  context_.ports.store.read(SingleRow(LeaderRowAddress()), kReadTimeout,
                            [this, sent = context_.Now()](const RowPage& page) {
                              reading_ = false;
                              OnLeaderRowRead(page, sent);
                            });
}

void LeaderElector::OnLeaderRowRead(const RowPage& page, Time sent) {
  const Time now = context_.Now();
  store_clock_.Observe(page.store_time, sent, now);
  if (page.outcome != StoreOutcome::kDone) {
    lease_.OnReadFailed(now);
    return;
  }
  std::optional<LeaderRecord> record;
  RowVersion version;
  for (const StoredRow& row : page.rows) {
    if (row.address.key != kLeaderKey) continue;
    version = row.version;
    Result<LeaderRecord> decoded = Decode<LeaderRecord>(row.value);
    if (decoded) {
      record = *std::move(decoded);
    } else {
      log_.Error("cannot decode the leader row; replacing it",
                 {{"why", decoded.error().detail}});
    }
  }
  read_sent_ = sent;
  lease_.Observe(record, version, now, now - sent);
  TryClaim();
}

void LeaderElector::TryClaim() {
  const Time now = context_.Now();
  if (claiming_ || host_leadership_.stopping) return;
  const std::optional<LeaderClaim> claim =
      lease_.Claim(now, kClaimDelayPerHeldShard * host_leadership_.held_shards);
  const bool due = claim && !host_leadership_.claiming;
  if (!claim_gate_.Allows(due, read_sent_, now)) {
    if (due) ReadLeaderRow();
    return;
  }
  claiming_ = true;
  host_leadership_.claiming = true;
  log_.Info("claiming leadership",
            {{"shard", scope_.id},
             {"epoch", claim->record.epoch},
             {"why", ClaimReasonName(claim->reason)},
             {"holder", lease_.record() ? lease_.record()->holder.str() : ""},
             {"row_version", claim->expected}});
  RowTransaction transaction{
      .conditions = {{LeaderRowAddress(), claim->expected}},
      .writes = {{LeaderRowAddress(), Encode(claim->record)}},
      .removals = {}};
  context_.ports.store.transact(
      std::move(transaction), kStoreTimeout,
      [this, claim = *claim, sent = now](const TransactionReply& reply) {
        claiming_ = false;
        host_leadership_.claiming = false;
        store_clock_.Observe(reply.store_time, sent, context_.Now());
        if (reply.outcome == StoreOutcome::kDone) {
          lease_.OnStored(claim, reply.version, sent);
          last_stored_ = sent;
          elected_at_ = context_.Now();
          ++host_leadership_.held_shards;
          log_.Info("leadership acquired",
                    {{"shard", scope_.id},
                     {"epoch", claim.record.epoch},
                     {"held", host_leadership_.held_shards}});
          on_elected();
          return;
        }
        // If the outcome is unknown, the row may still name this process. The
        // next read then finds this host as the holder although it is not the
        // leader, and the host claims the following epoch.
        log_.Info("leadership claim failed",
                  {{"shard", scope_.id},
                   {"outcome", StoreOutcomeName(reply.outcome)}});
        lease_.OnLost();
        ReadSoon();
      });
}

void LeaderElector::Store(RowTransaction rows, bool full, std::string load,
                          std::function<void()> stored,
                          std::function<void()> rejected) {
  LeaderClaim renewal = lease_.Renewal(context_.Now());
  renewal.record.full = full;
  renewal.record.load = std::move(load);
  rows.conditions.push_back({LeaderRowAddress(), renewal.expected});
  rows.writes.push_back({LeaderRowAddress(), Encode(renewal.record)});
  pending_store_ = PendingStore{.transaction = std::move(rows),
                                .renewal = std::move(renewal),
                                .stored = std::move(stored),
                                .rejected = std::move(rejected),
                                .first_sent = context_.Now()};
  SendPendingStore();
}

void LeaderElector::SendPendingStore() {
  if (!pending_store_) return;
  retry_.ScheduleNoLaterThan(context_.Now() + kSecondAttemptDelay);
  context_.ports.store.transact(
      pending_store_->transaction, kStoreTimeout,
      [this, renewal = pending_store_->renewal.record.renewal,
       epoch = pending_store_->renewal.record.epoch,
       sent = context_.Now()](const TransactionReply& reply) {
        store_clock_.Observe(reply.store_time, sent, context_.Now());
        const bool is_current =
            pending_store_ &&
            pending_store_->renewal.record.renewal == renewal &&
            pending_store_->renewal.record.epoch == epoch;
        if (is_current) OnStoreReply(reply);
      });
}

void LeaderElector::OnStoreReply(const TransactionReply& reply) {
  if (reply.outcome == StoreOutcome::kDone) {
    CompleteStore(reply.version);
    return;
  }
  if (reply.outcome == StoreOutcome::kConflict) {
    // An earlier attempt without a response may have been carried out.
    for (const StoredRow& row : reply.current) {
      const Result<LeaderRecord> record = Decode<LeaderRecord>(row.value);
      if (row.address == LeaderRowAddress() && record &&
          *record == pending_store_->renewal.record) {
        CompleteStore(row.version);
        return;
      }
    }
    LoseLeadership("the version of the leader row has changed");
    return;
  }
  // The renewal alone is repeated like after any other failure.
  if (reply.outcome == StoreOutcome::kRejected &&
      !pending_store_->IsOnlyRenewal()) {
    RejectStore();
    return;
  }
  if (pending_store_->failures++ == 0) {
    log_.Warning("failed to store the scheduler's rows; retrying",
                 {{"shard", scope_.id},
                  {"outcome", StoreOutcomeName(reply.outcome)},
                  {"rows", pending_store_->transaction.writes.size()}});
  }
  const Duration delay =
      kFirstRetryDelay * (1 << std::min(pending_store_->failures - 1, 4));
  retry_.ScheduleNoLaterThan(context_.Now() + std::min(delay, kMaxRetryDelay));
}

void LeaderElector::CompleteStore(RowVersion version) {
  PendingStore completed = std::move(*pending_store_);
  pending_store_.reset();
  if (completed.failures > 0) {
    log_.Info("storing the scheduler's rows succeeded after retries",
              {{"shard", scope_.id}, {"failures", completed.failures}});
  }
  lease_.OnStored(completed.renewal, version, completed.first_sent);
  last_stored_ = completed.first_sent;
  completed.stored();
  CompleteHandover();
}

// The transaction is not repeated, so that the next one can renew the lease.
void LeaderElector::RejectStore() {
  const PendingStore rejected = std::move(*pending_store_);
  pending_store_.reset();
  std::size_t largest_row = 0;
  for (const RowWrite& write : rejected.transaction.writes)
    largest_row = std::max(largest_row, write.value.size());
  log_.Error("the store rejected the scheduler's rows",
             {{"shard", scope_.id},
              {"rows", rejected.transaction.writes.size()},
              {"removals", rejected.transaction.removals.size()},
              {"largest_row_bytes", largest_row}});
  rejected.rejected();
  CompleteHandover();
}

void LeaderElector::Resign() { LoseLeadership("workers know a newer epoch"); }

void LeaderElector::LoseLeadership(std::string_view cause) {
  pending_store_.reset();
  log_.Warning("leadership lost", {{"shard", scope_.id}, {"why", cause}});
  --host_leadership_.held_shards;
  lease_.OnLost();
  ReadSoon();
  on_lost();
  CompleteHandover();
}

std::string LeaderElector::Dump() const {
  if (!lease_.record()) return "no duty row seen\n";
  const LeaderRecord& record = *lease_.record();
  return "holder " + record.holder.str() + " at " + record.endpoint +
         " epoch " + std::to_string(record.epoch.value()) + " row version " +
         std::to_string(lease_.version().value()) +
         (lease_.is_leader() ? ", held here\n" : "\n");
}

}  // namespace gypsumfall::scheduler_internal
