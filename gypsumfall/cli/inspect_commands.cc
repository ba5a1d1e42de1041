#include <iterator>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumfall/cli/internal/api_messages.h"
#include "gypsumfall/cli/internal/command.h"
#include "gypsumfall/cli/internal/session.h"

namespace gypsumfall {
namespace {

struct ExplainArguments {
  std::string subject_kind;
  std::string id;
  std::string customer;
  AccessArguments access;

  OptionList DefineOptions() {
    OptionList list;
    list.Add(OptionForm::kPositional, "what", "WHAT",
             "kind of object: request, task, worker, host or contract",
             subject_kind, ParseId);
    list.Add(OptionForm::kPositional, "id", "ID", "the id", id, ParseId);
    list.Add(OptionForm::kValue, "customer", "ID",
             "customer of the request or task (or set GYPSUMFALL_CUSTOMER)",
             customer, ParseId);
    access.DefineOptions(Role::kOperator, list);
    return list;
  }
};

ExitCode PrintDecisions(const ExplainArguments& arguments,
                        const CliEnvironment& environment) {
  std::string subject = arguments.subject_kind + "/";
  if (arguments.subject_kind == "request" || arguments.subject_kind == "task") {
    std::string customer = arguments.customer;
    if (customer.empty()) {
      customer =
          environment.environment_variable("GYPSUMFALL_CUSTOMER").value_or("");
    }
    if (customer.empty()) {
      return ReportBadInput(environment,
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
                                          .no_response_hint = {}});
  if (!body) return body.error();
  const auto decisions = DecodeDecisions(*body);
  if (!decisions) return session->ReportUndecodable(decisions.error());
  if (decisions->empty()) {
    environment.out << "This entry host has no recorded decisions about it.\n";
  }
  for (const std::string& line : *decisions) environment.out << line << "\n";
  return ExitCode::kOk;
}

struct DumpArguments {
  AccessArguments access;

  OptionList DefineOptions() {
    OptionList list;
    access.DefineOptions(Role::kOperator, list);
    return list;
  }
};

ExitCode PrintDump(const DumpArguments& arguments,
                   const CliEnvironment& environment) {
  const auto session =
      Session::Open(Role::kOperator, arguments.access, environment);
  if (!session) return session.error();
  const auto body = session->SendForBody({.method = "GET",
                                          .path = "/v1/dump",
                                          .body = {},
                                          .no_response_hint = {}});
  if (!body) return body.error();
  environment.out << *body << "\n";
  return ExitCode::kOk;
}

struct DigestArguments {
  std::string key_file;

  OptionList DefineOptions() {
    OptionList list;
    list.Add(OptionForm::kValue, "key-file", "FILE",
             "file that holds the key (default: standard input)", key_file);
    return list;
  }
};

// The key is not accepted as an argument because other users of the machine can
// read command lines.
ExitCode PrintKeyDigest(const DigestArguments& arguments,
                        const CliEnvironment& environment) {
  std::string text;
  if (arguments.key_file.empty()) {
    std::getline(environment.in, text);
  } else {
    auto content = ReadInputFile(arguments.key_file, environment);
    if (!content) return content.error();
    text = *std::move(content);
  }
  const auto key = ParseSecret(FirstLine(text));
  if (!key) return ReportBadInput(environment, key.error());
  environment.out << KeyDigest(key->Reveal()) << "\n";
  return ExitCode::kOk;
}

}  // namespace

std::vector<Command> InspectCommands() {
  return {
      MakeCommand("explain", "prints the recorded decisions about an object",
                  PrintDecisions),
      MakeCommand("dump", "prints the whole state of an entry host", PrintDump),
      MakeCommand("key digest",
                  "prints the digest of a key for use in a contract",
                  PrintKeyDigest),
  };
}

}  // namespace gypsumfall
