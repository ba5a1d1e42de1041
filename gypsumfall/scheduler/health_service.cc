#include "gypsumfall/scheduler/internal/health_service.h"

#include <utility>

namespace gypsumfall::scheduler_internal {
namespace {

constexpr Duration kStopGrace = milliseconds(500);

}  // namespace

HealthService::HealthService(Context& context)
    : context_(context),
      server_(context.runtime.io(),
              {.listen = context.settings.host.listen_health.ToString()},
              [this](const HttpRequest&, Responder respond) {
                respond(IsReady() ? HttpResponse{.body = "{}"}
                                  : HttpResponse{.status = 503, .body = "{}"});
              }) {}

Result<void> HealthService::Start() {
  topology_ = context_.kernel.Find<TopologyService>(kTopologyService);
  shards_ = context_.kernel.Find<ShardService>(kShardService);
  const Result<std::string> listening = server_.Start();
  if (!listening) return tl::unexpected<Error>(listening.error());
  return {};
}

void HealthService::Stop(std::function<void()> stopped) {
  server_.Stop(kStopGrace,
               [stopped = std::move(stopped)](std::size_t) { stopped(); });
}

bool HealthService::IsReady() const {
  return !stopping_ && topology_->topology().has_value() && shards_->is_ready();
}

std::string HealthService::Dump() const {
  return IsReady() ? "ready\n" : "not ready\n";
}

}  // namespace gypsumfall::scheduler_internal
