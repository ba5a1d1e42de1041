#include <iterator>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumfall/cli/internal/answers.h"
#include "gypsumfall/cli/internal/command.h"
#include "gypsumfall/cli/internal/session.h"

namespace gypsumfall {
namespace {

struct ExplainArguments {
  std::string what;
  std::string id;
  std::string customer;
  AccessArguments access;

  OptionList Describe() {
    OptionList list;
    list.Add(OptionForm::kPositional, "what", "WHAT",
             "what the id names: request, task, worker, host or contract", what,
             ParseId);
    list.Add(OptionForm::kPositional, "id", "ID", "the id", id, ParseId);
    list.Add(OptionForm::kValue, "customer", "ID",
             "customer of the request or task (or set GYPSUMFALL_CUSTOMER)",
             customer, ParseId);
    access.Describe(Role::kOperator, list);
    return list;
  }
};

ExitCode Explain(const ExplainArguments& arguments,
                 const CliEnvironment& environment) {
  std::string subject = arguments.what + "/";
  if (arguments.what == "request" || arguments.what == "task") {
    std::string customer = arguments.customer;
    if (customer.empty()) {
      customer = environment.variable("GYPSUMFALL_CUSTOMER").value_or("");
    }
    if (customer.empty()) {
      return BadInput(environment,
                      "the customer is missing; write --customer ID");
    }
    subject += customer + "/";
  }
  subject += arguments.id;
  const auto session =
      Session::Open(Role::kOperator, arguments.access, environment);
  if (!session) return session.error();
  const auto body = session->SendForBody({.method = "GET",
                                          .path = "/v1/explain/" + subject,
                                          .body = {},
                                          .if_lost = {}});
  if (!body) return body.error();
  const auto decisions = DecodeDecisions(*body);
  if (!decisions) return session->Unreadable(decisions.error());
  if (decisions->empty()) {
    environment.out << "No decision about it is kept on this entry host.\n";
  }
  for (const std::string& line : *decisions) environment.out << line << "\n";
  return ExitCode::kOk;
}

struct DumpArguments {
  AccessArguments access;

  OptionList Describe() {
    OptionList list;
    access.Describe(Role::kOperator, list);
    return list;
  }
};

ExitCode Dump(const DumpArguments& arguments,
              const CliEnvironment& environment) {
  const auto session =
      Session::Open(Role::kOperator, arguments.access, environment);
  if (!session) return session.error();
  const auto body = session->SendForBody(
      {.method = "GET", .path = "/v1/dump", .body = {}, .if_lost = {}});
  if (!body) return body.error();
  environment.out << *body << "\n";
  return ExitCode::kOk;
}

struct DigestArguments {
  std::string key_file;

  OptionList Describe() {
    OptionList list;
    list.Add(OptionForm::kValue, "key-file", "FILE",
             "file that holds the key (default: standard input)", key_file);
    return list;
  }
};

// The key is not an argument because other users can read a command line.
ExitCode Digest(const DigestArguments& arguments,
                const CliEnvironment& environment) {
  std::string text;
  if (arguments.key_file.empty()) {
    std::getline(environment.in, text);
  } else {
    auto content = ReadInput(arguments.key_file, environment);
    if (!content) return content.error();
    text = *std::move(content);
  }
  const auto key = ParseSecret(FirstLine(text));
  if (!key) return BadInput(environment, key.error());
  environment.out << KeyDigest(key->Reveal()) << "\n";
  return ExitCode::kOk;
}

}  // namespace

std::vector<Command> InspectCommands() {
  return {
      MakeCommand("explain", "shows why something was decided", Explain),
      MakeCommand("dump", "prints the whole state of an entry host", Dump),
      MakeCommand("key digest",
                  "prints the digest of a key, to be written into a contract",
                  Digest),
  };
}

}  // namespace gypsumfall
