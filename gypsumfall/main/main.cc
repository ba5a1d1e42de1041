// The gypsumfall binary: connects the command line to HTTP, files and the
// environment, and runs an entry host or a scheduling host.

#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "gypsumfall/cli/cli.h"
#include "gypsumfall/entry/entry.h"
#include "gypsumfall/http/http.h"
#include "gypsumfall/scheduler/scheduler.h"
#include "platform/platform.h"

namespace gypsumfall {
namespace {

HttpMethod ToHttpMethod(const std::string& name) {
  if (name == "GET") return HttpMethod::kGet;
  if (name == "PUT") return HttpMethod::kPut;
  if (name == "DELETE") return HttpMethod::kDelete;
  return HttpMethod::kPost;
}

HttpCall ToHttpCall(const CliCall& call) {
  constexpr std::string_view kBearer = "Bearer ";
  HttpCall http{.method = ToHttpMethod(call.method),
                .path = call.path,
                .body = call.body};
  for (const HttpHeader& header : call.headers) {
    if (header.name == "Authorization" && header.value.starts_with(kBearer)) {
      http.bearer = header.value.substr(kBearer.size());
    } else if (header.name == "X-Customer") {
      http.customer = header.value;
    }
  }
  return http;
}

Result<CliResponse> SendOverHttp(const CliCall& call) {
  boost::asio::io_context io(1);
  ClientPool clients(io, ClientOptions{});
  Result<CliResponse> answer = Fail(ErrorKind::kInternal, "no outcome");
  clients.Call(
      call.server.ToString(), ToHttpCall(call), call.timeout,
      [&](CallOutcome outcome) {
        if (!outcome.failure) {
          answer = CliResponse{outcome.status, std::move(outcome.body)};
        } else {
          answer =
              Fail(outcome.certainly_not_sent ? ErrorKind::kOwnerUnavailable
                                              : ErrorKind::kOutcomeUnknown,
                   std::string(CallFailureName(*outcome.failure)));
        }
        io.stop();
      });
  io.run();
  return answer;
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file.is_open()) {
    return Fail(ErrorKind::kBadRequest, "cannot open " + path);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return std::move(text).str();
}

std::optional<std::string> ReadEnvironmentVariable(const std::string& name) {
  const char* value = std::getenv(name.c_str());
  if (value == nullptr) return std::nullopt;
  return std::string(value);
}

ExitCode ServeEntryHost(const EntrySettings& settings) {
  return static_cast<ExitCode>(RunEntryHost(settings));
}

ExitCode ServeScheduler(const SchedulerSettings& settings,
                        const ReloadSettings& reload) {
  return static_cast<ExitCode>(
      RunScheduler(settings, reload, [&settings](boost::asio::io_context& io) {
        return MakePlatformPorts(io, settings);
      }));
}

int Main(int argc, char** argv) {
  CliEnvironment environment{.call = SendOverHttp,
                             .read_file = ReadFile,
                             .environment_variable = ReadEnvironmentVariable,
                             .run_entry_host = ServeEntryHost,
                             .run_scheduling_host = ServeScheduler,
                             .in = std::cin,
                             .out = std::cout,
                             .err = std::cerr};
  return static_cast<int>(RunCli({argv + 1, argv + argc}, environment));
}

}  // namespace
}  // namespace gypsumfall

int main(int argc, char** argv) {
  try {
    return gypsumfall::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "gypsumfall: " << error.what() << "\n";
    return EXIT_FAILURE;
  }
}
