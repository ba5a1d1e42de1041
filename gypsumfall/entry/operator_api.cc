#include "gypsumfall/entry/internal/operator_api.h"

#include <boost/json.hpp>
#include <utility>
#include <vector>

#include "gypsumfall/entry/internal/json_fields.h"
#include "gypsumfall/entry/internal/membership_service.h"
#include "gypsumfall/entry/internal/task_service.h"

namespace gypsumfall {
namespace {

namespace json = boost::json;

constexpr Duration kInForceTimeout = seconds(5);
constexpr Duration kInForcePollInterval = milliseconds(50);
constexpr int kMaxHistoryVersions = 50;

void Reply(const std::shared_ptr<Responder>& respond, const json::value& body,
           int status = 200) {
  (*respond)({.status = status, .body = json::serialize(body)});
}

void Reject(const std::shared_ptr<Responder>& respond, const Error& error) {
  (*respond)(ErrorResponse(error));
}

/// @param current_text text of the contract that is stored.
/// @param requested_text text that the operator tried to put.
json::array ConflictingFields(const std::string& current_text,
                              const std::string& requested_text) {
  json::array changes;
  const Parsed<Contract> current_contract = ParseContract(current_text);
  const Parsed<Contract> requested_contract = ParseContract(requested_text);
  if (!current_contract || !requested_contract) return changes;
  for (const FieldChange& change :
       DiffContracts(*current_contract, *requested_contract)) {
    changes.push_back(json::object{{"field", change.field},
                                   {"theirs", change.before},
                                   {"yours", change.after}});
  }
  return changes;
}

/// @param before text of the previous version; empty for the first version.
json::array ChangedFields(const std::string& before, const std::string& after) {
  json::array changes;
  const Parsed<Contract> newer = ParseContract(after);
  if (!newer) return changes;
  const Contract empty_contract{.customer = newer->customer};
  for (const FieldChange& change :
       DiffContracts(ParseContract(before).value_or(empty_contract), *newer)) {
    changes.push_back(json::object{{"field", change.field},
                                   {"before", change.before},
                                   {"after", change.after}});
  }
  return changes;
}

json::array DiagnosticArray(const std::vector<Diagnostic>& diagnostics) {
  json::array array;
  for (const Diagnostic& diagnostic : diagnostics) {
    array.push_back(json::object{{"line", diagnostic.line},
                                 {"message", diagnostic.message}});
  }
  return array;
}

/// Parses a contract and checks that it is for the customer; answers the call
/// if either fails.
Result<Contract> ParseOrReject(const CustomerId& customer,
                               const std::string& text,
                               const std::shared_ptr<Responder>& respond) {
  Parsed<Contract> contract = ParseContract(text);
  if (!contract) {
    json::object body{
        {"error", ErrorObject(ErrorKind::kBadRequest,
                              DiagnosticsToString(contract.error()))},
        {"was_run", "no"},
        {"faults", DiagnosticArray(contract.error())}};
    Reply(respond, body,
          ErrorTableEntryFor(ErrorKind::kBadRequest).http_status);
    return Fail(ErrorKind::kBadRequest, "faults");
  }
  if (contract->customer != customer) {
    Error error{ErrorKind::kBadRequest,
                "the text is for customer \"" + contract->customer.str() +
                    "\" but the call is for \"" + customer.str() + "\""};
    Reject(respond, error);
    return tl::unexpected(error);
  }
  return std::move(*contract);
}

}  // namespace

void OperatorApi::Handle(const HttpRequest& request, Responder respond) {
  auto shared = std::make_shared<Responder>(std::move(respond));
  const bool is_get = request.method == HttpMethod::kGet;
  const std::string_view path = request.path;
  constexpr std::string_view kContracts = "/v1/contracts/";
  constexpr std::string_view kExplain = "/v1/explain/";
  constexpr std::string_view kEvict = "/v1/evict/";
  if (path == "/metrics") {
    (*shared)({.body = context_.metrics.Export(),
               .content_type = "text/plain; version=0.0.4"});
  } else if (path == "/v1/dump") {
    (*shared)({.body = context_.kernel.Dump(), .content_type = "text/plain"});
  } else if (path.starts_with(kExplain)) {
    Explain(std::string(path.substr(kExplain.size())), shared);
  } else if (path.starts_with(kEvict)) {
    Evict(std::string(path.substr(kEvict.size())), shared);
  } else if (path == "/v1/contracts" && is_get) {
    ListContracts(shared);
  } else if (path.starts_with(kContracts)) {
    std::string_view rest = path.substr(kContracts.size());
    const std::size_t slash = rest.find('/');
    const CustomerId customer{std::string(rest.substr(0, slash))};
    const std::string_view subresource =
        slash == std::string_view::npos ? "" : rest.substr(slash + 1);
    if (!IsValidId(customer.str())) {
      Reject(shared, {ErrorKind::kBadRequest, "customer id is not valid"});
    } else if (subresource.empty() && is_get) {
      ShowContract(customer, shared);
    } else if (subresource.empty() && request.method == HttpMethod::kPut) {
      PutContract(customer, request.body, shared);
    } else if (subresource == "history" && is_get) {
      ShowHistory(customer, shared);
    } else if (subresource == "check") {
      CheckContract(customer, request.body, shared);
    } else {
      Reject(shared, {ErrorKind::kBadRequest, "no such path or method"});
    }
  } else {
    Reject(shared, {ErrorKind::kBadRequest, "no such path or method"});
  }
}

void OperatorApi::ListContracts(const SharedResponder& respond) {
  auto* contracts = context_.kernel.Find<ContractService>(kContractService);
  json::array list;
  for (const ContractPtr& contract : contracts->book().All()) {
    list.push_back(json::object{{"customer", contract->customer.str()},
                                {"version", contract->version.value()}});
  }
  Reply(respond, json::object{{"contracts", std::move(list)}});
}

void OperatorApi::ShowContract(const CustomerId& customer,
                               const SharedResponder& respond) {
  auto* contracts = context_.kernel.Find<ContractService>(kContractService);
  const ContractPtr contract = contracts->book().Find(customer);
  if (contract == nullptr) {
    Reject(respond, {ErrorKind::kNotFound, "no contract for this customer"});
    return;
  }
  Reply(respond, json::object{{"customer", customer.str()},
                              {"version", contract->version.value()},
                              {"text", contracts->ContractText(customer)}});
}

void OperatorApi::ShowHistory(const CustomerId& customer,
                              const SharedResponder& respond) {
  auto* contracts = context_.kernel.Find<ContractService>(kContractService);
  contracts->History(
      customer, kMaxHistoryVersions,
      [respond, customer](const Result<std::vector<StoredContract>>& found) {
        if (!found) return Reject(respond, found.error());
        json::array versions;
        for (std::size_t i = 0; i < found->size(); ++i) {
          const StoredContract& stored = (*found)[i];
          const std::string before =
              i + 1 < found->size() ? (*found)[i + 1].text : std::string();
          versions.push_back(
              json::object{{"version", stored.version.value()},
                           {"author", stored.author},
                           {"text", stored.text},
                           {"changes", ChangedFields(before, stored.text)}});
        }
        Reply(respond, json::object{{"customer", customer.str()},
                                    {"history", std::move(versions)}});
      });
}

void OperatorApi::CheckContract(const CustomerId& customer,
                                const std::string& body,
                                const SharedResponder& respond) {
  const Result<json::object> object = ParseObject(body);
  if (!object) return Reject(respond, object.error());
  const std::string text = TextField(*object, "text").value_or("");
  const Result<Contract> contract = ParseOrReject(customer, text, respond);
  if (!contract) return;
  auto* contracts = context_.kernel.Find<ContractService>(kContractService);
  const ContractPtr current_contract = contracts->book().Find(customer);
  json::array changes = ChangedFields(
      current_contract ? contracts->ContractText(customer) : std::string(),
      text);
  const std::uint64_t version =
      current_contract ? current_contract->version.value() : std::uint64_t{0};
  Reply(respond, json::object{{"customer", customer.str()},
                              {"version", version},
                              {"changes", std::move(changes)}});
}

void OperatorApi::PutContract(const CustomerId& customer,
                              const std::string& body,
                              const SharedResponder& respond) {
  const Result<json::object> object = ParseObject(body);
  if (!object) return Reject(respond, object.error());
  const std::string text = TextField(*object, "text").value_or("");
  const json::value* base = object->if_contains("base_version");
  if (base == nullptr || !base->is_int64() || base->as_int64() < 0) {
    Reject(respond,
           {ErrorKind::kBadRequest,
            "\"base_version\" must be the version that the change was made "
            "from, or 0 for a new customer"});
    return;
  }
  if (!ParseOrReject(customer, text, respond)) return;
  auto* contracts = context_.kernel.Find<ContractService>(kContractService);
  ContractPutRequest order{
      .customer = customer,
      .base_version =
          ContractVersion(static_cast<std::uint64_t>(base->as_int64())),
      .text = text,
      .author = TextField(*object, "author").value_or("operator"),
      .token = context_.self().str() + "/" +
               std::to_string(context_.Now().time_since_epoch().count()) + "/" +
               std::to_string(++put_count_)};
  contracts->Put(std::move(order),
                 [this, customer, text, respond](const PutOutcome& outcome) {
                   OnPutDone(customer, text, outcome, respond);
                 });
}

void OperatorApi::OnPutDone(const CustomerId& customer, const std::string& text,
                            const PutOutcome& outcome,
                            const SharedResponder& respond) {
  const std::string subject = "contract/" + customer.str();
  if (const auto* done = std::get_if<PutDone>(&outcome)) {
    context_.Explain(
        subject, "accepted",
        "version " + std::to_string(done->version.value()) + " is durable");
    AwaitInForce(*done, context_.Now() + kInForceTimeout, respond);
  } else if (const auto* rejected = std::get_if<PutRejected>(&outcome)) {
    context_.Explain(subject, "rejected", rejected->error.detail);
    AnswerConflict(text, *rejected, respond);
  } else {
    Reject(respond, {ErrorKind::kOutcomeUnknown,
                     "the change may be stored; look with contract show"});
  }
}

void OperatorApi::AnswerConflict(const std::string& text,
                                 const PutRejected& rejected,
                                 const SharedResponder& respond) {
  if (rejected.error.kind != ErrorKind::kConflict) {
    return Reject(respond, rejected.error);
  }
  Reply(respond,
        json::object{
            {"error", ErrorObject(rejected.error.kind, rejected.error.detail)},
            {"was_run", "no"},
            {"current_version", rejected.current.version.value()},
            {"author", rejected.current.author},
            {"changes", ConflictingFields(rejected.current.text, text)}},
        ErrorTableEntryFor(ErrorKind::kConflict).http_status);
}

void OperatorApi::AwaitInForce(const PutDone& put, Time until,
                               const SharedResponder& respond) {
  auto* contracts = context_.kernel.Find<ContractService>(kContractService);
  auto* members = context_.kernel.Find<MembershipService>(kMembershipService);
  json::array hosts;
  bool complete = true;
  const auto add_host = [&](const EntryHostId& host, ContractRevision revision,
                            bool reachable) {
    const bool in_force = revision >= put.revision;
    if (reachable && !in_force) complete = false;
    hosts.push_back(json::object{
        {"host", host.str()},
        {"state", in_force ? "in_force" : (reachable ? "pending" : "cut_off")},
        {"version", in_force ? put.version.value() : std::uint64_t{0}}});
  };
  add_host(context_.self(), contracts->revision(), true);
  for (const PeerSettings& peer : context_.settings.peers) {
    const HostView* view = members->membership().Host(peer.id);
    const bool reachable =
        view != nullptr && (view->state == HostState::kAlive ||
                            view->state == HostState::kLeaving);
    add_host(
        peer.id,
        view == nullptr ? ContractRevision() : view->summary.contract_revision,
        reachable);
  }
  if (complete || context_.Now() >= until) {
    Reply(respond, json::object{{"version", put.version.value()},
                                {"in_force", std::move(hosts)}});
    return;
  }
  auto timer = std::make_shared<std::unique_ptr<Timer>>();
  *timer = std::make_unique<Timer>(context_.runtime,
                                   [this, put, until, respond, timer] {
                                     const auto keep_alive = std::move(*timer);
                                     AwaitInForce(put, until, respond);
                                   });
  (*timer)->ScheduleNoLaterThan(context_.Now() + kInForcePollInterval);
}

void OperatorApi::Explain(const std::string& subject,
                          const SharedResponder& respond) {
  json::array decisions;
  const Time now = context_.Now();
  for (const Decision& decision : context_.decisions.Find(subject)) {
    const auto age =
        std::chrono::duration_cast<milliseconds>(now - decision.time);
    decisions.push_back(
        json::object{{"time", std::to_string(age.count()) + " ms ago"},
                     {"what", decision.what},
                     {"why", decision.reason},
                     {"host", decision.host.str()}});
  }
  Reply(respond, json::object{{"subject", subject},
                              {"host", context_.self().str()},
                              {"decisions", std::move(decisions)}});
}

void OperatorApi::Evict(const std::string& target,
                        const SharedResponder& respond) {
  const std::size_t slash = target.find('/');
  if (slash == std::string::npos) {
    return Reject(respond,
                  {ErrorKind::kBadRequest, "write /v1/evict/CUSTOMER/TASK"});
  }
  auto* tasks = context_.kernel.Find<TaskService>(kTaskService);
  const Result<void> evicted = tasks->Evict(
      {CustomerId(target.substr(0, slash)), TaskId(target.substr(slash + 1))});
  if (!evicted) return Reject(respond, evicted.error());
  Reply(respond, json::object{{"evicting", target}});
}

}  // namespace gypsumfall
