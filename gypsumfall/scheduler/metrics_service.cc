#include "gypsumfall/scheduler/internal/metrics_service.h"

#include <utility>

namespace gypsumfall::scheduler_internal {
namespace {

constexpr Duration kStopGrace = milliseconds(500);

HttpResponse TextResponse(std::string body) {
  return {.body = std::move(body), .content_type = "text/plain"};
}

}  // namespace

MetricsService::MetricsService(Context& context)
    : context_(context),
      server_(context.runtime.io(),
              {.listen = context.settings.host.listen_metrics.ToString()},
              [this](const HttpRequest& request, Responder respond) {
                Serve(request, std::move(respond));
              }) {}

Result<void> MetricsService::Start() {
  const Result<std::string> listening = server_.Start();
  if (!listening) return tl::unexpected<Error>(listening.error());
  return {};
}

void MetricsService::Stop(std::function<void()> stopped) {
  server_.Stop(kStopGrace,
               [stopped = std::move(stopped)](std::size_t) { stopped(); });
}

void MetricsService::Serve(const HttpRequest& request, Responder respond) {
  if (request.path == "/metrics") {
    context_.metrics.AddGauge("log_lines_dropped")
        .Set(static_cast<double>(DroppedLogLines()));
    respond(TextResponse(context_.metrics.Export()));
  } else if (request.path == "/dump") {
    respond(TextResponse(context_.kernel.Dump()));
  } else {
    respond(ErrorResponse(ErrorKind::kNotFound, request.path));
  }
}

std::string MetricsService::Dump() const {
  return "connections " + std::to_string(server_.connections()) + "\n";
}

}  // namespace gypsumfall::scheduler_internal
