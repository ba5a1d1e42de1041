#include "gypsumfall/scheduler/internal/topology_service.h"

#include <algorithm>
#include <utility>

namespace gypsumfall::scheduler_internal {
namespace {

constexpr Duration kReadTimeout = milliseconds(600);
// Maximum time that the store delays the response to a call for changes. It
// also bounds the additional time until an unresponsive connection is detected.
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
  context_.ports.store.read(SingleRow(row), kReadTimeout,
                            [this](const RowPage& page) {
                              if (page.outcome != StoreOutcome::kDone) {
                                RetryLater(page.outcome);
                                return;
                              }
                              failures_ = 0;
                              read_version_ = page.version;
                              for (const StoredRow& stored_row : page.rows)
                                Apply(stored_row);
                              AwaitChange();
                            });
}

void TopologyService::AwaitChange() {
  if (stopping_) return;
  context_.ports.store.changes(
      context_.ports.directory.topology_row.table, read_version_, kChangeWait,
      kChangeWait + kReadTimeout, [this](const RowPage& page) {
        if (page.outcome != StoreOutcome::kDone) {
          RetryLater(page.outcome);
          return;
        }
        read_version_ = std::max(read_version_, page.version);
        for (const StoredRow& stored_row : page.rows) Apply(stored_row);
        AwaitChange();
      });
}

void TopologyService::RetryLater(StoreOutcome outcome) {
  if (failures_++ == 0) {
    log_.Warning("cannot read the configuration; retrying",
                 {{"outcome", StoreOutcomeName(outcome)},
                  {"version", topology_ ? topology_->version.value() : 0}});
  }
  const Duration delay = kFirstRetryDelay * (1 << std::min(failures_, 4));
  retry_.ScheduleNoLaterThan(context_.Now() + std::min(delay, kMaxRetryDelay));
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
        "cannot decode the configuration",
        {{"row_version", row.version}, {"why", topology.error().detail}});
    return;
  }
  if (topology_ && topology->version <= topology_->version) return;
  topology_ = *std::move(topology);
  log_.Info("configuration in effect", {{"version", topology_->version},
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
