#include "standins/internal/worker_service.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "standins/internal/http_text.h"

namespace gypsumfall::standins {
namespace {

constexpr std::size_t kMaxPausedCalls = 1000;

}  // namespace

WorkerService::WorkerService(boost::asio::io_context& io, WorkerModel model,
                             std::string listen, std::string key, RunLog& log)
    : io_(io),
      model_(std::move(model)),
      listen_(std::move(listen)),
      key_(std::move(key)),
      log_(log),
      timer_(io) {}

Result<std::string> WorkerService::Start() {
  ServerOptions options{.listen = listen_};
  options.max_connections = static_cast<std::size_t>(model_.connections());
  options.stop_drain_time = Duration::zero();
  server_ = std::make_unique<Server>(
      io_, options, [this](HttpRequest request, Responder respond) {
        Handle(std::move(request), std::move(respond));
      });
  Result<std::string> address = server_->Start();
  if (address) listen_ = *address;
  return address;
}

void WorkerService::Handle(HttpRequest request, Responder respond) {
  if (!key_.empty() && !ConstantTimeEquals(request.bearer, key_)) {
    respond(ErrorResponse(ErrorKind::kUnauthenticated, "worker key"));
    return;
  }
  const Time now = Now();
  if (model_.Reachable(now)) {
    Advance();
    Dispatch(request, std::move(respond));
    log_.Record(model_.id(), model_.TakeEvents());
    Schedule();
  } else if (paused_calls_.size() < kMaxPausedCalls) {
    paused_calls_.emplace_back(std::move(request), std::move(respond));
    Schedule();
  } else {
    respond.Abort();
  }
}

template <typename Message, typename Method>
void WorkerService::Answer(const HttpRequest& request, Responder& respond,
                           Method method) {
  const Result<Message> call = Decode<Message>(request.body);
  if (!call) {
    respond(ErrorResponse(call.error()));
    return;
  }
  respond({.body = Encode((model_.*method)(*call, Now()))});
}

void WorkerService::Dispatch(const HttpRequest& request, Responder respond) {
  const std::string& path = request.path;
  if (path == "/v1/requests") {
    RunRequest(request, std::move(respond));
  } else if (path == "/v1/heartbeat") {
    Answer<WorkerHeartbeatCall>(request, respond, &WorkerModel::Heartbeat);
  } else if (path == "/v1/attach") {
    Answer<AttachCall>(request, respond, &WorkerModel::Attach);
  } else if (path == "/v1/requests/cancel") {
    Answer<CancelRequestCall>(request, respond, &WorkerModel::CancelRequest);
  } else if (path == "/v1/tasks/start") {
    Answer<StartAttemptCall>(request, respond, &WorkerModel::StartAttempt);
  } else if (path == "/v1/tasks/stop") {
    Answer<StopAttemptCall>(request, respond, &WorkerModel::StopAttempt);
  } else {
    respond(ErrorResponse(ErrorKind::kNotFound, path));
  }
}

void WorkerService::RunRequest(const HttpRequest& request, Responder respond) {
  const auto call = Decode<RunRequestCall>(request.body);
  if (!call) {
    respond(ErrorResponse(call.error()));
    return;
  }
  const auto reply = model_.RunRequest(*call, Now());
  if (reply) {
    respond({.body = Encode(*reply)});
  } else {
    responders_.insert_or_assign(call->exchange, std::move(respond));
  }
}

void WorkerService::Advance() {
  for (const RequestReply& reply : model_.Advance(Now())) {
    const auto found = responders_.find(reply.exchange);
    // Drops the second copy of a duplicated answer: an HTTP call is answered
    // only once.
    if (found == responders_.end()) continue;
    Responder respond = std::move(found->second);
    responders_.erase(found);
    respond({.body = Encode(reply)});
  }
  if (paused_calls_.empty() || !model_.Reachable(Now())) return;
  for (Call& call : std::exchange(paused_calls_, {})) {
    Dispatch(call.first, std::move(call.second));
  }
}

void WorkerService::Schedule() {
  std::optional<Time> next = model_.NextEvent();
  if (!paused_calls_.empty()) next = model_.paused_until();
  if (!next || (timer_deadline_ && *timer_deadline_ <= *next)) return;
  timer_deadline_ = next;
  timer_.expires_at(
      std::chrono::steady_clock::time_point(next->time_since_epoch()));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    timer_deadline_.reset();
    Advance();
    log_.Record(model_.id(), model_.TakeEvents());
    Schedule();
  });
}

void WorkerService::Crash() {
  model_.Crash(Now());
  log_.Record(model_.id(), model_.TakeEvents());
  if (server_) refused_connections_ += server_->refused_connections();
  server_.reset();
  responders_.clear();
  paused_calls_.clear();
}

bool WorkerService::InjectFault(const std::string& fault,
                                const HttpRequest& request) {
  const Duration time = QueryMilliseconds(request, "ms");
  const bool on = QueryNumber(request, "on", 1) != 0;
  if (fault == "pause") {
    model_.Pause(Now() + time, Now());
  } else if (fault == "die") {
    Crash();
  } else if (fault == "restart") {
    Crash();
    model_.Restart(Now());
    return Start().has_value();
  } else if (fault == "leave" || fault == "stay") {
    model_.SetLeaving(fault == "leave");
  } else if (fault == "fail") {
    model_.faults().fail_everything = on;
  } else if (fault == "delay") {
    model_.faults().answer_delay = time;
  } else if (fault == "twice") {
    model_.faults().duplicate_answers = on;
  } else if (fault == "reverse") {
    model_.faults().reverse_answers = on;
  } else {
    return false;
  }
  return true;
}

std::string WorkerService::Stats() const {
  std::size_t refused = refused_connections_;
  if (server_) refused += server_->refused_connections();
  std::string text = "{\"id\":\"" + model_.id().str() + "\"";
  text += ",\"incarnation\":" + std::to_string(model_.incarnation().value());
  text += ",\"running\":" + std::to_string(model_.running());
  text += ",\"peak_running\":" + std::to_string(model_.peak_running());
  text += ",\"requests_ended\":" + std::to_string(model_.requests_ended());
  text += ",\"attempts_ended\":" + std::to_string(model_.attempts_ended());
  text += ",\"overcommits\":" + std::to_string(model_.overcommits());
  text += ",\"refused_connections\":" + std::to_string(refused);
  text += ",\"violations\":" + std::to_string(model_.violations().size());
  return text + "}";
}

}  // namespace gypsumfall::standins
