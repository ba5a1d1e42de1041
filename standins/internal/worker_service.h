#ifndef STANDINS_INTERNAL_WORKER_SERVICE_H_
#define STANDINS_INTERNAL_WORKER_SERVICE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gypsumfall/http/http.h"
#include "standins/models.h"

namespace gypsumfall::standins {

/// Serves one worker model over HTTP.
class WorkerService {
 public:
  /// @param listen "ip:port"; the bound port is kept across worker restarts.
  /// @param key bearer key required of owners; empty to accept all calls.
  /// @param log records starts and ends of work; must outlive the service.
  WorkerService(boost::asio::io_context& io, WorkerModel model,
                std::string listen, std::string key, RunLog& log);

  /// @return the bound address, or the error if listening fails.
  Result<std::string> Start();

  /// Injects a fault, such as "pause", "die", "restart", "leave", "stay",
  /// "fail", "delay", "twice" or "reverse".
  /// @param request carries the parameters `ms` and `on`.
  /// @return false if the fault is unknown or a restarted worker cannot listen.
  bool InjectFault(const std::string& fault, const HttpRequest& request);

  /// @return counters as JSON.
  std::string Stats() const;
  WorkerModel& model() { return model_; }

 private:
  using Call = std::pair<HttpRequest, Responder>;

  void Handle(HttpRequest request, Responder respond);
  void Dispatch(const HttpRequest& request, Responder respond);
  void RunRequest(const HttpRequest& request, Responder respond);
  template <typename Message, typename Method>
  void Answer(const HttpRequest& request, Responder& respond, Method method);
  void Advance();
  void Schedule();
  void Crash();

  boost::asio::io_context& io_;
  WorkerModel model_;
  std::string listen_;
  std::string key_;
  RunLog& log_;
  std::unique_ptr<Server> server_;
  /// Calls received during a pause, dispatched when it ends.
  std::vector<Call> paused_calls_;
  std::map<ExchangeId, Responder> responders_;
  boost::asio::steady_timer timer_;
  std::optional<Time> timer_deadline_;
  std::size_t refused_connections_ = 0;
};

}  // namespace gypsumfall::standins

#endif  // STANDINS_INTERNAL_WORKER_SERVICE_H_
