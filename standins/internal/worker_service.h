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
  /// @param listen "ip:port"; kept over restarts of the worker.
  /// @param key key that owners must send; empty to accept all.
  /// @param log is told what starts and ends.
  WorkerService(boost::asio::io_context& io, WorkerModel model,
                std::string listen, std::string key, RunLog& log);

  /// @return the address, or the reason why it can not be listened on.
  Result<std::string> Start();

  /// Carries out a fault, such as "pause", "die", "restart", "leave", "stay",
  /// "fail", "delay", "twice" or "reverse".
  /// @param request carries the parameters `ms` and `on`.
  /// @return whether there is such a fault.
  bool Inflict(const std::string& fault, const HttpRequest& request);

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
  void Die();

  boost::asio::io_context& io_;
  WorkerModel model_;
  std::string listen_;
  std::string key_;
  RunLog& log_;
  std::unique_ptr<Server> server_;
  /// Calls that arrived during a pause.
  std::vector<Call> waiting_;
  std::map<ExchangeId, Responder> running_;
  boost::asio::steady_timer timer_;
  std::optional<Time> armed_;
  std::size_t refused_connections_ = 0;
};

}  // namespace gypsumfall::standins

#endif  // STANDINS_INTERNAL_WORKER_SERVICE_H_
