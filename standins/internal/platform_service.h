#ifndef STANDINS_INTERNAL_PLATFORM_SERVICE_H_
#define STANDINS_INTERNAL_PLATFORM_SERVICE_H_

#include <memory>
#include <string>
#include <unordered_map>

#include "gypsumfall/http/http.h"
#include "standins/models.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace gypsumfall::standins {

/// Listen address, limits and fault seed of the simulated platform.
struct PlatformOptions {
  std::string listen = "127.0.0.1:0";
  TableOptions table = {};
  Duration host_list_lag = seconds(5);
  std::uint64_t seed = 1;
};

/// Serves the table service, the object store and the host list over HTTP as
/// specified in the design, plus these test endpoints:
///   POST /faults?fault=slow&op=transact&key_prefix=log/&probability=0.5&
///        count=3&delay_ms=50   adds a rule; see FaultRule
///   DELETE /faults             removes all rules
///   PUT /standin/hosts         adds or changes hosts of the host list
///   GET /standin/stats         counters
class PlatformService {
 public:
  PlatformService(boost::asio::io_context& io, const PlatformOptions& options);
  ~PlatformService();

  /// @return the bound address, or the error if listening fails.
  Result<std::string> Start();

  TableModel& table() { return table_; }
  ObjectModel& objects() { return objects_; }
  HostListModel& hosts() { return hosts_; }

 private:
  using Route = void (PlatformService::*)(const HttpRequest&, Responder);

  void Handle(const HttpRequest& request, Responder respond);
  void Transact(const HttpRequest& request, Responder respond);
  void Read(const HttpRequest& request, Responder respond);
  void Scan(const HttpRequest& request, Responder respond);
  void Hosts(const HttpRequest& request, Responder respond);
  void Object(const HttpRequest& request, Responder respond);
  void SetHosts(const HttpRequest& request, Responder respond);
  void SetFaults(const HttpRequest& request, Responder respond);
  void Stats(const HttpRequest& request, Responder respond);
  template <typename Reply, typename Body>
  void Respond(const Answer<Reply>& answer, Responder respond, Body body);
  void RespondAfter(Duration delay, HttpResponse response, Responder respond);

  boost::asio::io_context& io_;
  TableModel table_;
  ObjectModel objects_;
  HostListModel hosts_;
  Server server_;
};

}  // namespace gypsumfall::standins

#endif  // STANDINS_INTERNAL_PLATFORM_SERVICE_H_
