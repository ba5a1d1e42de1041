// gypsumfall-standins: simulated platform and workers for tests and benchmarks.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

#include "standins/internal/kind_option.h"
#include "standins/internal/platform_service.h"
#include "standins/internal/worker_fleet.h"

namespace gypsumfall::standins {
namespace {

namespace po = boost::program_options;

constexpr int kUsageExit = 2;

// Runs until `max_seconds` have passed or SIGINT or SIGTERM arrives.
void Run(boost::asio::io_context& io, int max_seconds) {
  boost::asio::steady_timer end(io, std::chrono::seconds(max_seconds));
  end.async_wait([&](const boost::system::error_code&) { io.stop(); });
  boost::asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&](const boost::system::error_code&, int) { io.stop(); });
  io.run();
}

template <typename Service>
int Serve(boost::asio::io_context& io, Service& service, int max_seconds) {
  const Result<std::string> address = service.Start();
  if (!address) {
    std::cerr << address.error().detail << "\n";
    return kUsageExit;
  }
  std::cout << "listening on " << *address << std::endl;
  Run(io, max_seconds);
  return 0;
}

int RunPlatform(const po::variables_map& values, int max_seconds) {
  PlatformOptions options;
  options.listen = values["listen"].as<std::string>();
  options.table.rows_written_per_second = values["write-rate"].as<double>();
  options.table.reads_per_second = values["read-rate"].as<double>();
  options.host_list_lag = milliseconds(values["host-list-lag-ms"].as<int>());
  options.seed = values["seed"].as<std::uint64_t>();
  boost::asio::io_context io(1);
  PlatformService service(io, options);
  return Serve(io, service, max_seconds);
}

int RunWorkers(const po::variables_map& values, int max_seconds) {
  FleetOptions options;
  options.count = values["count"].as<int>();
  options.ip = values["ip"].as<std::string>();
  options.base_port = values["base-port"].as<std::uint16_t>();
  options.workers_per_rack = values["workers-per-rack"].as<int>();
  options.data_centres = values["data-centre"].as<std::vector<std::string>>();
  options.key = values["key"].as<std::string>();
  options.control = values["control"].as<std::string>();
  options.platform = values["platform"].as<std::string>();
  options.worker.capacity = {MilliCores(values["millicores"].as<int>()),
                             MebiBytes(values["memory-mib"].as<int>()),
                             Accelerators(values["accelerators"].as<int>())};
  options.worker.slots = values["slots"].as<int>();
  options.worker.connections = values["connections"].as<int>();
  options.worker.usage_lag = milliseconds(values["usage-lag-ms"].as<int>());
  std::string error;
  for (const auto& text : values["kind"].as<std::vector<std::string>>()) {
    if (error.empty()) error = AddKind(text, options.worker);
  }
  for (const auto& text : values["slowdown"].as<std::vector<std::string>>()) {
    if (error.empty()) error = AddSlowdown(text, options.worker);
  }
  if (options.count < 1 || options.workers_per_rack < 1) {
    error = "--count and --workers-per-rack must be at least 1";
  }
  if (!error.empty()) {
    std::cerr << error << "\n";
    return kUsageExit;
  }
  boost::asio::io_context io(1);
  WorkerFleet fleet(io, options);
  return Serve(io, fleet, max_seconds);
}

po::options_description Options() {
  using Texts = std::vector<std::string>;
  po::options_description options("gypsumfall-standins platform|workers");
  auto add = options.add_options();
  const auto text = [](const char* value) {
    return po::value<std::string>()->default_value(value);
  };
  const auto number = [](int value) {
    return po::value<int>()->default_value(value);
  };
  add("mode", po::value<std::string>(), "platform or workers");
  add("max-seconds", number(600), "exit after this time");
  add("listen", text("127.0.0.1:0"), "platform: ip:port");
  add("write-rate", po::value<double>()->default_value(400),
      "platform: rows written per second");
  add("read-rate", po::value<double>()->default_value(2000),
      "platform: keys read per second");
  add("host-list-lag-ms", number(5000), "platform: lag of the host list");
  add("seed", po::value<std::uint64_t>()->default_value(1),
      "platform: seed of faults by probability");
  add("count", number(1), "workers: number of workers");
  add("ip", text("127.0.0.1"), "workers: address to listen on");
  add("base-port", po::value<std::uint16_t>()->default_value(0),
      "workers: port of the first; 0 selects free ports");
  add("workers-per-rack", number(8), "workers: workers per rack");
  add("data-centre", po::value<Texts>()->default_value({"dc1"}, "dc1"),
      "workers: data centres that racks are spread over");
  add("key", text(""), "workers: key that owners must send");
  add("control", text("127.0.0.1:0"), "workers: ip:port of the control server");
  add("platform", text(""), "workers: ip:port to register with");
  add("millicores", number(30'000), "workers: processors");
  add("memory-mib", number(125'000), "workers: memory");
  add("accelerators", number(0), "workers: accelerators");
  add("slots", number(8), "workers: slots");
  add("connections", number(60), "workers: connections");
  add("usage-lag-ms", number(10'000), "workers: lag of usage reports");
  add("kind", po::value<Texts>()->default_value({}, ""),
      "workers: NAME:run_ms[:checkpoint_ms[:use_permille]]");
  add("slowdown", po::value<Texts>()->default_value({}, ""),
      "workers: KIND:NEIGHBOUR:permille added per neighbour");
  return options;
}

int Main(int argc, char** argv) {
  const po::options_description options = Options();
  po::positional_options_description positional;
  positional.add("mode", 1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(options)
                  .positional(positional)
                  .run(),
              values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n" << options;
    return kUsageExit;
  }
  const int max_seconds = values["max-seconds"].as<int>();
  const std::string mode =
      values.contains("mode") ? values["mode"].as<std::string>() : "";
  if (mode == "platform") return RunPlatform(values, max_seconds);
  if (mode == "workers") return RunWorkers(values, max_seconds);
  std::cerr << options;
  return kUsageExit;
}

}  // namespace
}  // namespace gypsumfall::standins

int main(int argc, char** argv) {
  return gypsumfall::standins::Main(argc, argv);
}
