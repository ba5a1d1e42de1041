#include "bench/load_protocol.h"

#include <algorithm>
#include <boost/json.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall::load {
namespace {

namespace json = boost::json;

// Validity of a direct call; the worker refuses it afterwards.
constexpr Duration kValidity = seconds(5);
// Long-poll time of a task status, in milliseconds.
constexpr int kPollMs = 1000;
// Delay after a failed poll, so that a host that is down is not flooded.
constexpr Duration kPollRetry = milliseconds(100);

std::string TextAt(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) return {};
  return std::string(value->as_string());
}

std::string ErrorAt(const json::object& object) {
  const json::value* error = object.if_contains("error");
  if (error == nullptr || !error->is_object()) return {};
  return TextAt(error->as_object(), "kind");
}

bool HasEnded(std::string_view status) {
  return status == "done" || status == "failed" || status == "cancelled";
}

}  // namespace

LoadProtocol::LoadProtocol(const LoadOptions& options)
    : options_(options), attached_workers_(options.targets.size()) {}

std::string LoadProtocol::IdOf(const LoadItem& item) const {
  return options_.id_prefix + "-" + std::to_string(options_.seed) + "-" +
         std::to_string(item.number);
}

std::string LoadProtocol::TokenOf(const LoadItem& item) const {
  return "<" + IdOf(item) + ">";
}

std::string LoadProtocol::PayloadOf(const LoadItem& item) const {
  std::string payload = TokenOf(item);
  payload.resize(std::max(payload.size(), options_.payload_bytes), '.');
  return payload;
}

LoadCall LoadProtocol::Start(const LoadItem& item, std::size_t target,
                             Time now) const {
  if (options_.work == WorkMode::kDirect) return StartDirect(item, target, now);
  json::object body;
  body["id"] = IdOf(item);
  body["kind"] = options_.kind;
  body["payload"] = PayloadOf(item);
  const bool is_request = options_.work == WorkMode::kRequests;
  if (is_request && options_.deadline_ms > 0) {
    body["deadline_ms"] = options_.deadline_ms;
  }
  return {.is_post = true,
          .path = is_request ? "/v1/requests" : "/v1/tasks",
          .body = json::serialize(body)};
}

LoadCall LoadProtocol::StartDirect(const LoadItem& item, std::size_t target,
                                   Time now) const {
  const AttachedWorker& worker = attached_workers_.at(target);
  RunRequestCall call;
  call.header.owner = EntryHostId(options_.owner);
  call.header.epoch = Epoch(options_.epoch);
  call.header.incarnation = worker.incarnation;
  call.header.valid_until =
      worker.clock + (now - worker.received_at) + kValidity;
  call.exchange = ExchangeId(IdOf(item));
  call.kind = KindId(options_.kind);
  call.resources.cpu = MilliCores(1);
  call.payload = PayloadOf(item);
  return {.is_post = true, .path = "/v1/requests", .body = Encode(call)};
}

LoadCall LoadProtocol::MakeAttachCall() const {
  AttachCall call;
  call.owner = EntryHostId(options_.owner);
  call.epoch = Epoch(options_.epoch);
  return {.is_post = true, .path = "/v1/attach", .body = Encode(call)};
}

Result<void> LoadProtocol::OnAttached(std::size_t target,
                                      const HttpOutcome& outcome, Time now) {
  if (outcome.kind != HttpOutcome::Kind::kAnswered) {
    return Fail(ErrorKind::kNoCapacity, "the worker did not answer the attach");
  }
  const Result<AttachReply> reply = Decode<AttachReply>(outcome.body);
  if (!reply) return tl::unexpected<Error>(reply.error());
  if (!reply->accepted) {
    return Fail(ErrorKind::kConflict,
                "the worker has epoch " +
                    std::to_string(reply->highest_epoch.value()) +
                    "; pass a higher --epoch");
  }
  attached_workers_.at(target) = {reply->incarnation, reply->clock, now};
  return {};
}

std::optional<NextCall> LoadProtocol::OnOutcome(LoadItem& item,
                                                const HttpOutcome& outcome,
                                                Time now) {
  if (item.is_accepted && outcome.kind != HttpOutcome::Kind::kAnswered) {
    ++result_.poll_failures;
    return MakePoll(item, kPollRetry, now);
  }
  if (!CountTransportOutcome(outcome)) return std::nullopt;
  if (options_.work == WorkMode::kDirect) {
    HandleWorkerReply(item, outcome, now);
    return std::nullopt;
  }
  return HandleCallerReply(item, outcome, now);
}

bool LoadProtocol::CountTransportOutcome(const HttpOutcome& outcome) {
  switch (outcome.kind) {
    case HttpOutcome::Kind::kAnswered:
      return true;
    case HttpOutcome::Kind::kNotSent:
      ++result_.not_sent;
      return false;
    case HttpOutcome::Kind::kCutOff:
      ++result_.cut_off;
      if (outcome.no_bytes_on_reuse) ++result_.cut_off_on_reuse;
      return false;
    case HttpOutcome::Kind::kTimedOut:
      ++result_.timed_out;
      return false;
  }
  return false;
}

void LoadProtocol::CheckResult(const LoadItem& item, std::string_view result) {
  if (!options_.check_results) return;
  if (result.find(TokenOf(item)) == std::string_view::npos) {
    ++result_.mismatched;
  }
}

void LoadProtocol::HandleWorkerReply(const LoadItem& item,
                                     const HttpOutcome& outcome, Time now) {
  ++result_.by_http_status[std::to_string(outcome.status)];
  const Result<RequestReply> reply = Decode<RequestReply>(outcome.body);
  if (!reply) {
    ++result_.malformed;
    return;
  }
  ++result_.answered;
  if (reply->exchange.str() != IdOf(item)) ++result_.mismatched;
  const bool is_finished =
      !reply->refused && reply->state == ExchangeState::kFinished;
  if (is_finished) {
    ++result_.by_was_run["yes"];
    result_.latency.Record(now - item.arrived);
    CheckResult(item, reply->result);
    return;
  }
  ++result_.by_error[reply->refused ? "refused" : "failed"];
  ++result_.by_was_run[reply->refused ? "no" : "yes"];
  result_.error_latency.Record(now - item.arrived);
}

std::optional<NextCall> LoadProtocol::HandleCallerReply(
    LoadItem& item, const HttpOutcome& outcome, Time now) {
  json::error_code parse_error;
  const json::value body = json::parse(outcome.body, parse_error);
  if (parse_error || !body.is_object()) {
    ++result_.malformed;
    return std::nullopt;
  }
  const json::object& object = body.as_object();
  const std::string id = TextAt(object, "id");
  const std::string error = ErrorAt(object);
  const std::string status = TextAt(object, "status");
  // Errors about the call itself may omit the id.
  const bool is_matching = id == IdOf(item) || (id.empty() && !error.empty());
  if (!is_matching) ++result_.mismatched;
  if (!item.is_accepted) {
    ++result_.answered;
    ++result_.by_http_status[std::to_string(outcome.status)];
    ++result_.by_was_run[TextAt(object, "was_run")];
    ++result_.by_host[TextAt(object, "host")];
    (error.empty() ? result_.latency : result_.error_latency)
        .Record(now - item.arrived);
  }
  if (!error.empty()) {
    ++result_.by_error[item.is_accepted ? "task_" + error : error];
  }
  if (error.empty() && status == "done") {
    CheckResult(item, TextAt(object, "result"));
  }
  if (options_.work != WorkMode::kTasks) return std::nullopt;
  if (HasEnded(status)) {
    ++result_.by_final_status[status];
    result_.task_latency.Record(now - item.arrived);
    return std::nullopt;
  }
  // An error finishes a task that was not accepted; a failed poll of an
  // accepted task is retried.
  if (!error.empty() && !item.is_accepted) return std::nullopt;
  item.is_accepted = true;
  return MakePoll(item, error.empty() ? Duration::zero() : kPollRetry, now);
}

std::optional<NextCall> LoadProtocol::MakePoll(const LoadItem& item,
                                               Duration delay, Time now) {
  if (now - item.arrived >= options_.task_timeout) {
    ++result_.unfinished_tasks;
    return std::nullopt;
  }
  LoadCall call;
  call.is_post = false;
  call.path = "/v1/tasks/" + IdOf(item) + "?wait_ms=" + std::to_string(kPollMs);
  return NextCall{std::move(call), delay};
}

}  // namespace gypsumfall::load
