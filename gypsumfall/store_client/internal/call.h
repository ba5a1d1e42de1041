#ifndef GYPSUMFALL_STORE_CLIENT_INTERNAL_CALL_H_
#define GYPSUMFALL_STORE_CLIENT_INTERNAL_CALL_H_

#include <memory>
#include <string>

#include "gypsumfall/store_client/store_client.h"

namespace gypsumfall::platform_internal {

/// What came of a call, before its body is decoded.
struct RawResult {
  /// HTTP status, or 0 if there was no response.
  int status = 0;
  std::string body = {};
  bool certainly_not_applied = false;
  std::string detail = {};
};

using RawDone = UniqueFunction<RawResult>;

/// Sends calls to one service and retries those that only read.
class Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(boost::asio::io_context& io, ClientPool& pool,
         const PlatformEndpoint& endpoint);

  /// Sends once.
  void Write(HttpCall call, RawDone done);
  /// Sends, and again while it fails and the budget allows.
  void Read(HttpCall call, RawDone done);

 private:
  void TryRead(std::shared_ptr<HttpCall> call, RawDone done, int tries);
  void RetryLater(std::shared_ptr<HttpCall> call, RawDone done, int tries);
  void Send(HttpCall call, RawDone done);

  boost::asio::io_context& io_;
  ClientPool& pool_;
  PlatformEndpoint endpoint_;
  RetryBudget budget_;
};

/// @return what a response or its lack says about the effect of the call.
RawResult Classify(CallOutcome outcome);

/// @param body body of an error response.
/// @return what it says about the effect; unknown if it says nothing.
WasRun WasRunOfError(const std::string& body);

}  // namespace gypsumfall::platform_internal

#endif  // GYPSUMFALL_STORE_CLIENT_INTERNAL_CALL_H_
