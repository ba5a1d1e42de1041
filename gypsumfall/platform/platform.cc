#include "gypsumfall/platform/platform.h"

#include <string>
#include <utility>

namespace gypsumfall {
namespace {

constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;

/// Turns an answer into an outcome; `parse` reads the body of a success.
template <typename Reply, typename Parse>
StoreOutcome<Reply> ToOutcome(CallOutcome answer, Parse parse) {
  StoreOutcome<Reply> outcome;
  if (answer.failure) {
    outcome.certainly_not_applied = answer.certainly_not_sent;
    outcome.failure = CallFailureName(*answer.failure);
    return outcome;
  }
  if (answer.status != kOk) {
    // The service refuses what exceeds its rate before it does anything.
    outcome.certainly_not_applied = answer.status == kTooManyRequests;
    outcome.failure = "status " + std::to_string(answer.status);
    return outcome;
  }
  Result<Reply> reply = parse(std::move(answer.body));
  if (reply) {
    outcome.reply = std::move(*reply);
  } else {
    outcome.failure = reply.error().detail;
  }
  return outcome;
}

template <typename Reply, typename Parse>
void SendCall(ClientPool& clients, const std::string& endpoint, HttpCall call,
              Duration timeout, Parse parse, StoreDone<Reply> done) {
  clients.Call(endpoint, std::move(call), timeout,
               [parse, done = std::move(done)](CallOutcome answer) {
                 done(ToOutcome<Reply>(std::move(answer), parse));
               });
}

template <typename Reply>
Result<Reply> DecodeReply(const std::string& body) {
  return Decode<Reply>(body);
}

Result<bool> Succeeded(const std::string& /*body*/) { return true; }

Result<std::string> WholeBody(std::string body) { return body; }

std::string ObjectPath(const std::string& name) {
  return "/v1/objects/" + PercentEncode(name);
}

}  // namespace

void TableClient::Transact(const TransactCall& call, Duration timeout,
                           StoreDone<TransactReply> done) {
  SendCall<TransactReply>(clients_, endpoint_,
                          {.path = "/v1/transact", .body = Encode(call)},
                          timeout, DecodeReply<TransactReply>, std::move(done));
}

void TableClient::Read(const ReadCall& call, Duration timeout,
                       StoreDone<RowsReply> done) {
  SendCall<RowsReply>(clients_, endpoint_,
                      {.path = "/v1/read", .body = Encode(call)}, timeout,
                      DecodeReply<RowsReply>, std::move(done));
}

void TableClient::Scan(const ScanCall& call, Duration timeout,
                       StoreDone<RowsReply> done) {
  SendCall<RowsReply>(clients_, endpoint_,
                      {.path = "/v1/scan", .body = Encode(call)}, timeout,
                      DecodeReply<RowsReply>, std::move(done));
}

void ObjectClient::Put(const std::string& name, const std::string& text,
                       Duration timeout, StoreDone<bool> done) {
  SendCall<bool>(
      clients_, endpoint_,
      {.method = HttpMethod::kPut, .path = ObjectPath(name), .body = text},
      timeout, Succeeded, std::move(done));
}

void ObjectClient::Get(const std::string& name, Duration timeout,
                       StoreDone<std::string> done) {
  SendCall<std::string>(clients_, endpoint_,
                        {.method = HttpMethod::kGet, .path = ObjectPath(name)},
                        timeout, WholeBody, std::move(done));
}

void ObjectClient::Delete(const std::string& name, Duration timeout,
                          StoreDone<bool> done) {
  SendCall<bool>(clients_, endpoint_,
                 {.method = HttpMethod::kDelete, .path = ObjectPath(name)},
                 timeout, Succeeded, std::move(done));
}

void HostListClient::List(Duration timeout, StoreDone<HostListReply> done) {
  SendCall<HostListReply>(clients_, endpoint_,
                          {.method = HttpMethod::kGet, .path = "/v1/hosts"},
                          timeout, DecodeReply<HostListReply>, std::move(done));
}

}  // namespace gypsumfall
