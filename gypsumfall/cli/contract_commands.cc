#include <algorithm>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gypsumfall/cli/internal/answers.h"
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

// A contract file that was read and found valid.
struct ContractFile {
  Contract contract;
  BasedText based;
};

OrExit<ContractFile> ReadContract(const std::string& path,
                                  const CliEnvironment& environment) {
  const auto text = ReadInput(path, environment);
  if (!text) return tl::unexpected(text.error());
  auto contract = ParseContract(*text, path);
  if (contract) {
    return ContractFile{*std::move(contract), SplitBaseVersion(*text)};
  }
  environment.err << FaultsToString(contract.error());
  return tl::unexpected(ExitCode::kBadInput);
}

std::string OrNone(const std::string& value) {
  return value.empty() ? "(none)" : value;
}

void PrintChanges(const std::vector<ChangeAnswer>& changes, std::ostream& out) {
  for (const ChangeAnswer& change : changes) {
    out << "  " << change.field << ": " << OrNone(change.before) << " -> "
        << OrNone(change.after) << "\n";
  }
}

struct CheckArguments {
  std::string file;
  bool compare = false;
  AccessArguments access;

  OptionList Describe() {
    OptionList list;
    list.Add(OptionForm::kPositional, "file", "FILE", "the contract file",
             file);
    list.AddFlag("compare",
                 "also shows what would change, and which running work would "
                 "exceed the new limits",
                 compare);
    access.Describe(Role::kOperator, list);
    return list;
  }
};

ExitCode Compare(const CheckArguments& arguments, const ContractFile& file,
                 const CliEnvironment& environment) {
  const auto session =
      Session::Open(Role::kOperator, arguments.access, environment);
  if (!session) return session.error();
  const auto body = session->SendForBody(
      {.method = "POST",
       .path = ContractPath(file.contract.customer.str()) + "/check",
       .body = EncodeText(file.based.text),
       .if_lost = {}});
  if (!body) return body.error();
  const auto answer = DecodeCheck(*body);
  if (!answer) return session->Unreadable(answer.error());
  std::ostream& out = environment.out;
  if (answer->changes.empty()) {
    out << "Nothing would change from version " << answer->version << ".\n";
  } else {
    out << "Changes from version " << answer->version << ":\n";
    PrintChanges(answer->changes, out);
  }
  for (const ExcessAnswer& excess : answer->excess) {
    out << "Running work exceeds " << excess.field << ": " << excess.used
        << " in use, " << excess.allowed << " allowed.\n";
  }
  return ExitCode::kOk;
}

ExitCode Check(const CheckArguments& arguments,
               const CliEnvironment& environment) {
  const auto file = ReadContract(arguments.file, environment);
  if (!file) return file.error();
  environment.out << arguments.file << " is valid: customer "
                  << file->contract.customer << " with "
                  << file->contract.kinds.size() << " kinds of work.\n";
  if (!arguments.compare) return ExitCode::kOk;
  return Compare(arguments, *file, environment);
}

struct PutArguments {
  std::string file;
  std::optional<std::int64_t> base_version;
  std::string author;
  AccessArguments access;

  OptionList Describe() {
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
    access.Describe(Role::kOperator, list);
    return list;
  }
};

std::string HostLine(const HostState& host, std::int64_t version) {
  if (host.state == "in_force") return "in force";
  const std::string held = " (still at version " +
                           std::to_string(host.version) + " of " +
                           std::to_string(version) + ")";
  if (host.state == "pending") return "not in force yet" + held;
  if (host.state == "cut_off") {
    return "cut off; the change comes into force when it is connected again" +
           held;
  }
  return host.state + held;
}

void PrintAccepted(const Contract& contract, const PutAnswer& answer,
                   std::ostream& out) {
  out << "The contract of " << contract.customer << " is accepted as version "
      << answer.version << ".\n";
  for (const HostState& host : answer.in_force) {
    out << "  " << host.host << ": " << HostLine(host, answer.version) << "\n";
  }
  const auto in_force = std::count_if(
      answer.in_force.begin(), answer.in_force.end(),
      [](const HostState& host) { return host.state == "in_force"; });
  out << "In force on " << in_force << " of " << answer.in_force.size()
      << " entry hosts.\n";
}

ExitCode Conflict(const PutArguments& arguments, std::int64_t base,
                  const CliAnswer& answer, const CliEnvironment& environment) {
  const ErrorAnswerBody error = DecodeError(answer.body);
  std::ostream& err = environment.err;
  err << "Not accepted: version " << error.current_version
      << " is in force, but this change was made from version " << base
      << ". These fields differ:\n";
  for (const ChangeAnswer& change : error.changes) {
    err << "  " << change.field << ": theirs " << OrNone(change.before)
        << ", yours " << OrNone(change.after) << "\n";
  }
  err << "Take over into " << arguments.file
      << " what must stay of theirs, then write:\n  gypsumfall contract put "
      << arguments.file << " --base-version " << error.current_version << "\n";
  return ExitCode::kRefused;
}

ExitCode Put(const PutArguments& arguments, const CliEnvironment& environment) {
  const auto file = ReadContract(arguments.file, environment);
  if (!file) return file.error();
  std::string author = arguments.author;
  if (author.empty()) author = environment.variable("USER").value_or("");
  if (author.empty()) {
    return BadInput(environment, "the author is missing; write --author NAME");
  }
  const auto session =
      Session::Open(Role::kOperator, arguments.access, environment);
  if (!session) return session.error();
  const std::int64_t base =
      arguments.base_version.value_or(file->based.base_version.value_or(0));
  const std::string customer = file->contract.customer.str();
  const auto answer = session->Send(
      {.method = "PUT",
       .path = ContractPath(customer),
       .body = EncodePut(file->based.text, base, author),
       .if_lost = "The change may have been accepted. See what is in force "
                  "with:\n  gypsumfall contract show " +
                  customer});
  if (!answer) return answer.error();
  if (answer->status == kConflictStatus) {
    return Conflict(arguments, base, *answer, environment);
  }
  if (answer->status >= 300) return session->Refused(*answer);
  const auto put = DecodePut(answer->body);
  if (!put) return session->Unreadable(put.error());
  PrintAccepted(file->contract, *put, environment.out);
  return ExitCode::kOk;
}

struct CustomerArguments {
  CustomerId customer;
  AccessArguments access;

  OptionList Describe() {
    OptionList list;
    list.Add(OptionForm::kPositional, "id", "CUSTOMER", "the customer's id",
             customer, ParseId);
    access.Describe(Role::kOperator, list);
    return list;
  }
};

ExitCode Show(const CustomerArguments& arguments,
              const CliEnvironment& environment) {
  const auto session =
      Session::Open(Role::kOperator, arguments.access, environment);
  if (!session) return session.error();
  const auto body =
      session->SendForBody({.method = "GET",
                            .path = ContractPath(arguments.customer.str()),
                            .body = {},
                            .if_lost = {}});
  if (!body) return body.error();
  const auto contract = DecodeContract(*body);
  if (!contract) return session->Unreadable(contract.error());
  environment.out << BaseVersionLine(contract->version) << contract->text;
  environment.err << "Version " << contract->version << ", put by "
                  << contract->author << " at " << contract->time << ".\n";
  return ExitCode::kOk;
}

// Prints a list or history of contracts, one line each.
ExitCode PrintList(const AccessArguments& access, const std::string& path,
                   const std::string& member,
                   const CliEnvironment& environment) {
  const auto session = Session::Open(Role::kOperator, access, environment);
  if (!session) return session.error();
  const auto body = session->SendForBody(
      {.method = "GET", .path = path, .body = {}, .if_lost = {}});
  if (!body) return body.error();
  const auto contracts = DecodeContracts(*body, member);
  if (!contracts) return session->Unreadable(contracts.error());
  if (contracts->empty()) environment.out << "There are no contracts.\n";
  for (const ContractAnswer& contract : *contracts) {
    environment.out << contract.customer
                    << (contract.customer.empty() ? "" : "  ") << "version "
                    << contract.version << "  by " << contract.author << "  "
                    << contract.time << "\n";
    PrintChanges(contract.changes, environment.out);
  }
  return ExitCode::kOk;
}

ExitCode History(const CustomerArguments& arguments,
                 const CliEnvironment& environment) {
  return PrintList(arguments.access,
                   ContractPath(arguments.customer.str()) + "/history",
                   "history", environment);
}

struct ListArguments {
  AccessArguments access;

  OptionList Describe() {
    OptionList list;
    access.Describe(Role::kOperator, list);
    return list;
  }
};

ExitCode List(const ListArguments& arguments,
              const CliEnvironment& environment) {
  return PrintList(arguments.access, "/v1/contracts", "contracts", environment);
}

}  // namespace

std::vector<Command> ContractCommands() {
  return {
      MakeCommand("contract check",
                  "checks a contract file and shows all faults", Check),
      MakeCommand("contract put", "brings a contract into force", Put),
      MakeCommand("contract show", "prints the contract that is in force",
                  Show),
      MakeCommand("contract history",
                  "lists the versions of a contract and their changes",
                  History),
      MakeCommand("contract list", "lists all contracts", List),
  };
}

}  // namespace gypsumfall
