#include "gypsumfall/cli/internal/session.h"

#include <string>
#include <string_view>
#include <utility>

#include "gypsumfall/cli/internal/api_messages.h"

namespace gypsumfall {
namespace {

// A timeout beyond the longest request deadline of a contract is impractical
// for an interactive user, who can query the outcome by id instead.
constexpr Duration kCallTimeout = seconds(30);
constexpr int kFirstErrorStatus = 300;
constexpr int kBadRequestStatus = 400;

constexpr const char* kServerVariable = "GYPSUMFALL_SERVER";
constexpr const char* kCustomerVariable = "GYPSUMFALL_CUSTOMER";

const char* KeyVariable(Role role) {
  return role == Role::kOperator ? "GYPSUMFALL_OPERATOR_KEY" : "GYPSUMFALL_KEY";
}

std::string ValueOrVariable(const std::string& value, const char* variable_name,
                            const CliEnvironment& environment) {
  if (!value.empty()) return value;
  return environment.environment_variable(variable_name).value_or("");
}

ResultOrExit<std::string> ReadKey(Role role, const AccessArguments& access,
                                  const CliEnvironment& environment) {
  std::string key =
      environment.environment_variable(KeyVariable(role)).value_or("");
  if (!access.key_file.empty()) {
    auto text = ReadInputFile(access.key_file, environment);
    if (!text) return text;
    key = FirstLine(*text);
  }
  // ParseSecret also rejects line breaks, which would allow header injection.
  const auto secret = ParseSecret(key);
  if (secret) return secret->Reveal();
  const std::string problem = key.empty() ? "no key is given" : secret.error();
  return tl::unexpected(ReportBadInput(
      environment,
      problem + "; write --key-file FILE, or set " + KeyVariable(role)));
}

std::string DescribeWasRun(std::string_view was_run) {
  if (was_run == "no") return " It was not run and never will be.";
  if (was_run == "yes") return " It was run.";
  if (was_run == "unknown") {
    return " It is not known yet whether it was run; ask again by its id.";
  }
  return "";
}

std::string_view OutcomeLabel(std::string_view was_run) {
  if (was_run == "yes") return "Failed";
  return was_run == "unknown" ? "No outcome" : "Refused";
}

}  // namespace

void AccessArguments::DefineOptions(Role role, OptionList& list) {
  list.Add(OptionForm::kValue, "server", "IP:PORT",
           "address of an entry host or of the load balancer (or set "
           "GYPSUMFALL_SERVER)",
           server);
  list.Add(
      OptionForm::kValue, "key-file", "FILE",
      std::string("file that holds the key (or set ") + KeyVariable(role) + ")",
      key_file);
  if (role == Role::kOperator) return;
  list.Add(OptionForm::kValue, "customer", "ID",
           "the customer (or set GYPSUMFALL_CUSTOMER)", customer);
}

ResultOrExit<Session> Session::Open(Role role, const AccessArguments& access,
                                    const CliEnvironment& environment) {
  Session session(environment);
  const std::string address =
      ValueOrVariable(access.server, kServerVariable, environment);
  const auto server = ParseEndpoint(address);
  if (!server) {
    const std::string problem = address.empty()
                                    ? "the address of an entry host is missing"
                                    : server.error();
    return tl::unexpected(ReportBadInput(
        environment, problem + "; write --server 10.0.0.1:7000, or " + "set " +
                         kServerVariable));
  }
  session.server_ = *server;
  const auto key = ReadKey(role, access, environment);
  if (!key) return tl::unexpected(key.error());
  session.headers_ = {{"Authorization", "Bearer " + *key},
                      {"Content-Type", "application/json"}};
  if (role == Role::kOperator) return session;
  const std::string customer =
      ValueOrVariable(access.customer, kCustomerVariable, environment);
  if (const auto id = ParseId(customer); !id) {
    const std::string problem =
        customer.empty() ? "the customer is missing" : id.error();
    return tl::unexpected(ReportBadInput(
        environment,
        problem + "; write --customer ID, or set " + kCustomerVariable));
  }
  session.headers_.push_back({"X-Customer", customer});
  return session;
}

ResultOrExit<CliResponse> Session::Send(const CallSpec& spec) const {
  auto response = environment_->call({server_, spec.method, spec.path, headers_,
                                      spec.body, kCallTimeout + spec.wait});
  if (response) return *std::move(response);
  std::ostream& err = environment_->err;
  if (response.error().kind == ErrorKind::kOutcomeUnknown) {
    err << "No response from " << server_.ToString() << " ("
        << response.error().detail << ").\n"
        << (spec.no_response_hint.empty() ? "Run the command again."
                                          : spec.no_response_hint)
        << "\n";
  } else {
    err << "The entry host at " << server_.ToString()
        << " cannot be reached: " << response.error().detail
        << "\nNothing was sent. Check the address, or name another entry host "
           "with --server IP:PORT.\n";
  }
  return tl::unexpected(ExitCode::kNotReachable);
}

ResultOrExit<std::string> Session::SendForBody(const CallSpec& spec) const {
  auto response = Send(spec);
  if (!response) return tl::unexpected(response.error());
  if (response->status >= kFirstErrorStatus) {
    return tl::unexpected(ReportErrorResponse(*response));
  }
  return std::move(response->body);
}

ExitCode Session::ReportErrorResponse(const CliResponse& response) const {
  const ErrorDetails error = DecodeErrorDetails(response.body);
  std::ostream& err = environment_->err;
  err << OutcomeLabel(error.was_run) << " (" << response.status
      << (error.kind.empty() ? "" : " " + error.kind) << ")";
  if (!error.message.empty()) err << ": " << error.message;
  err << "." << DescribeWasRun(error.was_run);
  const bool has_kind = !error.kind.empty();
  if (has_kind &&
      ErrorTableEntryFor(ErrorKindFromName(error.kind)).safe_to_retry) {
    err << " Run the command again a little later.";
  }
  err << "\n";
  return response.status == kBadRequestStatus ? ExitCode::kBadInput
                                              : ExitCode::kRefused;
}

ExitCode Session::ReportUndecodable(const Error& error) const {
  environment_->err << "The response of " << server_.ToString()
                    << " cannot be decoded: " << error.detail
                    << ".\nCheck that this is the address of an entry host of "
                       "the same release.\n";
  return ExitCode::kNotReachable;
}

ResultOrExit<std::string> ReadInputFile(const std::string& path,
                                        const CliEnvironment& environment) {
  auto text = environment.read_file(path);
  if (text) return *std::move(text);
  return tl::unexpected(ReportBadInput(
      environment,
      "the file " + Quote(path) + " cannot be read: " + text.error().detail));
}

std::string FirstLine(std::string_view text) {
  text = text.substr(0, text.find_first_of("\r\n"));
  const std::size_t last = text.find_last_not_of(" \t");
  return std::string(text.substr(0, last == text.npos ? 0 : last + 1));
}

ExitCode ReportBadInput(const CliEnvironment& environment,
                        std::string_view message) {
  environment.err << message << "\n";
  return ExitCode::kBadInput;
}

}  // namespace gypsumfall
