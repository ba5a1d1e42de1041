#ifndef STANDINS_INTERNAL_WORKER_FLEET_H_
#define STANDINS_INTERNAL_WORKER_FLEET_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "gypsumfall/http/http.h"
#include "standins/internal/worker_service.h"
#include "standins/models.h"

namespace gypsumfall::standins {

/// Number, addresses, topology and behaviour of the simulated workers.
struct FleetOptions {
  int count = 1;
  std::string ip = "127.0.0.1";
  /// Workers listen on consecutive ports from this one; 0 selects free ports.
  std::uint16_t base_port = 0;
  int workers_per_rack = 8;
  /// Racks are assigned to these round-robin.
  std::vector<std::string> data_centres = {"dc1"};
  WorkerOptions worker = {};
  std::string key = {};
  /// "ip:port" of the control server.
  std::string control = "127.0.0.1:0";
  /// "ip:port" of the platform to register the hosts with; empty for none.
  std::string platform = {};
};

/// Many workers in one process, each on its own port, and a control server:
///   POST /workers/{index|all}/{fault}?ms=&on=   see WorkerService::Inflict
///   GET /workers/{index|all}                    counters of workers
///   GET /stats                                  violations of all workers
class WorkerFleet {
 public:
  WorkerFleet(boost::asio::io_context& io, const FleetOptions& options);

  /// Starts all servers and registers the workers with the platform.
  /// @return the address of the control server.
  Result<std::string> Start();

  /// @return the hosts as registered with the platform.
  const HostListReply& hosts() const { return hosts_; }

 private:
  void HandleControl(const HttpRequest& request, Responder respond);
  bool InjectFault(const std::string& selector, const std::string& fault,
                   const HttpRequest& request);
  std::vector<std::size_t> SelectWorkers(const std::string& selector) const;
  std::string Stats() const;
  std::string WorkerStats(const std::string& selector) const;
  ListedHost HostOf(std::size_t index, const std::string& address) const;
  void Register();

  boost::asio::io_context& io_;
  FleetOptions options_;
  RunLog log_;
  std::vector<std::unique_ptr<WorkerService>> workers_;
  HostListReply hosts_;
  ClientPool pool_;
  Server control_;
  boost::asio::steady_timer register_retry_;
};

}  // namespace gypsumfall::standins

#endif  // STANDINS_INTERNAL_WORKER_FLEET_H_
