#include "gypsumfall/scheduler/scheduler.h"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <random>
#include <string>

#include "gypsumfall/scheduler/internal/caller_service.h"
#include "gypsumfall/scheduler/internal/context.h"
#include "gypsumfall/scheduler/internal/health_service.h"
#include "gypsumfall/scheduler/internal/layout_service.h"
#include "gypsumfall/scheduler/internal/metrics_service.h"
#include "gypsumfall/scheduler/internal/peer_service.h"
#include "gypsumfall/scheduler/internal/shard_service.h"
#include "gypsumfall/scheduler/internal/topology_service.h"
#include "gypsumfall/scheduler/internal/transfer_service.h"
#include "gypsumfall/scheduler/internal/worker_list_service.h"

namespace gypsumfall {
namespace {

using namespace scheduler_internal;  // NOLINT(google-build-using-namespace)

// Time between the start of a shutdown and the end of request handling. Covers
// two failed health checks of the load balancer, which checks once a second,
// and the arrival of the last connection that it opened before.
constexpr Duration kDrainNotice = milliseconds(2300);

void ApplyLogging(const LoggingSettings& logging) {
  SetUpLogging(
      {.level = logging.level,
       .descriptor = STDOUT_FILENO,
       .max_lines_per_second = static_cast<int>(logging.max_lines_per_second)});
}

std::string MakeProcessId() {
  std::random_device random;
  return std::to_string(random()) + "-" + std::to_string(random());
}

/// Owns the services of the process, handles its signals and orders its
/// graceful shutdown.
class SchedulerHost {
 public:
  SchedulerHost(const SchedulerSettings& settings, const ReloadSettings& reload,
                const MakePorts& make_ports)
      : reload_(reload),
        runtime_(io_),
        peers_(io_, {}),
        ports_(make_ports(io_)),
        context_{settings, MakeProcessId(), runtime_, kernel_,
                 peers_,   metrics_,        ports_},
        signals_(io_, SIGTERM, SIGINT, SIGUSR1) {
    signals_.add(SIGHUP);
  }

  int Run() {
    Register<TopologyService>(kTopologyService);
    Register<LayoutService>(kLayoutService);
    Register<WorkerListService>(kWorkerListService);
    Register<ShardService>(kShardService);
    Register<PeerService>(kPeerService);
    Register<CallerService>(kCallerService);
    Register<TransferService>(kTransferService);
    Register<HealthService>(kHealthService);
    Register<MetricsService>(kMetricsService);
    const Result<void> started = kernel_.Start();
    if (!started) {
      log_.Error("startup failed", {{"why", started.error().detail}});
      return 1;
    }
    log_.Info("started", {{"host", context_.settings.host.id},
                          {"data_centre", context_.settings.host.data_centre},
                          {"process", context_.process}});
    AwaitSignal();
    io_.run();
    return 0;
  }

 private:
  template <typename T>
  void Register(const char* name) {
    kernel_.Register(name, std::make_unique<T>(context_));
  }

  void AwaitSignal() {
    signals_.async_wait(
        [this](const boost::system::error_code& wait_error, int signal) {
          if (wait_error) return;
          if (signal == SIGUSR1) {
            std::cerr << kernel_.Dump() << std::flush;
          } else if (signal == SIGHUP) {
            Reload();
          } else if (!stopping_) {
            BeginShutdown();
          }
          AwaitSignal();
        });
  }

  void Reload() {
    const std::optional<SchedulerSettings> settings = reload_();
    if (!settings) {
      log_.Error("settings not reloaded; the previous settings stay in effect");
      return;
    }
    ApplyLogging(settings->logging);
    log_.Info("settings reloaded",
              {{"log_level", LogLevelName(settings->logging.level)}});
  }

  void BeginShutdown() {
    stopping_ = true;
    log_.Info("graceful shutdown started");
    kernel_.Find<HealthService>(kHealthService)->SetStopping();
    kernel_.Find<ShardService>(kShardService)->Release();
    drain_timer_ = std::make_unique<Timer>(runtime_, [this] {
      kernel_.Stop([this] {
        log_.Info("graceful shutdown complete");
        io_.stop();
      });
    });
    drain_timer_->ScheduleNoLaterThan(runtime_.Now() + kDrainNotice);
  }

  const ReloadSettings& reload_;
  boost::asio::io_context io_{1};
  Logger log_{"scheduler"};
  Runtime runtime_;
  ClientPool peers_;
  Metrics metrics_;
  Kernel kernel_;
  SchedulerPorts ports_;
  Context context_;
  boost::asio::signal_set signals_;
  std::unique_ptr<Timer> drain_timer_;
  bool stopping_ = false;
};

}  // namespace

int RunScheduler(const SchedulerSettings& settings,
                 const ReloadSettings& reload, const MakePorts& make_ports) {
  // A write to a connection that the peer has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  ApplyLogging(settings.logging);
  SchedulerHost host(settings, reload, make_ports);
  return host.Run();
}

}  // namespace gypsumfall
