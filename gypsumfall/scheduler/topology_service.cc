#include "gypsumfall/scheduler/internal/topology_service.h"

#include <algorithm>
#include <utility>

namespace gypsumfall::scheduler_internal {
namespace {

constexpr Duration kReadTimeout = milliseconds(600);
// Longest time that the store lets a call for changes wait. A silent
// connection is noticed this much later at most.
constexpr Duration kChangeWait = milliseconds(1000);
constexpr Duration kFirstRetryDelay = milliseconds(50);
constexpr Duration kMaxRetryDelay = milliseconds(400);

}  // namespace

TopologyService::TopologyService(Context& context)
    : context_(context), retry_(context.runtime, [this] { ReadRow(); }) {}

Result<void> TopologyService::Start() {
  ReadRow();
  return {};
}

void TopologyService::Stop(std::function<void()> stopped) {
  stopping_ = true;
  stopped();
}

void TopologyService::ReadRow() {
  if (stopping_) return;
  const RowAddress& row = context_.ports.directory.topology_row;
  context_.ports.store.read(OnlyRow(row), kReadTimeout,
                            [this](const RowPage& page) {
                              if (page.outcome != StoreOutcome::kDone) {
                                RetryLater(page.outcome);
                                return;
                              }
                              failures_ = 0;
                              followed_ = page.version;
                              for (const StoredRow& each : page.rows)
                                Apply(each);
                              AwaitChange();
                            });
}

void TopologyService::AwaitChange() {
  if (stopping_) return;
  context_.ports.store.changes(
      context_.ports.directory.topology_row.table, followed_, kChangeWait,
      kChangeWait + kReadTimeout, [this](const RowPage& page) {
        if (page.outcome != StoreOutcome::kDone) {
          RetryLater(page.outcome);
          return;
        }
        followed_ = std::max(followed_, page.version);
        for (const StoredRow& each : page.rows) Apply(each);
        AwaitChange();
      });
}

void TopologyService::RetryLater(StoreOutcome outcome) {
  if (failures_++ == 0) {
    log_.Warning("lost the configuration's row",
                 {{"outcome", StoreOutcomeName(outcome)},
                  {"version", topology_ ? topology_->version.value() : 0}});
  }
  const Duration delay = kFirstRetryDelay * (1 << std::min(failures_, 4));
  retry_.NotAfter(context_.Now() + std::min(delay, kMaxRetryDelay));
}

void TopologyService::Apply(const StoredRow& row) {
  if (row.removed ||
      row.address.key != context_.ports.directory.topology_row.key) {
    return;
  }
  Result<Topology> topology =
      context_.ports.directory.decode_topology(row.value);
  if (!topology) {
    log_.Error(
        "the configuration can not be read",
        {{"row_version", row.version}, {"why", topology.error().detail}});
    return;
  }
  if (topology_ && topology->version <= topology_->version) return;
  topology_ = *std::move(topology);
  log_.Info("configuration in force", {{"version", topology_->version},
                                       {"queues", topology_->queues.size()}});
}

std::string TopologyService::Dump() const {
  if (!topology_) return "no configuration yet\n";
  std::string text =
      "version " + std::to_string(topology_->version.value()) + "\n";
  for (const QueueSettings& queue : topology_->queues) {
    text += "queue " + queue.id.str() + " " + queue.host_name +
            queue.path_prefix + " service " + queue.service.str() +
            " priority " + std::to_string(queue.priority) + "\n";
  }
  return text;
}

}  // namespace gypsumfall::scheduler_internal
