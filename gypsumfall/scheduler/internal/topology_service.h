#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_TOPOLOGY_SERVICE_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_TOPOLOGY_SERVICE_H_

#include <functional>
#include <optional>
#include <string>

#include "gypsumfall/scheduler/internal/context.h"

namespace gypsumfall::scheduler_internal {

/// Reads the operator's configuration and watches it for changes. Keeps the
/// newest version; an older one that is read later is ignored.
class TopologyService : public Service {
 public:
  explicit TopologyService(Context& context);

  Result<void> Start() override;
  void Stop(std::function<void()> stopped) override;
  std::string Dump() const override;

  /// @return the configuration, or nothing before it has been read.
  const std::optional<Topology>& topology() const { return topology_; }

 private:
  void ReadRow();
  void AwaitChange();
  void RetryLater(StoreOutcome outcome);
  void Apply(const StoredRow& row);

  Context& context_;
  Logger log_{"topology"};
  Timer retry_;
  std::optional<Topology> topology_;
  RowVersion read_version_;
  int failures_ = 0;
  bool stopping_ = false;
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_TOPOLOGY_SERVICE_H_
