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

struct FleetOptions {
  int count = 1;
  std::string ip = "127.0.0.1";
  /// The workers listen on this port and the following ones; 0 takes free
  /// ones.
  std::uint16_t base_port = 0;
  int workers_per_rack = 8;
  /// Racks are spread over these in turn.
  std::vector<std::string> data_centres = {"dc1"};
  WorkerOptions worker = {};
  std::string key = {};
  /// "ip:port" of the control server.
  std::string control = "127.0.0.1:0";
  /// "ip:port" of the platform that lists the hosts; empty for none.
  std::string platform = {};
};

/// Many workers in one process, each on its own port, and a control server:
///   POST /workers/{index|all}/{fault}?ms=&on=   see WorkerService::Inflict
///   GET /workers/{index|all}                    counters of workers
///   GET /stats                                  violations over all workers
class WorkerFleet {
 public:
  WorkerFleet(boost::asio::io_context& io, const FleetOptions& options);

  /// Listens, and registers the workers with the platform.
  /// @return the address of the control server.
  Result<std::string> Start();

  /// @return the hosts as the platform is told.
  const HostListReply& hosts() const { return hosts_; }

 private:
  void Control(const HttpRequest& request, Responder respond);
  bool Inflict(const std::string& which, const std::string& fault,
               const HttpRequest& request);
  std::vector<std::size_t> Chosen(const std::string& which) const;
  std::string Stats() const;
  std::string WorkerStats(const std::string& which) const;
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
