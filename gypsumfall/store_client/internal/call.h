#ifndef GYPSUMFALL_STORE_CLIENT_INTERNAL_CALL_H_
#define GYPSUMFALL_STORE_CLIENT_INTERNAL_CALL_H_

#include <memory>
#include <string>

#include "gypsumfall/store_client/store_client.h"

namespace gypsumfall::platform_internal {

/// Result of a call before its body is decoded.
struct RawResult {
  /// HTTP status, or 0 if there was no response.
  int status = 0;
  std::string body = {};
  bool certainly_not_applied = false;
  std::string detail = {};
};

using RawCallback = UniqueFunction<RawResult>;

/// Sends calls to one service and retries reads.
class ServiceCaller : public std::enable_shared_from_this<ServiceCaller> {
 public:
  ServiceCaller(boost::asio::io_context& io, ClientPool& pool,
                const PlatformEndpoint& endpoint);

  /// Sends the call once.
  void Write(HttpCall call, RawCallback done);
  /// Sends the call and retries it on failure while the budget permits.
  void Read(HttpCall call, RawCallback done);

 private:
  void AttemptRead(std::shared_ptr<HttpCall> call, RawCallback done,
                   int attempts);
  void RetryLater(std::shared_ptr<HttpCall> call, RawCallback done,
                  int attempts);
  void Send(HttpCall call, RawCallback done);

  boost::asio::io_context& io_;
  ClientPool& pool_;
  PlatformEndpoint endpoint_;
  RetryBudget budget_;
};

/// @return the result of a call, with `certainly_not_applied` derived from its
///     response or failure.
RawResult Classify(CallOutcome outcome);

/// @param body the body of an error response.
/// @return its `was_run` field, or `kUnknown` if it has no valid one.
WasRun WasRunOfError(const std::string& body);

}  // namespace gypsumfall::platform_internal

#endif  // GYPSUMFALL_STORE_CLIENT_INTERNAL_CALL_H_
