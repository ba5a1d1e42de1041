#include "gypsumfall/entry/internal/caller_api.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "gypsumfall/entry/internal/contract_service.h"
#include "gypsumfall/entry/internal/json_fields.h"
#include "gypsumfall/entry/internal/membership_service.h"
#include "gypsumfall/entry/internal/ownership_service.h"

namespace gypsumfall {
namespace {

constexpr Duration kMaxLongPollWait = seconds(30);
constexpr Duration kForwardTimeout = seconds(35);

std::string_view MethodName(HttpMethod method) {
  switch (method) {
    case HttpMethod::kGet:
      return "GET";
    case HttpMethod::kPost:
      return "POST";
    case HttpMethod::kPut:
      return "PUT";
    case HttpMethod::kDelete:
      return "DELETE";
    case HttpMethod::kOther:
      break;
  }
  return "OTHER";
}

HttpMethod MethodFromName(std::string_view name) {
  for (const HttpMethod method : {HttpMethod::kGet, HttpMethod::kPost,
                                  HttpMethod::kPut, HttpMethod::kDelete}) {
    if (MethodName(method) == name) return method;
  }
  return HttpMethod::kOther;
}

/// @return the text after `prefix`, or nullopt if the path has another prefix
/// or
///     the rest is not a valid id.
std::optional<std::string> IdAfter(std::string_view prefix,
                                   std::string_view path) {
  if (!path.starts_with(prefix)) return std::nullopt;
  std::string id(path.substr(prefix.size()));
  if (!IsValidId(id)) return std::nullopt;
  return id;
}

Duration LongPollWait(const std::string& query) {
  const HttpRequest parsed{.query = query};
  const auto text = parsed.QueryValue("wait_ms");
  if (!text || text->empty() || text->size() > 6) return Duration(0);
  const bool is_number = std::all_of(
      text->begin(), text->end(), [](char c) { return c >= '0' && c <= '9'; });
  if (!is_number) return Duration(0);
  return std::min<Duration>(milliseconds(std::stol(*text)), kMaxLongPollWait);
}

}  // namespace

void CallerApi::Fail(const Call& call, ErrorKind kind,
                     std::string_view detail) {
  (*call.respond)(ErrorResponse(kind, detail));
}

void CallerApi::Handle(HttpRequest request, Responder respond) {
  Call call{.method = request.method,
            .path = std::move(request.path),
            .query = std::move(request.query),
            .body = std::move(request.body),
            .customer = CustomerId(request.customer),
            .respond = std::make_shared<Responder>(std::move(respond))};
  auto* contracts = context_.kernel.Find<ContractService>(kContractService);
  if (!contracts->loaded()) {
    Fail(call, ErrorKind::kStoreUnavailable, "contracts are not read yet");
    return;
  }
  Result<ContractPtr> contract =
      contracts->book().Authenticate(call.customer, request.bearer);
  if (!contract) {
    Fail(call, contract.error().kind, contract.error().detail);
    return;
  }
  call.contract = std::move(*contract);
  Dispatch(call);
}

void CallerApi::HandleForwarded(const ForwardedCall& forwarded,
                                Responder respond) {
  Call call{.method = MethodFromName(forwarded.method),
            .body = forwarded.body,
            .customer = forwarded.customer,
            .from_peer = true,
            .respond = std::make_shared<Responder>(std::move(respond))};
  const std::size_t query = forwarded.target.find('?');
  call.path = forwarded.target.substr(0, query);
  if (query != std::string::npos) {
    call.query = forwarded.target.substr(query + 1);
  }
  auto* contracts = context_.kernel.Find<ContractService>(kContractService);
  call.contract = contracts->book().Find(call.customer);
  if (call.contract == nullptr) {
    Fail(call, ErrorKind::kOwnerUnavailable,
         "the owner does not know this customer yet");
    return;
  }
  Dispatch(call);
}

void CallerApi::Dispatch(const Call& call) {
  const bool is_get = call.method == HttpMethod::kGet;
  const bool is_post = call.method == HttpMethod::kPost;
  const auto request_id = IdAfter("/v1/requests/", call.path);
  const auto task_id = IdAfter("/v1/tasks/", call.path);
  if (call.path == "/v1/requests" && is_post) {
    PostRequest(call);
  } else if (request_id && is_get) {
    GetRequest(call, RequestId(*request_id));
  } else if (call.path == "/v1/tasks" && is_post) {
    PostTask(call);
  } else if (call.path == "/v1/tasks" && is_get) {
    ListTasks(call);
  } else if (task_id && is_get) {
    GetTask(call, TaskId(*task_id));
  } else if (task_id && call.method == HttpMethod::kDelete) {
    CancelTask(call, TaskId(*task_id));
  } else {
    Fail(call, ErrorKind::kBadRequest, "no such path, method or id");
  }
}

Result<CallerApi::Submission> CallerApi::ParseSubmission(
    const std::string& body) const {
  const Result<boost::json::object> object = ParseObject(body);
  if (!object) return tl::unexpected(object.error());
  Submission submission;
  submission.id = TextField(*object, "id").value_or("");
  if (!IsValidId(submission.id)) {
    return gypsumfall::Fail(
        ErrorKind::kBadRequest,
        "\"id\" must be 1 to 128 characters of A-Z a-z 0-9 . _ -");
  }
  submission.kind = KindId(TextField(*object, "kind").value_or(""));
  if (submission.kind.empty()) {
    return gypsumfall::Fail(ErrorKind::kBadRequest,
                            "\"kind\" must be the name of a kind of work");
  }
  if (const boost::json::value* payload = object->if_contains("payload")) {
    submission.payload = payload->is_string()
                             ? std::string(payload->as_string())
                             : boost::json::serialize(*payload);
  }
  if (const boost::json::value* deadline_ms =
          object->if_contains("deadline_ms")) {
    constexpr std::int64_t kMaxDeadlineMs = 3'600'000;
    const bool is_valid = deadline_ms->is_int64() &&
                          deadline_ms->as_int64() > 0 &&
                          deadline_ms->as_int64() <= kMaxDeadlineMs;
    if (!is_valid) {
      return gypsumfall::Fail(
          ErrorKind::kBadRequest,
          "\"deadline_ms\" must be a whole number from 1 to 3600000");
    }
    submission.deadline = milliseconds(deadline_ms->as_int64());
  }
  return submission;
}

void CallerApi::PostRequest(const Call& call) {
  const Result<Submission> parsed = ParseSubmission(call.body);
  if (!parsed) return Fail(call, parsed.error().kind, parsed.error().detail);
  const KindSpec* rule = call.contract->FindKind(parsed->kind);
  if (rule == nullptr || rule->shape != WorkShape::kRequest) {
    Fail(call, ErrorKind::kUnknownKind,
         "the contract has no request kind \"" + parsed->kind.str() + "\"");
    return;
  }
  const Time now = context_.Now();
  const Time deadline =
      now + std::min(rule->deadline, parsed->deadline.value_or(rule->deadline));
  if (!rule->idempotent) {
    RunAtMostOnce(call, *parsed, *rule, deadline);
    return;
  }
  auto* requests = context_.kernel.Find<RequestService>(kRequestService);
  requests->Run({.customer = call.customer,
                 .id = RequestId(parsed->id),
                 .rule = *rule,
                 .payload = parsed->payload,
                 .deadline = deadline},
                [this, call, id = parsed->id](const CallerAnswer& answer) {
                  AnswerRequest(call, id, answer);
                });
}

// A non-idempotent request is stored as a task, so that it runs at most once
// even if the caller retries at other entry hosts or entry hosts fail.
void CallerApi::RunAtMostOnce(const Call& call, const Submission& submission,
                              const KindSpec& rule, Time deadline) {
  TaskPartition* partition = PartitionOrForward(call);
  if (partition == nullptr) return;
  auto* tasks = context_.kernel.Find<TaskService>(kTaskService);
  const TaskKey key{call.customer, TaskId(submission.id)};
  partition->Submit(
      key, SpecFor(rule), submission.payload, tasks->LimitsOf(call.customer),
      [this, call, key, deadline](const Result<TaskStatus>& accepted) {
        if (!accepted) return AnswerTask(call, 200, accepted);
        auto* owner =
            context_.kernel.Find<TaskService>(kTaskService)->Find(key);
        if (owner == nullptr) return AnswerTask(call, 200, accepted);
        owner->Wait(key, deadline, /*is_poll=*/false,
                    [this, call](const Result<TaskStatus>& ended) {
                      AnswerTask(call, 200, ended);
                    });
      });
}

void CallerApi::GetRequest(const Call& call, const RequestId& id) {
  auto* requests = context_.kernel.Find<RequestService>(kRequestService);
  const std::optional<RequestView> view = requests->Lookup(call.customer, id);
  if (view && view->answer) {
    AnswerRequest(call, id.str(), *view->answer);
  } else if (view) {
    Fail(call, ErrorKind::kOutcomeUnknown, "still running or being resolved");
  } else if (call.from_peer) {
    Fail(call, ErrorKind::kNotFound, "not known on this entry host");
  } else {
    LookUpRequestAtPeers(call, id);
  }
}

void CallerApi::LookUpRequestAtPeers(const Call& call, const RequestId& id) {
  struct PeerLookup {
    std::size_t pending = 0;
    bool answered = false;
  };
  auto lookup = std::make_shared<PeerLookup>();
  auto* members = context_.kernel.Find<MembershipService>(kMembershipService);
  const auto finish = [this, call, id, lookup](const CallOutcome* outcome) {
    if (lookup->answered) return;
    if (outcome != nullptr && !outcome->failure && outcome->status != 404) {
      lookup->answered = true;
      (*call.respond)({.status = outcome->status, .body = outcome->body});
    } else if (lookup->pending == 0) {
      lookup->answered = true;
      GetTask(call, TaskId(id.str()));
    }
  };
  for (const EntryHostId& peer : members->membership().ForwardTargets()) {
    ++lookup->pending;
    HttpCall http{.path = "/peer/v1/forward",
                  .bearer = context_.settings.keys.peer_key.Reveal(),
                  .body = Encode(ForwardedCall{context_.self(), "GET",
                                               call.path, call.customer, ""})};
    context_.clients.Call(members->AddressOf(peer), std::move(http), seconds(1),
                          [lookup, finish](const CallOutcome& outcome) {
                            --lookup->pending;
                            finish(&outcome);
                          });
  }
  if (lookup->pending == 0) finish(nullptr);
}

void CallerApi::AnswerRequest(const Call& call, const std::string& id,
                              const CallerAnswer& answer) const {
  boost::json::object body{{"id", id},
                           {"was_run", WasRunName(answer.was_run)},
                           {"host", context_.self().str()}};
  int status = 200;
  if (answer.error) {
    const ErrorTableEntry& error_answer = ErrorTableEntryFor(*answer.error);
    status = error_answer.http_status;
    body["error"] = ErrorObject(*answer.error, answer.detail);
    if (!answer.result.empty()) body["result"] = answer.result;
  } else {
    body["status"] = "done";
    body["result"] = answer.result;
  }
  (*call.respond)({.status = status, .body = boost::json::serialize(body)});
}

TaskPartition* CallerApi::PartitionOrForward(const Call& call) {
  auto* tasks = context_.kernel.Find<TaskService>(kTaskService);
  TaskPartition* partition = tasks->Find({call.customer, TaskId()});
  if (partition != nullptr) return partition;
  auto* ownership = context_.kernel.Find<OwnershipService>(kOwnershipService);
  const auto owner =
      ownership->OwnerOf(PartitionOf(call.customer, context_.settings));
  if (!owner || *owner == context_.self() || call.from_peer) {
    Fail(call, ErrorKind::kOwnerUnavailable,
         "the customer's task partition is being taken over; try again");
    return nullptr;
  }
  Forward(call, *owner);
  return nullptr;
}

void CallerApi::Forward(const Call& call, const EntryHostId& owner) {
  auto* members = context_.kernel.Find<MembershipService>(kMembershipService);
  const std::string target =
      call.query.empty() ? call.path : call.path + "?" + call.query;
  HttpCall http{.path = "/peer/v1/forward",
                .bearer = context_.settings.keys.peer_key.Reveal(),
                .body = Encode(ForwardedCall{
                    context_.self(), std::string(MethodName(call.method)),
                    target, call.customer, call.body})};
  context_.clients.Call(
      members->AddressOf(owner), std::move(http), kForwardTimeout,
      [call, owner, members](CallOutcome outcome) {
        members->OnCallOutcome(owner, outcome);
        if (!outcome.failure) {
          (*call.respond)(
              {.status = outcome.status, .body = std::move(outcome.body)});
        } else if (outcome.certainly_not_sent) {
          Fail(call, ErrorKind::kOwnerUnavailable, "try again");
        } else {
          Fail(call, ErrorKind::kOutcomeUnknown, "the owner did not answer");
        }
      });
}

void CallerApi::PostTask(const Call& call) {
  const Result<Submission> parsed = ParseSubmission(call.body);
  if (!parsed) return Fail(call, parsed.error().kind, parsed.error().detail);
  const KindSpec* rule = call.contract->FindKind(parsed->kind);
  if (rule == nullptr || rule->shape != WorkShape::kTask) {
    Fail(call, ErrorKind::kUnknownKind,
         "the contract has no task kind \"" + parsed->kind.str() + "\"");
    return;
  }
  auto* workers = context_.kernel.Find<WorkerService>(kWorkerService);
  const auto never_fits = workers->fleet().NeverFits(
      {.customer = call.customer, .resources = rule->resources});
  if (never_fits) return Fail(call, ErrorKind::kNeverFits, never_fits->text);
  TaskPartition* partition = PartitionOrForward(call);
  if (partition == nullptr) return;
  auto* tasks = context_.kernel.Find<TaskService>(kTaskService);
  partition->Submit({call.customer, TaskId(parsed->id)}, SpecFor(*rule),
                    parsed->payload, tasks->LimitsOf(call.customer),
                    [this, call](const Result<TaskStatus>& accepted) {
                      AnswerTask(call, 202, accepted);
                    });
}

void CallerApi::GetTask(const Call& call, const TaskId& id) {
  TaskPartition* partition = PartitionOrForward(call);
  if (partition == nullptr) return;
  partition->Wait(
      {call.customer, id}, context_.Now() + LongPollWait(call.query),
      /*is_poll=*/true, [this, call](const Result<TaskStatus>& status) {
        AnswerTask(call, 200, status);
      });
}

void CallerApi::CancelTask(const Call& call, const TaskId& id) {
  TaskPartition* partition = PartitionOrForward(call);
  if (partition == nullptr) return;
  partition->Cancel({call.customer, id},
                    [this, call](const Result<TaskStatus>& status) {
                      AnswerTask(call, 202, status);
                    });
}

void CallerApi::ListTasks(const Call& call) {
  TaskPartition* partition = PartitionOrForward(call);
  if (partition == nullptr) return;
  boost::json::array tasks;
  for (const TaskStatus& status : partition->List(call.customer)) {
    tasks.push_back(TaskObject(status, context_.self()));
  }
  (*call.respond)({.body = boost::json::serialize(
                       boost::json::object{{"tasks", std::move(tasks)}})});
}

void CallerApi::AnswerTask(const Call& call, int status,
                           const Result<TaskStatus>& task) const {
  if (!task) return Fail(call, task.error().kind, task.error().detail);
  const int response_status = task->ended() ? 200 : status;
  (*call.respond)(
      {.status = response_status,
       .body = boost::json::serialize(TaskObject(*task, context_.self()))});
}

}  // namespace gypsumfall
