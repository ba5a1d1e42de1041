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

constexpr std::size_t kDecisionsKept = 10'000;

// Time between reporting unhealthy and refusing new work, so that the balancer
// and the peers send elsewhere before anything is refused.
constexpr Duration kDrainNotice = seconds(2);

ClientOptions ClientOptionsFrom() {
  ClientOptions options;
  // A worker accepts 60 connections over all entry hosts; its owner uses at
  // most 48, which leaves room for a new owner's attach.
  options.max_connections_per_endpoint = 48;
  options.max_queued_per_endpoint = 1024;
  return options;
}

/// The process: services, signals and the order of a planned stop.
class EntryHost {
 public:
  explicit EntryHost(const EntrySettings& settings)
      : log_("entry"),
        runtime_(io_),
        clients_(io_, ClientOptionsFrom()),
        decisions_(kDecisionsKept),
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
    Connect();
    const Result<void> started = kernel_.Start();
    if (!started) {
      log_.Error("could not start", {{"why", started.error().detail}});
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

  // Joins services whose events concern each other.
  void Connect() {
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
    workers->on_reports = [this](int partition, const WorkerReports& reports) {
      DeliverReports(partition, reports);
    };
  }

  void DeliverReports(int partition, const WorkerReports& reports) {
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
    // A lost push is made up for by the answer to the next renewal.
    clients_.Call(members->AddressOf(*owner), std::move(call), seconds(1),
                  [](const CallOutcome&) {});
  }

  void AwaitSignal() {
    signals_.async_wait(
        [this](const boost::system::error_code& failed, int signal) {
          if (failed) return;
          if (signal == SIGUSR1) {
            std::cerr << kernel_.Dump() << std::flush;
          } else if (stopping_) {
            ReportWaiting();
          } else {
            BeginStop();
          }
          AwaitSignal();
        });
  }

  void BeginStop() {
    stopping_ = true;
    log_.Info("planned stop begins");
    Find<ApiService>(kApiService)->SetUnhealthy();
    Find<MembershipService>(kMembershipService)->Leave();
    drain_ = std::make_unique<Timer>(runtime_, [this] { StopServices(); });
    drain_->NotAfter(runtime_.Now() + kDrainNotice);
  }

  void StopServices() {
    for (TaskPartition* partition :
         Find<TaskService>(kTaskService)->Running()) {
      partition->EndPolls();
    }
    kernel_.Stop([this] {
      log_.Info("planned stop is complete");
      io_.stop();
    });
  }

  void ReportWaiting() {
    for (const ServiceStatus& status : kernel_.Statuses()) {
      if (status.state == ServiceState::kStopped) continue;
      log_.Info("the stop waits", {{"service", status.name},
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
  std::unique_ptr<Timer> drain_;
  bool stopping_ = false;
};

}  // namespace

int RunEntryHost(const EntrySettings& settings) {
  SetUpLogging({.level = settings.logging.level});
  EntryHost host(settings);
  return host.Run();
}

}  // namespace gypsumfall
