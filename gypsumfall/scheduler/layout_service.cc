#include "gypsumfall/scheduler/internal/layout_service.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gypsumfall::scheduler_internal {
namespace {

constexpr Duration kReadTimeout = milliseconds(600);
constexpr Duration kStoreTimeout = milliseconds(700);
constexpr Duration kRetryInterval = milliseconds(250);
// The workers of a large fleet register one after another within some
// heartbeats. A gap of this part of a heartbeat tells that they all have.
constexpr double kSettlePart = 0.5;
// A host that counts is given this long; then another one counts.
constexpr Duration kCounterTime = seconds(8);
// Larger hosts count first. With this, the smallest comes half a second later.
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
               } else if (counting_) {
                 Count();
               } else {
                 Read();
               }
             }),
      write_(context.runtime, [this] { AssignNewRacks(); }) {}

Result<void> LayoutService::Start() {
  started_ = context_.Now();
  Read();
  return {};
}

void LayoutService::Stop(std::function<void()> stopped) { stopped(); }

void LayoutService::Retry() {
  retry_.NotAfter(context_.Now() + kRetryInterval);
}

void LayoutService::Read() {
  context_.ports.store.read(
      {.table = kLayoutTable, .part = "", .from = "", .limit = 2}, kReadTimeout,
      [this](const RowPage& page) { OnRead(page); });
}

void LayoutService::OnRead(const RowPage& page) {
  if (layout_) return;
  const Time now = context_.Now();
  if (page.outcome != StoreOutcome::kDone) return Retry();
  RowVersion counter;
  for (const StoredRow& row : page.rows) {
    if (row.address.key == kLayoutKey) {
      Take(row);
      if (layout_) return;
    }
    if (row.address.key == kCounterKey) {
      counter = row.version;
      // The answer to this host's claim was lost.
      counting_ = row.value == context_.process;
    }
  }
  if (counting_) return Retry();
  if (counter != counter_version_) {
    counter_version_ = counter;
    counter_since_ = now;
  }
  const Duration small_host(static_cast<std::int64_t>(
      std::max(0.0, 1 - context_.settings.host.processor_share) *
      static_cast<double>(kSmallHostDelay.count())));
  const bool is_free = counter == RowVersion(0)
                           ? now >= started_ + small_host
                           : now >= counter_since_ + kCounterTime + small_host;
  if (is_free) {
    BecomeCounter(counter);
  } else {
    Retry();
  }
}

void LayoutService::Take(const StoredRow& row) {
  Result<ShardLayout> read = DecodeLayout(row.value);
  if (!read) {
    log_.Error("the stored layout can not be read",
               {{"why", read.error().detail}});
    return;
  }
  const bool first = !layout_;
  layout_ = *std::move(read);
  map_.emplace(*layout_);
  version_ = row.version;
  log_.Info("layout in force", {{"shards", layout_->shard_count},
                                {"racks", layout_->racks.size()},
                                {"row_version", version_}});
  if (first) return on_known();
  std::erase_if(unassigned_, [this](const auto& each) {
    return map_->ShardOf(each.first, each.second.rack).has_value();
  });
  on_racks();
}

void LayoutService::BecomeCounter(RowVersion expected) {
  context_.ports.store.transact(
      {.conditions = {{CounterAddress(), expected}, {Address(), RowVersion(0)}},
       .writes = {{CounterAddress(), context_.process}},
       .removals = {}},
      kStoreTimeout, [this](const TransactionReply& reply) {
        counting_ = reply.outcome == StoreOutcome::kDone;
        if (counting_) {
          log_.Info("counting the workers for the first layout");
          counted_since_ = context_.Now();
        }
        Retry();
      });
}

void LayoutService::Count() {
  LoadRows(context_, context_.ports.directory.worker_table, "", kReadTimeout,
           [this](const LoadedRows& loaded) { OnCounted(loaded); });
}

void LayoutService::OnCounted(const LoadedRows& loaded) {
  const Time now = context_.Now();
  if (loaded.outcome != StoreOutcome::kDone) return Retry();
  std::map<WorkerId, WorkerEntry> workers;
  for (const StoredRow& row : loaded.rows) {
    Result<WorkerEntry> worker = context_.ports.directory.decode_worker(row);
    // The worker list logs rows that name no worker.
    if (worker) workers.insert_or_assign(worker->id, *worker);
  }
  if (workers.size() != counted_) {
    counted_ = workers.size();
    counted_since_ = now;
  }
  const Duration settle(static_cast<std::int64_t>(
      kSettlePart *
      static_cast<double>(context_.settings.timings.worker_heartbeat.count())));
  if (workers.empty() || now < counted_since_ + settle) return Retry();
  Create(workers);
}

void LayoutService::Create(const std::map<WorkerId, WorkerEntry>& workers) {
  const double carried =
      static_cast<double>(context_.settings.scheduling.workers_per_processor) *
      context_.settings.host.processor_share;
  ShardLayout created{
      .shard_count = ShardCountFor(
          workers.size(), std::max<std::size_t>(1, std::lround(carried))),
      .racks = {}};
  AssignRacks(created, RacksOf(workers));
  log_.Info("storing the first layout", {{"workers", workers.size()},
                                         {"shards", created.shard_count},
                                         {"racks", created.racks.size()}});
  context_.ports.store.transact({.conditions = {{Address(), RowVersion(0)}},
                                 .writes = {{Address(), EncodeLayout(created)}},
                                 .removals = {}},
                                kStoreTimeout, [this](const TransactionReply&) {
                                  // Whatever the outcome, the row shows it.
                                  counting_ = false;
                                  Read();
                                });
}

std::optional<ShardId> LayoutService::ShardOf(const WorkerEntry& worker) {
  const std::optional<ShardId> shard = map_->ShardOf(worker.id, worker.rack);
  if (!shard) {
    unassigned_.insert_or_assign(worker.id, worker);
    // Workers of one rack are listed together; one write takes them all.
    write_.NotAfter(context_.Now() + kRetryInterval);
  }
  return shard;
}

void LayoutService::AssignNewRacks() {
  if (assigning_ || unassigned_.empty()) return;
  assigning_ = true;
  // Another host may have assigned them already.
  context_.ports.store.read(
      OnlyRow(Address()), kReadTimeout, [this](const RowPage& page) {
        const bool found = page.outcome == StoreOutcome::kDone &&
                           !page.rows.empty() &&
                           page.rows.front().address == Address();
        if (!found) {
          assigning_ = false;
          return Retry();
        }
        if (page.rows.front().version != version_) Take(page.rows.front());
        ShardLayout next = *layout_;
        if (!AssignRacks(next, RacksOf(unassigned_))) {
          assigning_ = false;
          return;
        }
        context_.ports.store.transact(
            {.conditions = {{Address(), version_}},
             .writes = {{Address(), EncodeLayout(next)}},
             .removals = {}},
            kStoreTimeout, [this](const TransactionReply& reply) {
              log_.Info("racks assigned to shards",
                        {{"outcome", StoreOutcomeName(reply.outcome)}});
              assigning_ = false;
              if (reply.outcome == StoreOutcome::kDone) {
                AssignNewRacks();
              } else {
                Retry();
              }
            });
      });
}

std::string LayoutService::Dump() const {
  if (!layout_) return "no layout yet\n";
  std::string text = "shards " + std::to_string(layout_->shard_count) + "\n";
  for (const RackAssignment& each : layout_->racks) {
    text += "rack " + each.rack.str() + " shard " +
            std::to_string(each.shard.value()) + "\n";
  }
  return text;
}

}  // namespace gypsumfall::scheduler_internal
