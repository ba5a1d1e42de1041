#include "gypsumfall/entry/internal/peer_api.h"

#include <memory>
#include <utility>

#include "gypsumfall/entry/internal/membership_service.h"
#include "gypsumfall/entry/internal/request_service.h"
#include "gypsumfall/entry/internal/task_service.h"
#include "gypsumfall/entry/internal/worker_service.h"

namespace gypsumfall {

void PeerApi::Handle(const HttpRequest& request, Responder respond) {
  if (request.path == "/peer/v1/heartbeat") {
    OnHeartbeat(request.body, std::move(respond));
  } else if (request.path == "/peer/v1/forward") {
    OnForwardedCall(request.body, std::move(respond));
  } else if (request.path == "/peer/v1/request") {
    OnForwardedRequest(request.body, std::move(respond));
  } else if (request.path == "/peer/v1/attempts") {
    OnAttempts(request.body, std::move(respond));
  } else if (request.path == "/peer/v1/reports") {
    OnReports(request.body, std::move(respond));
  } else {
    respond(ErrorResponse(ErrorKind::kNotFound, "no such peer call"));
  }
}

void PeerApi::OnHeartbeat(const std::string& body, Responder respond) {
  const Result<HeartbeatMessage> message = Decode<HeartbeatMessage>(body);
  if (!message) return respond(ErrorResponse(message.error()));
  auto* members = context_.kernel.Find<MembershipService>(kMembershipService);
  respond({.body = Encode(members->OnHeartbeat(*message))});
}

void PeerApi::OnForwardedCall(const std::string& body, Responder respond) {
  const auto call = Decode<ForwardedCall>(body);
  if (!call) return respond(ErrorResponse(call.error()));
  callers_.HandleForwarded(*call, std::move(respond));
}

void PeerApi::OnForwardedRequest(const std::string& body, Responder respond) {
  const auto request = Decode<ForwardedRequest>(body);
  if (!request) return respond(ErrorResponse(request.error()));
  auto shared = std::make_shared<Responder>(std::move(respond));
  context_.kernel.Find<RequestService>(kRequestService)
      ->RunForwarded(*request, [shared](const CallerAnswer& answer) {
        ForwardedRequestReply reply{
            .was_run = std::string(WasRunName(answer.was_run)),
            .detail = answer.detail,
            .result = answer.result};
        if (answer.error) reply.error = ErrorTableEntryFor(*answer.error).name;
        (*shared)({.body = Encode(reply)});
      });
}

void PeerApi::OnAttempts(const std::string& body, Responder respond) {
  const auto call = Decode<AttemptsCall>(body);
  if (!call) return respond(ErrorResponse(call.error()));
  auto shared = std::make_shared<Responder>(std::move(respond));
  context_.kernel.Find<WorkerService>(kWorkerService)
      ->Handle(*call, [shared](const AttemptsReply& reply) {
        (*shared)({.body = Encode(reply)});
      });
}

void PeerApi::OnReports(const std::string& body, Responder respond) {
  const auto changed = Decode<AttemptsChanged>(body);
  if (!changed) return respond(ErrorResponse(changed.error()));
  context_.kernel.Find<TaskService>(kTaskService)
      ->OnReports(static_cast<int>(changed->partition), changed->reports);
  respond({.body = "{}"});
}

}  // namespace gypsumfall
