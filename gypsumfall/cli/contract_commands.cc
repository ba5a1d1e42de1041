#include <algorithm>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gypsumfall/cli/internal/api_messages.h"
#include "gypsumfall/cli/internal/base_version.h"
#include "gypsumfall/cli/internal/command.h"
#include "gypsumfall/cli/internal/session.h"
#include "gypsumfall/contract/contract.h"

namespace gypsumfall {
namespace {

constexpr int kConflictStatus = 409;

std::string ContractPath(const std::string& customer) {
  return "/v1/contracts/" + customer;
}

// A contract file that was parsed without errors, and its source text.
struct ContractFile {
  Contract contract;
  VersionedText source;
};

ResultOrExit<ContractFile> ReadContract(const std::string& path,
                                        const CliEnvironment& environment) {
  const auto text = ReadInputFile(path, environment);
  if (!text) return tl::unexpected(text.error());
  auto contract = ParseContract(*text, path);
  if (contract) {
    return ContractFile{*std::move(contract), SplitBaseVersion(*text)};
  }
  environment.err << DiagnosticsToString(contract.error());
  return tl::unexpected(ExitCode::kBadInput);
}

std::string ValueOrNone(const std::string& value) {
  return value.empty() ? "(none)" : value;
}

void PrintChanges(const std::vector<ChangedField>& changes, std::ostream& out) {
  for (const ChangedField& change : changes) {
    out << "  " << change.field << ": " << ValueOrNone(change.before) << " -> "
        << ValueOrNone(change.after) << "\n";
  }
}

struct CheckArguments {
  std::string file;
  bool compare = false;
  AccessArguments access;

  OptionList DefineOptions() {
    OptionList list;
    list.Add(OptionForm::kPositional, "file", "FILE", "the contract file",
             file);
    list.AddFlag("compare",
                 "also prints what would change, and which running work would "
                 "exceed the new limits",
                 compare);
    access.DefineOptions(Role::kOperator, list);
    return list;
  }
};

ExitCode CompareWithVersionInForce(const CheckArguments& arguments,
                                   const ContractFile& file,
                                   const CliEnvironment& environment) {
  const auto session =
      Session::Open(Role::kOperator, arguments.access, environment);
  if (!session) return session.error();
  const auto body = session->SendForBody(
      {.method = "POST",
       .path = ContractPath(file.contract.customer.str()) + "/check",
       .body = EncodeContractText(file.source.text),
       .no_response_hint = {}});
  if (!body) return body.error();
  const auto response = DecodeCheckContract(*body);
  if (!response) return session->ReportUndecodable(response.error());
  std::ostream& out = environment.out;
  if (response->changes.empty()) {
    out << "Nothing would change from version " << response->version << ".\n";
  } else {
    out << "Changes from version " << response->version << ":\n";
    PrintChanges(response->changes, out);
  }
  for (const LimitExcess& excess : response->excess) {
    out << "Running work exceeds " << excess.field << ": " << excess.used
        << " in use, " << excess.allowed << " allowed.\n";
  }
  return ExitCode::kOk;
}

ExitCode CheckContract(const CheckArguments& arguments,
                       const CliEnvironment& environment) {
  const auto file = ReadContract(arguments.file, environment);
  if (!file) return file.error();
  environment.out << arguments.file << " is valid: customer "
                  << file->contract.customer << " with "
                  << file->contract.kinds.size() << " kinds of work.\n";
  if (!arguments.compare) return ExitCode::kOk;
  return CompareWithVersionInForce(arguments, *file, environment);
}

struct PutArguments {
  std::string file;
  std::optional<std::int64_t> base_version;
  std::string author;
  AccessArguments access;

  OptionList DefineOptions() {
    OptionList list;
    const auto version = [](std::string_view text) {
      return ParseInteger(text, {0, std::numeric_limits<std::int64_t>::max()});
    };
    list.Add(OptionForm::kPositional, "file", "FILE", "the contract file",
             file);
    list.Add(OptionForm::kValue, "base-version", "N",
             "version that the file was made from; 0 for a new customer "
             "(default: the line \"# base_version = N\" that \"contract "
             "show\" writes, or 0)",
             base_version, version);
    list.Add(OptionForm::kValue, "author", "NAME",
             "who makes the change (or set USER)", author);
    access.DefineOptions(Role::kOperator, list);
    return list;
  }
};

std::string DescribeHostState(const HostContractState& host,
                              std::int64_t version) {
  if (host.state == "in_force") return "in force";
  const std::string lagging_version = " (still at version " +
                                      std::to_string(host.version) + " of " +
                                      std::to_string(version) + ")";
  if (host.state == "pending") return "not in force yet" + lagging_version;
  if (host.state == "cut_off") {
    return "cut off; the change takes effect when the host reconnects" +
           lagging_version;
  }
  return host.state + lagging_version;
}

void PrintAccepted(const Contract& contract,
                   const PutContractResponse& response, std::ostream& out) {
  out << "The contract of " << contract.customer << " is accepted as version "
      << response.version << ".\n";
  for (const HostContractState& host : response.in_force) {
    out << "  " << host.host << ": "
        << DescribeHostState(host, response.version) << "\n";
  }
  const auto in_force = std::count_if(
      response.in_force.begin(), response.in_force.end(),
      [](const HostContractState& host) { return host.state == "in_force"; });
  out << "In force on " << in_force << " of " << response.in_force.size()
      << " entry hosts.\n";
}

ExitCode PrintConflict(const PutArguments& arguments, std::int64_t base,
                       const CliResponse& response,
                       const CliEnvironment& environment) {
  const ErrorDetails error = DecodeErrorDetails(response.body);
  std::ostream& err = environment.err;
  err << "Not accepted: version " << error.current_version
      << " is in force, but this change was made from version " << base
      << ". These fields differ:\n";
  for (const ChangedField& change : error.changes) {
    err << "  " << change.field << ": stored " << ValueOrNone(change.before)
        << ", submitted " << ValueOrNone(change.after) << "\n";
  }
  err << "Merge into " << arguments.file
      << " the stored values to keep, then run:\n  gypsumfall contract put "
      << arguments.file << " --base-version " << error.current_version << "\n";
  return ExitCode::kRefused;
}

ExitCode PutContract(const PutArguments& arguments,
                     const CliEnvironment& environment) {
  const auto file = ReadContract(arguments.file, environment);
  if (!file) return file.error();
  std::string author = arguments.author;
  if (author.empty())
    author = environment.environment_variable("USER").value_or("");
  if (author.empty()) {
    return ReportBadInput(environment,
                          "the author is missing; write --author NAME");
  }
  const auto session =
      Session::Open(Role::kOperator, arguments.access, environment);
  if (!session) return session.error();
  const std::int64_t base =
      arguments.base_version.value_or(file->source.base_version.value_or(0));
  const std::string customer = file->contract.customer.str();
  const auto response = session->Send(
      {.method = "PUT",
       .path = ContractPath(customer),
       .body = EncodePutContract(file->source.text, base, author),
       .no_response_hint =
           "The change may have been accepted. Print the version in force "
           "with:\n  gypsumfall contract show " +
           customer});
  if (!response) return response.error();
  if (response->status == kConflictStatus) {
    return PrintConflict(arguments, base, *response, environment);
  }
  if (response->status >= 300) return session->ReportErrorResponse(*response);
  const auto put = DecodePutContract(response->body);
  if (!put) return session->ReportUndecodable(put.error());
  PrintAccepted(file->contract, *put, environment.out);
  return ExitCode::kOk;
}

struct CustomerArguments {
  CustomerId customer;
  AccessArguments access;

  OptionList DefineOptions() {
    OptionList list;
    list.Add(OptionForm::kPositional, "id", "CUSTOMER", "the customer's id",
             customer, ParseId);
    access.DefineOptions(Role::kOperator, list);
    return list;
  }
};

ExitCode ShowContract(const CustomerArguments& arguments,
                      const CliEnvironment& environment) {
  const auto session =
      Session::Open(Role::kOperator, arguments.access, environment);
  if (!session) return session.error();
  const auto body =
      session->SendForBody({.method = "GET",
                            .path = ContractPath(arguments.customer.str()),
                            .body = {},
                            .no_response_hint = {}});
  if (!body) return body.error();
  const auto contract = DecodeContract(*body);
  if (!contract) return session->ReportUndecodable(contract.error());
  environment.out << BaseVersionLine(contract->version) << contract->text;
  environment.err << "Version " << contract->version << ", put by "
                  << contract->author << " at " << contract->time << ".\n";
  return ExitCode::kOk;
}

// Prints a list of contracts, or the versions of one, one line each, followed
// by the fields that each version changed.
ExitCode PrintContracts(const AccessArguments& access, const std::string& path,
                        const std::string& member,
                        const CliEnvironment& environment) {
  const auto session = Session::Open(Role::kOperator, access, environment);
  if (!session) return session.error();
  const auto body = session->SendForBody(
      {.method = "GET", .path = path, .body = {}, .no_response_hint = {}});
  if (!body) return body.error();
  const auto contracts = DecodeContracts(*body, member);
  if (!contracts) return session->ReportUndecodable(contracts.error());
  if (contracts->empty()) environment.out << "There are no contracts.\n";
  for (const ContractResponse& contract : *contracts) {
    environment.out << contract.customer
                    << (contract.customer.empty() ? "" : "  ") << "version "
                    << contract.version << "  by " << contract.author << "  "
                    << contract.time << "\n";
    PrintChanges(contract.changes, environment.out);
  }
  return ExitCode::kOk;
}

ExitCode PrintHistory(const CustomerArguments& arguments,
                      const CliEnvironment& environment) {
  return PrintContracts(arguments.access,
                        ContractPath(arguments.customer.str()) + "/history",
                        "history", environment);
}

struct ListArguments {
  AccessArguments access;

  OptionList DefineOptions() {
    OptionList list;
    access.DefineOptions(Role::kOperator, list);
    return list;
  }
};

ExitCode ListContracts(const ListArguments& arguments,
                       const CliEnvironment& environment) {
  return PrintContracts(arguments.access, "/v1/contracts", "contracts",
                        environment);
}

}  // namespace

std::vector<Command> ContractCommands() {
  return {
      MakeCommand("contract check",
                  "checks a contract file and prints all diagnostics",
                  CheckContract),
      MakeCommand("contract put", "puts a contract into force", PutContract),
      MakeCommand("contract show", "prints the contract that is in force",
                  ShowContract),
      MakeCommand("contract history",
                  "lists the versions of a contract and their changes",
                  PrintHistory),
      MakeCommand("contract list", "lists all contracts", ListContracts),
  };
}

}  // namespace gypsumfall
