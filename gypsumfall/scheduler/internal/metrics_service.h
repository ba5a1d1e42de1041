#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_METRICS_SERVICE_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_METRICS_SERVICE_H_

#include <functional>
#include <string>

#include "gypsumfall/scheduler/internal/context.h"

namespace gypsumfall::scheduler_internal {

/// Serves the metrics of the process at /metrics and a dump of all services at
/// /dump, both as plain text.
class MetricsService : public Service {
 public:
  explicit MetricsService(Context& context);

  Result<void> Start() override;
  void Stop(std::function<void()> stopped) override;
  std::string Dump() const override;

 private:
  void Serve(const HttpRequest& request, Responder respond);

  Context& context_;
  Server server_;
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_METRICS_SERVICE_H_
