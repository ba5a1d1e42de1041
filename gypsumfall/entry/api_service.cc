#include "gypsumfall/entry/internal/api_service.h"

#include <utility>

#include "gypsumfall/entry/internal/contract_service.h"
#include "gypsumfall/entry/internal/membership_service.h"
#include "gypsumfall/entry/internal/request_service.h"

namespace gypsumfall {
namespace {

// Time that a stop leaves for open calls: requests in flight end at their
// deadlines, long polls when their wait time is over.
constexpr Duration kStopGrace = seconds(30);

ServerOptions OptionsFrom(const EntrySettings& settings) {
  ServerOptions options;
  options.listen = settings.host.listen.ToString();
  options.max_body = static_cast<std::size_t>(settings.limits.max_body.value());
  options.max_header =
      static_cast<std::size_t>(settings.limits.max_header.value());
  options.max_connections =
      static_cast<std::size_t>(settings.limits.max_connections);
  options.header_timeout = settings.limits.header_timeout;
  return options;
}

bool IsOperatorPath(std::string_view path) {
  return path.starts_with("/v1/contracts") ||
         path.starts_with("/v1/explain/") || path.starts_with("/v1/evict/") ||
         path == "/v1/dump" || path == "/metrics";
}

}  // namespace

ApiService::ApiService(const EntryContext& context)
    : context_(context),
      callers_(context),
      operators_(context),
      peers_(context, callers_),
      server_(context.runtime.io(), OptionsFrom(context.settings),
              [this](HttpRequest request, Responder respond) {
                Handle(std::move(request), std::move(respond));
              }) {}

Result<void> ApiService::Start() {
  const Result<std::string> address = server_.Start();
  if (!address) return tl::unexpected(address.error());
  Logger("api").Info("listening", {{"address", *address}});
  return {};
}

void ApiService::Handle(HttpRequest request, Responder respond) {
  const KeySettings& keys = context_.settings.keys;
  if (request.path == "/healthz") {
    respond(Health());
  } else if (request.path.starts_with("/peer/")) {
    if (!ConstantTimeEquals(request.bearer, keys.peer_key.Reveal())) {
      respond(ErrorResponse(ErrorKind::kUnauthenticated, "wrong peer key"));
      return;
    }
    peers_.Handle(request, std::move(respond));
  } else if (IsOperatorPath(request.path)) {
    if (!ConstantTimeEquals(request.bearer, keys.operator_key.Reveal())) {
      respond(ErrorResponse(ErrorKind::kUnauthenticated, "wrong operator key"));
      return;
    }
    operators_.Handle(request, std::move(respond));
  } else {
    callers_.Handle(std::move(request), std::move(respond));
  }
}

HttpResponse ApiService::Health() const {
  auto* contracts = context_.kernel.Find<ContractService>(kContractService);
  if (!healthy_) return {.status = 503, .body = "{\"health\":\"stopping\"}"};
  if (!contracts->loaded()) {
    return {.status = 503, .body = "{\"health\":\"reading contracts\"}"};
  }
  auto* requests = context_.kernel.Find<RequestService>(kRequestService);
  if (context_.Now() < requests->admission().ready_at()) {
    return {.status = 503, .body = "{\"health\":\"starting\"}"};
  }
  return {.body = "{\"health\":\"ok\"}"};
}

void ApiService::Stop(std::function<void()> stopped) {
  server_.Stop(kStopGrace, [stopped](std::size_t cut_off) {
    Logger("api").Info("listener closed", {{"cut_off", cut_off}});
    stopped();
  });
}

std::string ApiService::Dump() const {
  return "open requests " + std::to_string(server_.open_requests()) +
         ", connections " + std::to_string(server_.connections()) + "\n";
}

}  // namespace gypsumfall
