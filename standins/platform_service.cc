#include "standins/internal/platform_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "standins/internal/http_text.h"

namespace gypsumfall::standins {
namespace {

constexpr std::string_view kObjectsPath = "/v1/objects/";
// Snapshots of whole task partitions are stored as single objects.
constexpr std::size_t kMaxBody = std::size_t{16} << 20;

HttpResponse Ok(std::string body) { return {.body = std::move(body)}; }

}  // namespace

PlatformService::PlatformService(boost::asio::io_context& io,
                                 const PlatformOptions& options)
    : io_(io),
      table_(options.table, FaultRules(options.seed)),
      objects_(FaultRules(options.seed + 1)),
      hosts_(options.host_list_lag, FaultRules(options.seed + 2)),
      server_(io, {.listen = options.listen, .max_body = kMaxBody},
              [this](const HttpRequest& request, Responder respond) {
                Handle(request, std::move(respond));
              }) {}

PlatformService::~PlatformService() = default;

Result<std::string> PlatformService::Start() { return server_.Start(); }

void PlatformService::Handle(const HttpRequest& request, Responder respond) {
  static const std::unordered_map<std::string_view, Route> routes = {
      {"/v1/transact", &PlatformService::Transact},
      {"/v1/read", &PlatformService::Read},
      {"/v1/scan", &PlatformService::Scan},
      {"/v1/hosts", &PlatformService::Hosts},
      {"/standin/hosts", &PlatformService::SetHosts},
      {"/standin/stats", &PlatformService::Stats},
      {"/faults", &PlatformService::SetFaults}};
  const auto route = routes.find(request.path);
  if (route != routes.end()) {
    (this->*route->second)(request, std::move(respond));
  } else if (request.path.starts_with(kObjectsPath)) {
    Object(request, std::move(respond));
  } else {
    respond(ErrorResponse(ErrorKind::kNotFound, request.path));
  }
}

template <typename Reply, typename Body>
void PlatformService::Respond(const Answer<Reply>& answer, Responder respond,
                              Body body) {
  if (answer.down) {
    respond(ErrorResponse(ErrorKind::kStoreUnavailable, "down"));
  } else if (answer.refused) {
    respond(ErrorResponse(*answer.refused, "refused by the service"));
  } else if (!answer.reply) {
    respond.Abort();
  } else if (answer.delay == Duration::zero()) {
    respond(body(*answer.reply));
  } else {
    RespondAfter(answer.delay, body(*answer.reply), std::move(respond));
  }
}

void PlatformService::RespondAfter(Duration delay, HttpResponse response,
                                   Responder respond) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, delay);
  timer->async_wait(
      [timer, response = std::move(response), respond = std::move(respond)](
          const boost::system::error_code&) mutable { respond(response); });
}

void PlatformService::Transact(const HttpRequest& request, Responder respond) {
  const auto call = Decode<TransactCall>(request.body);
  if (!call) return respond(ErrorResponse(call.error()));
  Respond(table_.Transact(*call, Now()), std::move(respond),
          [](const TransactReply& reply) { return Ok(Encode(reply)); });
}

void PlatformService::Read(const HttpRequest& request, Responder respond) {
  const auto call = Decode<ReadCall>(request.body);
  if (!call) return respond(ErrorResponse(call.error()));
  Respond(table_.Read(*call, Now()), std::move(respond),
          [](const RowsReply& reply) { return Ok(Encode(reply)); });
}

void PlatformService::Scan(const HttpRequest& request, Responder respond) {
  const auto call = Decode<ScanCall>(request.body);
  if (!call) return respond(ErrorResponse(call.error()));
  Respond(table_.Scan(*call, Now()), std::move(respond),
          [](const RowsReply& reply) { return Ok(Encode(reply)); });
}

void PlatformService::Hosts(const HttpRequest& /*request*/, Responder respond) {
  Respond(hosts_.View(Now()), std::move(respond),
          [](const HostListReply& reply) { return Ok(Encode(reply)); });
}

void PlatformService::Object(const HttpRequest& request, Responder respond) {
  const std::string encoded = request.path.substr(kObjectsPath.size());
  const auto name = PercentDecode(encoded);
  if (!name || name->empty()) {
    return respond(ErrorResponse(ErrorKind::kBadRequest, "object name"));
  }
  const auto ok = [](bool) { return Ok("{}"); };
  switch (request.method) {
    case HttpMethod::kPut:
      return Respond(objects_.Put(*name, request.body), std::move(respond), ok);
    case HttpMethod::kDelete:
      return Respond(objects_.Delete(*name), std::move(respond), ok);
    case HttpMethod::kGet:
      return Respond(objects_.Get(*name), std::move(respond),
                     [&](const std::optional<std::string>& object) {
                       if (!object) {
                         return ErrorResponse(ErrorKind::kNotFound, *name);
                       }
                       return HttpResponse{
                           .body = *object,
                           .content_type = "application/octet-stream"};
                     });
    default:
      respond(ErrorResponse(ErrorKind::kBadRequest, "method"));
  }
}

void PlatformService::SetHosts(const HttpRequest& request, Responder respond) {
  const auto list = Decode<HostListReply>(request.body);
  if (!list) return respond(ErrorResponse(list.error()));
  for (const ListedHost& host : list->hosts) hosts_.Set(host, Now());
  respond(Ok("{}"));
}

void PlatformService::SetFaults(const HttpRequest& request, Responder respond) {
  if (request.method == HttpMethod::kDelete) {
    table_.faults().Clear();
    objects_.faults().Clear();
    hosts_.faults().Clear();
    return respond(Ok("{}"));
  }
  const auto fault = FaultFromName(request.QueryValue("fault").value_or(""));
  if (!fault) {
    return respond(ErrorResponse(ErrorKind::kBadRequest,
                                 "fault must be one of down, slow, "
                                 "applied_answer_lost, "
                                 "not_applied_answer_lost"));
  }
  FaultRule rule{.fault = *fault};
  rule.op = request.QueryValue("op").value_or("");
  rule.key_prefix = request.QueryValue("key_prefix").value_or("");
  rule.probability = QueryNumber(request, "probability", 1);
  rule.count = static_cast<int>(QueryNumber(request, "count", -1));
  rule.delay = QueryMilliseconds(request, "delay_ms");
  table_.faults().Add(rule);
  objects_.faults().Add(rule);
  hosts_.faults().Add(rule);
  respond(Ok("{}"));
}

void PlatformService::Stats(const HttpRequest& /*request*/, Responder respond) {
  respond(Ok("{\"rows\":" + std::to_string(table_.rows().size()) +
             ",\"rows_written\":" + std::to_string(table_.rows_written()) +
             ",\"keys_read\":" + std::to_string(table_.keys_read()) +
             ",\"over_rate\":" + std::to_string(table_.rate_limited()) +
             ",\"objects\":" + std::to_string(objects_.objects().size()) +
             "}"));
}

}  // namespace gypsumfall::standins
