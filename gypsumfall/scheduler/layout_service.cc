#include "gypsumfall/scheduler/internal/layout_service.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gypsumfall::scheduler_internal {
namespace {

constexpr Duration kReadTimeout = milliseconds(600);
constexpr Duration kStoreTimeout = milliseconds(700);
constexpr Duration kRetryInterval = milliseconds(250);
// The workers of a large fleet register one after another within a few
// heartbeats. The count is complete once it has not changed for this fraction
// of a heartbeat interval.
constexpr double kSettleHeartbeatFraction = 0.5;
// Time that the counting host has to store the layout before another host takes
// over counting.
constexpr Duration kCountTimeout = seconds(8);
// Delays smaller hosts, so that larger hosts count first; a host with hardly
// any processor share waits this long.
constexpr Duration kSmallHostDelay = milliseconds(500);

std::vector<RackCapacity> RacksOf(
    const std::map<WorkerId, WorkerEntry>& workers) {
  std::map<RackId, RackCapacity> racks;
  for (const auto& [worker_id, worker] : workers) {
    RackCapacity& rack = racks[worker.rack];
    rack.rack = worker.rack;
    rack.data_centre = worker.data_centre;
    rack.cpu = MilliCores(rack.cpu.value() + worker.capacity.cpu.value());
  }
  std::vector<RackCapacity> sizes;
  sizes.reserve(racks.size());
  for (auto& [id, rack] : racks) sizes.push_back(std::move(rack));
  return sizes;
}

}  // namespace

LayoutService::LayoutService(Context& context)
    : context_(context),
      retry_(context.runtime,
             [this] {
               if (layout_) {
                 AssignNewRacks();
               } else if (is_counting_) {
                 CountWorkers();
               } else {
                 ReadLayout();
               }
             }),
      assign_timer_(context.runtime, [this] { AssignNewRacks(); }) {}

Result<void> LayoutService::Start() {
  started_at_ = context_.Now();
  ReadLayout();
  return {};
}

void LayoutService::Stop(std::function<void()> stopped) { stopped(); }

void LayoutService::RetryLater() {
  retry_.ScheduleNoLaterThan(context_.Now() + kRetryInterval);
}

void LayoutService::ReadLayout() {
  context_.ports.store.read(
      {.table = kLayoutTable, .partition = "", .from = "", .limit = 2},
      kReadTimeout, [this](const RowPage& page) { OnLayoutRead(page); });
}

void LayoutService::OnLayoutRead(const RowPage& page) {
  if (layout_) return;
  const Time now = context_.Now();
  if (page.outcome != StoreOutcome::kDone) return RetryLater();
  RowVersion counting_host_version;
  for (const StoredRow& row : page.rows) {
    if (row.address.key == kLayoutKey) {
      ApplyRow(row);
      if (layout_) return;
    }
    if (row.address.key == kCountingHostKey) {
      counting_host_version = row.version;
      // The row names this process if the response to its claim was lost.
      is_counting_ = row.value == context_.process;
    }
  }
  if (is_counting_) return RetryLater();
  if (counting_host_version != counting_host_version_) {
    counting_host_version_ = counting_host_version;
    counting_host_since_ = now;
  }
  const Duration small_host_delay(static_cast<std::int64_t>(
      std::max(0.0, 1 - context_.settings.host.processor_share) *
      static_cast<double>(kSmallHostDelay.count())));
  const bool may_claim =
      counting_host_version == RowVersion(0)
          ? now >= started_at_ + small_host_delay
          : now >= counting_host_since_ + kCountTimeout + small_host_delay;
  if (may_claim) {
    ClaimCounting(counting_host_version);
  } else {
    RetryLater();
  }
}

void LayoutService::ApplyRow(const StoredRow& row) {
  Result<ShardLayout> decoded = DecodeLayout(row.value);
  if (!decoded) {
    log_.Error("cannot decode the stored layout",
               {{"why", decoded.error().detail}});
    return;
  }
  const bool is_first = !layout_;
  layout_ = *std::move(decoded);
  shard_map_.emplace(*layout_);
  version_ = row.version;
  log_.Info("layout in effect", {{"shards", layout_->shard_count},
                                 {"racks", layout_->racks.size()},
                                 {"row_version", version_}});
  if (is_first) return on_layout_known();
  std::erase_if(unassigned_workers_, [this](const auto& entry) {
    return shard_map_->ShardOf(entry.first, entry.second.rack).has_value();
  });
  on_racks_assigned();
}

void LayoutService::ClaimCounting(RowVersion expected) {
  context_.ports.store.transact(
      {.conditions = {{CountingHostRowAddress(), expected},
                      {LayoutRowAddress(), RowVersion(0)}},
       .writes = {{CountingHostRowAddress(), context_.process}},
       .removals = {}},
      kStoreTimeout, [this](const TransactionReply& reply) {
        is_counting_ = reply.outcome == StoreOutcome::kDone;
        if (is_counting_) {
          log_.Info("counting the workers for the first layout");
          counted_since_ = context_.Now();
        }
        RetryLater();
      });
}

void LayoutService::CountWorkers() {
  LoadRows(context_, context_.ports.directory.worker_table, "", kReadTimeout,
           [this](const LoadedRows& loaded) { OnWorkersCounted(loaded); });
}

void LayoutService::OnWorkersCounted(const LoadedRows& loaded) {
  const Time now = context_.Now();
  if (loaded.outcome != StoreOutcome::kDone) return RetryLater();
  std::map<WorkerId, WorkerEntry> workers;
  for (const StoredRow& row : loaded.rows) {
    Result<WorkerEntry> worker = context_.ports.directory.decode_worker(row);
    // Invalid rows are skipped; the worker list service logs them.
    if (worker) workers.insert_or_assign(worker->id, *worker);
  }
  if (workers.size() != counted_workers_) {
    counted_workers_ = workers.size();
    counted_since_ = now;
  }
  const Duration settle(static_cast<std::int64_t>(
      kSettleHeartbeatFraction *
      static_cast<double>(context_.settings.timings.worker_heartbeat.count())));
  if (workers.empty() || now < counted_since_ + settle) return RetryLater();
  StoreFirstLayout(workers);
}

void LayoutService::StoreFirstLayout(
    const std::map<WorkerId, WorkerEntry>& workers) {
  const double workers_per_shard =
      static_cast<double>(context_.settings.scheduling.workers_per_processor) *
      context_.settings.host.processor_share;
  ShardLayout first_layout{
      .shard_count = ShardCountFor(
          workers.size(),
          std::max<std::size_t>(1, std::lround(workers_per_shard))),
      .racks = {}};
  AssignRacks(first_layout, RacksOf(workers));
  log_.Info("storing the first layout", {{"workers", workers.size()},
                                         {"shards", first_layout.shard_count},
                                         {"racks", first_layout.racks.size()}});
  context_.ports.store.transact(
      {.conditions = {{LayoutRowAddress(), RowVersion(0)}},
       .writes = {{LayoutRowAddress(), EncodeLayout(first_layout)}},
       .removals = {}},
      kStoreTimeout, [this](const TransactionReply&) {
        // The row shows whether this or another host's layout was stored.
        is_counting_ = false;
        ReadLayout();
      });
}

std::optional<ShardId> LayoutService::ShardOf(const WorkerEntry& worker) {
  const std::optional<ShardId> shard =
      shard_map_->ShardOf(worker.id, worker.rack);
  if (!shard) {
    unassigned_workers_.insert_or_assign(worker.id, worker);
    // The workers of one rack are listed together; the delay lets one write
    // cover them.
    assign_timer_.ScheduleNoLaterThan(context_.Now() + kRetryInterval);
  }
  return shard;
}

void LayoutService::AssignNewRacks() {
  if (assigning_ || unassigned_workers_.empty()) return;
  assigning_ = true;
  // Another host may have assigned the racks already.
  context_.ports.store.read(
      SingleRow(LayoutRowAddress()), kReadTimeout, [this](const RowPage& page) {
        const bool row_found = page.outcome == StoreOutcome::kDone &&
                               !page.rows.empty() &&
                               page.rows.front().address == LayoutRowAddress();
        if (!row_found) {
          assigning_ = false;
          return RetryLater();
        }
        if (page.rows.front().version != version_) ApplyRow(page.rows.front());
        ShardLayout updated_layout = *layout_;
        if (!AssignRacks(updated_layout, RacksOf(unassigned_workers_))) {
          assigning_ = false;
          return;
        }
        context_.ports.store.transact(
            {.conditions = {{LayoutRowAddress(), version_}},
             .writes = {{LayoutRowAddress(), EncodeLayout(updated_layout)}},
             .removals = {}},
            kStoreTimeout, [this](const TransactionReply& reply) {
              log_.Info("racks assigned to shards",
                        {{"outcome", StoreOutcomeName(reply.outcome)}});
              assigning_ = false;
              if (reply.outcome == StoreOutcome::kDone) {
                AssignNewRacks();
              } else {
                RetryLater();
              }
            });
      });
}

std::string LayoutService::Dump() const {
  if (!layout_) return "no layout yet\n";
  std::string text = "shards " + std::to_string(layout_->shard_count) + "\n";
  for (const RackAssignment& assignment : layout_->racks) {
    text += "rack " + assignment.rack.str() + " shard " +
            std::to_string(assignment.shard.value()) + "\n";
  }
  return text;
}

}  // namespace gypsumfall::scheduler_internal
