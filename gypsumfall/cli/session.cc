#include "gypsumfall/cli/internal/session.h"

#include <string>
#include <string_view>
#include <utility>

#include "gypsumfall/cli/internal/answers.h"

namespace gypsumfall {
namespace {

// Longer than the longest request deadline of a contract would be impractical
// for a person who waits; the outcome can be asked for by id.
constexpr Duration kCallTimeout = seconds(30);
constexpr int kFirstErrorStatus = 300;
constexpr int kBadRequestStatus = 400;

constexpr const char* kServerVariable = "GYPSUMFALL_SERVER";
constexpr const char* kCustomerVariable = "GYPSUMFALL_CUSTOMER";

const char* KeyVariable(Role role) {
  return role == Role::kOperator ? "GYPSUMFALL_OPERATOR_KEY" : "GYPSUMFALL_KEY";
}

std::string OrVariable(const std::string& value, const char* variable,
                       const CliEnvironment& environment) {
  if (!value.empty()) return value;
  return environment.variable(variable).value_or("");
}

OrExit<std::string> FindKey(Role role, const AccessArguments& access,
                            const CliEnvironment& environment) {
  std::string key = environment.variable(KeyVariable(role)).value_or("");
  if (!access.key_file.empty()) {
    auto text = ReadInput(access.key_file, environment);
    if (!text) return text;
    key = FirstLine(*text);
  }
  // The same rule keeps line breaks out of the HTTP header.
  const auto secret = ParseSecret(key);
  if (secret) return secret->Reveal();
  const std::string problem = key.empty() ? "no key is given" : secret.error();
  return tl::unexpected(BadInput(
      environment,
      problem + "; write --key-file FILE, or set " + KeyVariable(role)));
}

std::string RunText(std::string_view was_run) {
  if (was_run == "no") return " It was not run and never will be.";
  if (was_run == "yes") return " It was run.";
  if (was_run == "unknown") {
    return " It is not known yet whether it was run; ask again by its id.";
  }
  return "";
}

std::string_view OutcomeWord(std::string_view was_run) {
  if (was_run == "yes") return "Failed";
  return was_run == "unknown" ? "No outcome" : "Refused";
}

}  // namespace

void AccessArguments::Describe(Role role, OptionList& list) {
  list.Add(OptionForm::kValue, "server", "IP:PORT",
           "address of an entry host or of the balancer (or set "
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

OrExit<Session> Session::Open(Role role, const AccessArguments& access,
                              const CliEnvironment& environment) {
  Session session(environment);
  const std::string address =
      OrVariable(access.server, kServerVariable, environment);
  const auto server = ParseEndpoint(address);
  if (!server) {
    const std::string problem = address.empty()
                                    ? "the address of an entry host is missing"
                                    : server.error();
    return tl::unexpected(
        BadInput(environment, problem + "; write --server 10.0.0.1:7000, or " +
                                  "set " + kServerVariable));
  }
  session.server_ = *server;
  const auto key = FindKey(role, access, environment);
  if (!key) return tl::unexpected(key.error());
  session.headers_ = {{"Authorization", "Bearer " + *key},
                      {"Content-Type", "application/json"}};
  if (role == Role::kOperator) return session;
  const std::string customer =
      OrVariable(access.customer, kCustomerVariable, environment);
  if (const auto id = ParseId(customer); !id) {
    const std::string problem =
        customer.empty() ? "the customer is missing" : id.error();
    return tl::unexpected(BadInput(
        environment,
        problem + "; write --customer ID, or set " + kCustomerVariable));
  }
  session.headers_.push_back({"X-Customer", customer});
  return session;
}

OrExit<CliAnswer> Session::Send(const CallPlan& plan) const {
  auto answer = environment_->call({server_, plan.method, plan.path, headers_,
                                    plan.body, kCallTimeout + plan.wait});
  if (answer) return *std::move(answer);
  std::ostream& err = environment_->err;
  if (answer.error().kind == ErrorKind::kOutcomeUnknown) {
    err << "No answer came from " << server_.ToString() << " ("
        << answer.error().detail << ").\n"
        << (plan.if_lost.empty() ? "Run the command again." : plan.if_lost)
        << "\n";
  } else {
    err << "The entry host at " << server_.ToString()
        << " can not be reached: " << answer.error().detail
        << "\nNothing was sent. Check the address, or name another entry host "
           "with --server IP:PORT.\n";
  }
  return tl::unexpected(ExitCode::kNotReachable);
}

OrExit<std::string> Session::SendForBody(const CallPlan& plan) const {
  auto answer = Send(plan);
  if (!answer) return tl::unexpected(answer.error());
  if (answer->status >= kFirstErrorStatus) {
    return tl::unexpected(Refused(*answer));
  }
  return std::move(answer->body);
}

ExitCode Session::Refused(const CliAnswer& answer) const {
  const ErrorAnswerBody error = DecodeError(answer.body);
  std::ostream& err = environment_->err;
  err << OutcomeWord(error.was_run) << " (" << answer.status
      << (error.kind.empty() ? "" : " " + error.kind) << ")";
  if (!error.message.empty()) err << ": " << error.message;
  err << "." << RunText(error.was_run);
  const bool known = !error.kind.empty();
  if (known && AnswerFor(ErrorKindFromName(error.kind)).safe_to_retry) {
    err << " Run the command again a little later.";
  }
  err << "\n";
  return answer.status == kBadRequestStatus ? ExitCode::kBadInput
                                            : ExitCode::kRefused;
}

ExitCode Session::Unreadable(const Error& error) const {
  environment_->err << "The answer of " << server_.ToString()
                    << " can not be read: " << error.detail
                    << ".\nCheck that this is the address of an entry host of "
                       "the same release.\n";
  return ExitCode::kNotReachable;
}

OrExit<std::string> ReadInput(const std::string& path,
                              const CliEnvironment& environment) {
  auto text = environment.read_file(path);
  if (text) return *std::move(text);
  return tl::unexpected(BadInput(
      environment,
      "the file " + Quote(path) + " can not be read: " + text.error().detail));
}

std::string FirstLine(std::string_view text) {
  text = text.substr(0, text.find_first_of("\r\n"));
  const std::size_t last = text.find_last_not_of(" \t");
  return std::string(text.substr(0, last == text.npos ? 0 : last + 1));
}

ExitCode BadInput(const CliEnvironment& environment, std::string_view message) {
  environment.err << message << "\n";
  return ExitCode::kBadInput;
}

}  // namespace gypsumfall
