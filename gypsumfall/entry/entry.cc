#include "gypsumfall/entry/entry.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <memory>

#include "gypsumfall/entry/internal/api_service.h"
#include "gypsumfall/entry/internal/contract_service.h"
#include "gypsumfall/entry/internal/membership_service.h"
#include "gypsumfall/entry/internal/ownership_service.h"
#include "gypsumfall/entry/internal/request_service.h"
#include "gypsumfall/entry/internal/store_service.h"
#include "gypsumfall/entry/internal/task_service.h"
#include "gypsumfall/entry/internal/worker_service.h"

namespace gypsumfall {
namespace {

constexpr std::size_t kMaxDecisions = 10'000;

// Time between reporting unhealthy and refusing new work, so that the load
// balancer and the peers route around this host before it refuses anything.
constexpr Duration kDrainDelay = seconds(2);

ClientOptions MakeClientOptions() {
  ClientOptions options;
  // A worker accepts 60 connections from all entry hosts together; its owner
  // uses at most 48, so that a new owner can still connect to attach.
  options.max_connections_per_endpoint = 48;
  options.max_queued_per_endpoint = 1024;
  return options;
}

/// Owns the services of the process, handles signals and orders the graceful
/// shutdown.
class EntryHost {
 public:
  explicit EntryHost(const EntrySettings& settings)
      : log_("entry"),
        runtime_(io_),
        clients_(io_, MakeClientOptions()),
        decisions_(kMaxDecisions),
        context_{settings, runtime_, kernel_, clients_, metrics_, decisions_},
        signals_(io_, SIGTERM, SIGINT, SIGUSR1) {}

  int Run() {
    Register<StoreService>(kStoreService);
    Register<MembershipService>(kMembershipService);
    Register<OwnershipService>(kOwnershipService);
    Register<ContractService>(kContractService);
    Register<WorkerService>(kWorkerService);
    Register<TaskService>(kTaskService);
    Register<RequestService>(kRequestService);
    Register<ApiService>(kApiService);
    ConnectCallbacks();
    const Result<void> started = kernel_.Start();
    if (!started) {
      log_.Error("startup failed", {{"why", started.error().detail}});
      return 1;
    }
    AwaitSignal();
    io_.run();
    return 0;
  }

 private:
  template <typename T>
  void Register(const char* name) {
    kernel_.Register(name, std::make_unique<T>(context_));
  }

  template <typename T>
  T* Find(const char* name) {
    return kernel_.Find<T>(name);
  }

  // Connects the event callbacks of the services to the services that handle
  // them.
  void ConnectCallbacks() {
    auto* workers = Find<WorkerService>(kWorkerService);
    auto* tasks = Find<TaskService>(kTaskService);
    auto* requests = Find<RequestService>(kRequestService);
    Find<MembershipService>(kMembershipService)->on_change = [workers] {
      workers->OnMembershipChanged();
    };
    Find<ContractService>(kContractService)->on_applied =
        [tasks, requests](const Contract& contract) {
          tasks->SetLimits(contract);
          requests->SetLimits(contract);
        };
    workers->on_reports = [this](int partition,
                                 const WorkerAttemptReports& reports) {
      DeliverReports(partition, reports);
    };
  }

  void DeliverReports(int partition, const WorkerAttemptReports& reports) {
    auto* ownership = Find<OwnershipService>(kOwnershipService);
    const auto owner = ownership->OwnerOf(partition);
    if (!owner || *owner == context_.self()) {
      Find<TaskService>(kTaskService)->OnReports(partition, reports);
      return;
    }
    auto* members = Find<MembershipService>(kMembershipService);
    HttpCall call{
        .path = "/peer/v1/reports",
        .bearer = context_.settings.keys.peer_key.Reveal(),
        .body = Encode(AttemptsChanged{context_.self(), partition, reports})};
    // No retry: the answer to the next lease renewal carries the same reports.
    clients_.Call(members->AddressOf(*owner), std::move(call), seconds(1),
                  [](const CallOutcome&) {});
  }

  void AwaitSignal() {
    signals_.async_wait(
        [this](const boost::system::error_code& ec, int signal) {
          if (ec) return;
          if (signal == SIGUSR1) {
            std::cerr << kernel_.Dump() << std::flush;
          } else if (stopping_) {
            LogPendingServices();
          } else {
            BeginStop();
          }
          AwaitSignal();
        });
  }

  void BeginStop() {
    stopping_ = true;
    log_.Info("graceful shutdown started");
    Find<ApiService>(kApiService)->SetUnhealthy();
    Find<MembershipService>(kMembershipService)->Leave();
    drain_timer_ =
        std::make_unique<Timer>(runtime_, [this] { StopServices(); });
    drain_timer_->ScheduleNoLaterThan(runtime_.Now() + kDrainDelay);
  }

  void StopServices() {
    for (TaskPartition* partition :
         Find<TaskService>(kTaskService)->Running()) {
      partition->EndPolls();
    }
    kernel_.Stop([this] {
      log_.Info("graceful shutdown complete");
      io_.stop();
    });
  }

  void LogPendingServices() {
    for (const ServiceStatus& status : kernel_.Statuses()) {
      if (status.state == ServiceState::kStopped) continue;
      log_.Info("shutdown is waiting for a service",
                {{"service", status.name},
                 {"state", ServiceStateName(status.state)}});
    }
    std::cerr << kernel_.Dump() << std::flush;
  }

  boost::asio::io_context io_{1};
  Logger log_;
  Runtime runtime_;
  ClientPool clients_;
  Metrics metrics_;
  DecisionLog decisions_;
  Kernel kernel_;
  EntryContext context_;
  boost::asio::signal_set signals_;
  std::unique_ptr<Timer> drain_timer_;
  bool stopping_ = false;
};

}  // namespace

int RunEntryHost(const EntrySettings& settings) {
  SetUpLogging({.level = settings.logging.level});
  EntryHost host(settings);
  return host.Run();
}

}  // namespace gypsumfall
