#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gypsumfall/cli/internal/answers.h"
#include "gypsumfall/cli/internal/command.h"
#include "gypsumfall/cli/internal/session.h"

namespace gypsumfall {
namespace {

constexpr Range<Duration> kWaitRange{milliseconds(0), seconds(60)};
constexpr Range<Duration> kDeadlineRange{milliseconds(1),
                                         std::chrono::minutes(10)};

void PrintWork(const WorkAnswer& work, std::ostream& out) {
  out << "id: " << work.id << "\n";
  if (!work.status.empty()) out << "status: " << work.status << "\n";
  if (!work.was_run.empty()) out << "was_run: " << work.was_run << "\n";
  if (!work.host.empty()) out << "host: " << work.host << "\n";
  if (!work.error_kind.empty()) {
    out << "error: " << work.error_kind << ": " << work.error_message << "\n";
  }
  if (work.result) out << "result: " << *work.result << "\n";
}

// Sends a call about one task or request, and prints its state.
ExitCode CallAndPrint(const AccessArguments& access, const CallPlan& plan,
                      const CliEnvironment& environment) {
  const auto session = Session::Open(Role::kCaller, access, environment);
  if (!session) return session.error();
  const auto body = session->SendForBody(plan);
  if (!body) return body.error();
  const auto work = DecodeWork(*body);
  if (!work) return session->Unreadable(work.error());
  PrintWork(*work, environment.out);
  return ExitCode::kOk;
}

// What is to be run: the arguments that tasks and requests have in common.
struct WorkArguments {
  std::string id;
  std::string kind;
  std::string payload;
  std::string payload_file;
  AccessArguments access;

  void DescribeId(const std::string& what, OptionList& list) {
    list.Add(
        OptionForm::kPositional, "id", "ID",
        "your name for the " + what + "; sent again, it names the same " + what,
        id, ParseId);
  }
  void DescribeWork(OptionList& list) {
    list.Add(OptionForm::kValue, "kind", "KIND",
             "kind of work, as named in the contract", kind, ParseId);
    list.Add(OptionForm::kValue, "payload", "TEXT", "what the worker is given",
             payload);
    list.Add(OptionForm::kValue, "payload-file", "FILE",
             "file that holds what the worker is given", payload_file);
    access.Describe(Role::kCaller, list);
  }
};

// @return the body of a submission.
OrExit<std::string> EncodeArguments(const WorkArguments& work,
                                    std::optional<Duration> deadline,
                                    const CliEnvironment& environment) {
  if (work.kind.empty()) {
    return tl::unexpected(
        BadInput(environment,
                 "the kind of work is missing; write --kind KIND with a "
                 "kind that the contract names"));
  }
  if (!work.payload.empty() && !work.payload_file.empty()) {
    return tl::unexpected(BadInput(
        environment,
        "--payload and --payload-file are both given; write one of them"));
  }
  std::string payload = work.payload;
  if (!work.payload_file.empty()) {
    auto content = ReadInput(work.payload_file, environment);
    if (!content) return tl::unexpected(content.error());
    payload = *std::move(content);
  }
  return EncodeWork(work.id, work.kind, payload, deadline);
}

struct SubmitArguments : WorkArguments {
  OptionList Describe() {
    OptionList list;
    DescribeId("task", list);
    DescribeWork(list);
    return list;
  }
};

ExitCode Submit(const SubmitArguments& arguments,
                const CliEnvironment& environment) {
  const auto body = EncodeArguments(arguments, std::nullopt, environment);
  if (!body) return body.error();
  return CallAndPrint(
      arguments.access,
      {.method = "POST",
       .path = "/v1/tasks",
       .body = *body,
       .if_lost = "The task may have been accepted. Run the same command "
                  "again: with the same id it is accepted once only."},
      environment);
}

struct TaskArguments {
  std::string id;
  AccessArguments access;

  OptionList Describe() {
    OptionList list;
    list.Add(OptionForm::kPositional, "id", "ID", "the task's id", id, ParseId);
    access.Describe(Role::kCaller, list);
    return list;
  }
};

struct ShowArguments : TaskArguments {
  Duration wait{0};

  OptionList Describe() {
    OptionList list = TaskArguments::Describe();
    list.Add(
        OptionForm::kValue, "wait", "TIME",
        "waits so long for the end of the task, for example 30s", wait,
        [](std::string_view text) { return ParseDuration(text, kWaitRange); });
    return list;
  }
};

ExitCode Show(const ShowArguments& arguments,
              const CliEnvironment& environment) {
  std::string path = "/v1/tasks/" + arguments.id;
  if (arguments.wait > Duration(0)) {
    const auto wait =
        std::chrono::duration_cast<milliseconds>(arguments.wait).count();
    path += "?wait_ms=" + std::to_string(wait);
  }
  return CallAndPrint(arguments.access,
                      {.method = "GET",
                       .path = path,
                       .body = {},
                       .if_lost = {},
                       .wait = arguments.wait},
                      environment);
}

ExitCode Cancel(const TaskArguments& arguments,
                const CliEnvironment& environment) {
  return CallAndPrint(
      arguments.access,
      {.method = "DELETE",
       .path = "/v1/tasks/" + arguments.id,
       .body = {},
       .if_lost = "The cancellation may have been accepted. Run the same "
                  "command again; that does no harm."},
      environment);
}

struct ListArguments {
  AccessArguments access;

  OptionList Describe() {
    OptionList list;
    access.Describe(Role::kCaller, list);
    return list;
  }
};

ExitCode List(const ListArguments& arguments,
              const CliEnvironment& environment) {
  const auto session =
      Session::Open(Role::kCaller, arguments.access, environment);
  if (!session) return session.error();
  const auto body = session->SendForBody(
      {.method = "GET", .path = "/v1/tasks", .body = {}, .if_lost = {}});
  if (!body) return body.error();
  const auto tasks = DecodeTasks(*body);
  if (!tasks) return session->Unreadable(tasks.error());
  if (tasks->empty()) environment.out << "There are no tasks.\n";
  for (const WorkAnswer& task : *tasks) {
    environment.out << task.id << "  " << task.status << "  was_run "
                    << task.was_run << "\n";
  }
  return ExitCode::kOk;
}

struct RequestArguments : WorkArguments {
  std::optional<Duration> deadline;
  bool show = false;

  OptionList Describe() {
    OptionList list;
    DescribeId("request", list);
    list.AddFlag("show",
                 "shows the outcome of a request that was sent before; sends "
                 "nothing new",
                 show);
    list.Add(OptionForm::kValue, "deadline", "TIME",
             "time to the answer, for example 200ms (default: that of the "
             "contract)",
             deadline, [](std::string_view text) {
               return ParseDuration(text, kDeadlineRange);
             });
    DescribeWork(list);
    return list;
  }
};

ExitCode Request(const RequestArguments& arguments,
                 const CliEnvironment& environment) {
  if (arguments.show) {
    return CallAndPrint(arguments.access,
                        {.method = "GET",
                         .path = "/v1/requests/" + arguments.id,
                         .body = {},
                         .if_lost = {}},
                        environment);
  }
  const auto body = EncodeArguments(arguments, arguments.deadline, environment);
  if (!body) return body.error();
  return CallAndPrint(
      arguments.access,
      {.method = "POST",
       .path = "/v1/requests",
       .body = *body,
       .if_lost = "The request may have been run. Ask for its outcome with:\n"
                  "  gypsumfall request " +
                  arguments.id + " --show",
       .wait = arguments.deadline.value_or(Duration(0))},
      environment);
}

}  // namespace

std::vector<Command> WorkCommands() {
  return {
      MakeCommand("task submit", "hands over a task, which is then kept safe",
                  Submit),
      MakeCommand("task show", "shows the state of a task", Show),
      MakeCommand("task cancel", "cancels a task", Cancel),
      MakeCommand("task list", "lists the customer's tasks", List),
      MakeCommand("request", "sends a request and prints its answer", Request),
  };
}

}  // namespace gypsumfall
