#include "gypsumfall/scheduler/internal/topology_service.h"

#include <algorithm>
#include <set>
#include <utility>

#include "gypsumfall/scheduler/internal/stored_jobs.h"

namespace gypsumfall::scheduler_internal {
namespace {

// Bounds of the time for which an answer is waited for, and its multiple of the
// latest latency. The upper bound is that of a renewal of the leader lease: a
// leader that can renew its lease can also learn which data centres are closed.
constexpr Duration kMinReadTimeout = milliseconds(600);
constexpr Duration kMaxReadTimeout = milliseconds(2000);
constexpr int kReadTimeoutFactor = 2;
// Maximum time that the store delays the response to a call for changes. It
// also bounds the additional time until an unresponsive connection is detected.
constexpr Duration kChangeWait = milliseconds(1000);
constexpr Duration kFirstRetryDelay = milliseconds(50);
constexpr Duration kMaxRetryDelay = milliseconds(400);
// Part of the bound of an evacuation that is left for start orders, which may
// take 500 ms to arrive, and for the delay of the scheduling cycle.
constexpr Duration kEvacuationMargin = milliseconds(1000);

EvacuationTerms TermsOf(const SchedulerTimings& timings) {
  EvacuationTerms terms{.return_time = timings.evacuation_return,
                        .max_age = {}};
  if (timings.evacuation_bound > Duration{0}) {
    terms.max_age =
        std::max(Duration{0}, timings.evacuation_bound - kEvacuationMargin);
  }
  return terms;
}

}  // namespace

TopologyService::TopologyService(Context& context)
    : context_(context),
      retry_(context.runtime, [this] { ReadAll(); }),
      evacuations_(TermsOf(context.settings.timings)),
      evacuated_data_centres_(
          context.metrics.AddGauge("evacuated_data_centres")) {}

Result<void> TopologyService::Start() {
  ReadAll();
  return {};
}

void TopologyService::Stop(std::function<void()> stopped) {
  stopping_ = true;
  stopped();
}

Duration TopologyService::ReadTimeout() const {
  return std::clamp<Duration>(kReadTimeoutFactor * latency_, kMinReadTimeout,
                              kMaxReadTimeout);
}

void TopologyService::NoteLatency(Time sent, Duration wait) {
  latency_ = std::max(Duration{0}, context_.Now() - sent - wait);
}

void TopologyService::ReadAll() {
  if (stopping_) return;
  const RowAddress& row = context_.ports.directory.topology_row;
  context_.ports.store.read(SingleRow(row), ReadTimeout(),
                            [this, sent = context_.Now()](const RowPage& page) {
                              NoteLatency(sent, Duration{0});
                              if (page.outcome != StoreOutcome::kDone) {
                                RetryLater(page.outcome);
                                return;
                              }
                              for (const StoredRow& stored_row : page.rows)
                                Apply(stored_row);
                              ReadEvacuations(page.version);
                            });
}

void TopologyService::ReadEvacuations(RowVersion topology_read_version) {
  if (stopping_) return;
  LoadEvacuations(context_, ReadTimeout(),
                  [this, topology_read_version,
                   sent = context_.Now()](const LoadedRows& loaded) {
                    NoteLatency(sent, Duration{0});
                    if (loaded.outcome != StoreOutcome::kDone) {
                      RetryLater(loaded.outcome);
                      return;
                    }
                    failures_ = 0;
                    read_version_ = topology_read_version;
                    ApplyAllEvacuations(loaded, sent);
                    AwaitChange();
                  });
}

void TopologyService::AwaitChange() {
  if (stopping_) return;
  // While the store is slow, waiting in addition would make what is known of
  // the evacuations too old.
  const Duration wait = std::max(Duration{0}, kChangeWait - latency_);
  context_.ports.store.changes(
      context_.ports.directory.topology_row.table, read_version_, wait,
      wait + ReadTimeout(),
      [this, wait, sent = context_.Now()](const RowPage& page) {
        NoteLatency(sent, wait);
        if (page.outcome != StoreOutcome::kDone) {
          RetryLater(page.outcome);
          return;
        }
        for (const StoredRow& stored_row : page.rows) {
          Apply(stored_row);
          ApplyChange(stored_row);
        }
        read_version_ = std::max(read_version_, page.version);
        evacuations_version_ = std::max(evacuations_version_, page.version);
        // A page that is cut off does not tell what happened until it was sent.
        if (!page.has_more) ConfirmEvacuations(sent);
        AwaitChange();
      });
}

void TopologyService::RetryLater(StoreOutcome outcome) {
  // The store may have been restored, with lower versions.
  if (outcome == StoreOutcome::kHistoryGone)
    evacuations_version_ = RowVersion(0);
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

std::optional<DataCentreId> TopologyService::ClosedBy(
    const StoredRow& row) const {
  return context_.ports.directory.decode_evacuation(row.address);
}

void TopologyService::ApplyAllEvacuations(const LoadedRows& loaded, Time sent) {
  if (loaded.version >= evacuations_version_) {
    evacuations_version_ = loaded.version;
    std::set<DataCentreId> closed;
    for (const StoredRow& row : loaded.rows) {
      if (std::optional<DataCentreId> data_centre = ClosedBy(row))
        closed.insert(*std::move(data_centre));
    }
    for (const EvacuationChange& change :
         evacuations_.Replace(closed, context_.Now())) {
      LogEvacuation(change, loaded.version);
    }
  }
  ConfirmEvacuations(sent);
}

void TopologyService::ApplyChange(const StoredRow& row) {
  // A full read of a later state may have been applied since the call for
  // changes was sent.
  if (row.version <= evacuations_version_) return;
  const std::optional<DataCentreId> data_centre = ClosedBy(row);
  if (!data_centre) return;
  const bool changed = row.removed
                           ? evacuations_.Reopen(*data_centre, context_.Now())
                           : evacuations_.Close(*data_centre);
  if (changed) LogEvacuation({*data_centre, !row.removed}, row.version);
}

void TopologyService::ConfirmEvacuations(Time sent) {
  evacuations_.Confirm(sent);
  evacuated_data_centres_.Set(
      static_cast<double>(evacuations_.closed().size()));
  if (on_evacuations) on_evacuations();
}

void TopologyService::LogEvacuation(const EvacuationChange& change,
                                    RowVersion version) const {
  log_.Info(change.closed ? "data centre closed by the operator"
                          : "data centre open again",
            {{"data_centre", change.data_centre}, {"row_version", version}});
}

std::string TopologyService::Dump() const {
  std::string text;
  for (const DataCentreId& data_centre : evacuations_.closed())
    text += "closed data centre " + data_centre.str() + "\n";
  if (!topology_) return text + "no configuration yet\n";
  text += "version " + std::to_string(topology_->version.value()) + "\n";
  for (const QueueSettings& queue : topology_->queues) {
    text += "queue " + queue.id.str() + " " + queue.host_name +
            queue.path_prefix + " service " + queue.service.str() +
            " priority " + std::to_string(queue.priority) + "\n";
  }
  return text;
}

}  // namespace gypsumfall::scheduler_internal
