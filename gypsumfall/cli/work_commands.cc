#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gypsumfall/cli/internal/api_messages.h"
#include "gypsumfall/cli/internal/command.h"
#include "gypsumfall/cli/internal/session.h"

namespace gypsumfall {
namespace {

constexpr Range<Duration> kWaitRange{milliseconds(0), seconds(60)};
constexpr Range<Duration> kDeadlineRange{milliseconds(1),
                                         std::chrono::minutes(10)};

void PrintWork(const WorkState& work, std::ostream& out) {
  out << "id: " << work.id << "\n";
  if (!work.status.empty()) out << "status: " << work.status << "\n";
  if (!work.was_run.empty()) out << "was_run: " << work.was_run << "\n";
  if (!work.host.empty()) out << "host: " << work.host << "\n";
  if (!work.error_kind.empty()) {
    out << "error: " << work.error_kind << ": " << work.error_message << "\n";
  }
  if (work.result) out << "result: " << *work.result << "\n";
}

// Sends a call about one task or request, and prints the state in the response.
ExitCode CallAndPrint(const AccessArguments& access, const CallSpec& spec,
                      const CliEnvironment& environment) {
  const auto session = Session::Open(Role::kCaller, access, environment);
  if (!session) return session.error();
  const auto body = session->SendForBody(spec);
  if (!body) return body.error();
  const auto work = DecodeWorkState(*body);
  if (!work) return session->ReportUndecodable(work.error());
  PrintWork(*work, environment.out);
  return ExitCode::kOk;
}

// Arguments that submissions of tasks and of requests have in common.
struct WorkArguments {
  std::string id;
  std::string kind;
  std::string payload;
  std::string payload_file;
  AccessArguments access;

  void DefineIdOption(const std::string& noun, OptionList& list) {
    list.Add(OptionForm::kPositional, "id", "ID",
             "id of your choice for the " + noun + "; a retry names the same " +
                 noun,
             id, ParseId);
  }
  void DefineWorkOptions(OptionList& list) {
    list.Add(OptionForm::kValue, "kind", "KIND",
             "kind of work, as named in the contract", kind, ParseId);
    list.Add(OptionForm::kValue, "payload", "TEXT", "payload for the worker",
             payload);
    list.Add(OptionForm::kValue, "payload-file", "FILE",
             "file that holds the payload for the worker", payload_file);
    access.DefineOptions(Role::kCaller, list);
  }
};

// Reads the payload if it is in a file.
// @return the body of the submission.
ResultOrExit<std::string> EncodeSubmissionBody(
    const WorkArguments& work, std::optional<Duration> deadline,
    const CliEnvironment& environment) {
  if (work.kind.empty()) {
    return tl::unexpected(
        ReportBadInput(environment,
                       "the kind of work is missing; write --kind KIND with a "
                       "kind that the contract names"));
  }
  if (!work.payload.empty() && !work.payload_file.empty()) {
    return tl::unexpected(ReportBadInput(
        environment,
        "--payload and --payload-file are both given; write one of them"));
  }
  std::string payload = work.payload;
  if (!work.payload_file.empty()) {
    auto content = ReadInputFile(work.payload_file, environment);
    if (!content) return tl::unexpected(content.error());
    payload = *std::move(content);
  }
  return EncodeSubmission(work.id, work.kind, payload, deadline);
}

struct SubmitArguments : WorkArguments {
  OptionList DefineOptions() {
    OptionList list;
    DefineIdOption("task", list);
    DefineWorkOptions(list);
    return list;
  }
};

ExitCode SubmitTask(const SubmitArguments& arguments,
                    const CliEnvironment& environment) {
  const auto body = EncodeSubmissionBody(arguments, std::nullopt, environment);
  if (!body) return body.error();
  return CallAndPrint(
      arguments.access,
      {.method = "POST",
       .path = "/v1/tasks",
       .body = *body,
       .no_response_hint =
           "The task may have been accepted. Run the same command "
           "again: a task with the same id is accepted only once."},
      environment);
}

struct TaskArguments {
  std::string id;
  AccessArguments access;

  OptionList DefineOptions() {
    OptionList list;
    list.Add(OptionForm::kPositional, "id", "ID", "the task's id", id, ParseId);
    access.DefineOptions(Role::kCaller, list);
    return list;
  }
};

struct ShowArguments : TaskArguments {
  Duration wait{0};

  OptionList DefineOptions() {
    OptionList list = TaskArguments::DefineOptions();
    list.Add(
        OptionForm::kValue, "wait", "TIME",
        "time to wait for the task to end, for example 30s", wait,
        [](std::string_view text) { return ParseDuration(text, kWaitRange); });
    return list;
  }
};

ExitCode ShowTask(const ShowArguments& arguments,
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
                       .no_response_hint = {},
                       .wait = arguments.wait},
                      environment);
}

ExitCode CancelTask(const TaskArguments& arguments,
                    const CliEnvironment& environment) {
  return CallAndPrint(
      arguments.access,
      {.method = "DELETE",
       .path = "/v1/tasks/" + arguments.id,
       .body = {},
       .no_response_hint =
           "The cancellation may have been accepted. Run the same "
           "command again; repeating it is harmless."},
      environment);
}

struct ListArguments {
  AccessArguments access;

  OptionList DefineOptions() {
    OptionList list;
    access.DefineOptions(Role::kCaller, list);
    return list;
  }
};

ExitCode ListTasks(const ListArguments& arguments,
                   const CliEnvironment& environment) {
  const auto session =
      Session::Open(Role::kCaller, arguments.access, environment);
  if (!session) return session.error();
  const auto body = session->SendForBody({.method = "GET",
                                          .path = "/v1/tasks",
                                          .body = {},
                                          .no_response_hint = {}});
  if (!body) return body.error();
  const auto tasks = DecodeTasks(*body);
  if (!tasks) return session->ReportUndecodable(tasks.error());
  if (tasks->empty()) environment.out << "There are no tasks.\n";
  for (const WorkState& task : *tasks) {
    environment.out << task.id << "  " << task.status << "  was_run "
                    << task.was_run << "\n";
  }
  return ExitCode::kOk;
}

struct RequestArguments : WorkArguments {
  std::optional<Duration> deadline;
  bool show = false;

  OptionList DefineOptions() {
    OptionList list;
    DefineIdOption("request", list);
    list.AddFlag("show",
                 "prints the outcome of an earlier request instead of sending "
                 "a new one",
                 show);
    list.Add(OptionForm::kValue, "deadline", "TIME",
             "time until the response, for example 200ms (default: that of the "
             "contract)",
             deadline, [](std::string_view text) {
               return ParseDuration(text, kDeadlineRange);
             });
    DefineWorkOptions(list);
    return list;
  }
};

ExitCode SendRequest(const RequestArguments& arguments,
                     const CliEnvironment& environment) {
  if (arguments.show) {
    return CallAndPrint(arguments.access,
                        {.method = "GET",
                         .path = "/v1/requests/" + arguments.id,
                         .body = {},
                         .no_response_hint = {}},
                        environment);
  }
  const auto body =
      EncodeSubmissionBody(arguments, arguments.deadline, environment);
  if (!body) return body.error();
  return CallAndPrint(
      arguments.access,
      {.method = "POST",
       .path = "/v1/requests",
       .body = *body,
       .no_response_hint =
           "The request may have been run. Ask for its outcome with:\n"
           "  gypsumfall request " +
           arguments.id + " --show",
       .wait = arguments.deadline.value_or(Duration(0))},
      environment);
}

}  // namespace

std::vector<Command> WorkCommands() {
  return {
      MakeCommand("task submit", "submits a task, which is stored durably",
                  SubmitTask),
      MakeCommand("task show", "prints the state of a task", ShowTask),
      MakeCommand("task cancel", "cancels a task", CancelTask),
      MakeCommand("task list", "lists the customer's tasks", ListTasks),
      MakeCommand("request", "sends a request and prints its outcome",
                  SendRequest),
  };
}

}  // namespace gypsumfall
