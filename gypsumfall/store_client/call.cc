#include "gypsumfall/store_client/internal/call.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <utility>

namespace gypsumfall::platform_internal {
namespace {

constexpr int kOk = 200;

bool IsFinal(int status) {
  const bool client_error =
      status >= 400 && status < 500 &&
      status != ErrorTableEntryFor(ErrorKind::kOverLimit).http_status;
  return status == kOk || client_error;
}

}  // namespace

RawResult Classify(CallOutcome outcome) {
  RawResult result;
  if (outcome.failure) {
    result.certainly_not_applied = outcome.certainly_not_sent;
    result.detail = CallFailureName(*outcome.failure);
    return result;
  }
  result.status = outcome.status;
  result.body = std::move(outcome.body);
  if (result.status == kOk) return result;
  result.detail = "status " + std::to_string(result.status);
  const bool rejected = result.status >= 400 && result.status < 500;
  result.certainly_not_applied =
      rejected || WasRunOfError(result.body) == WasRun::kNo;
  return result;
}

ServiceCaller::ServiceCaller(boost::asio::io_context& io, ClientPool& pool,
                             const PlatformEndpoint& endpoint)
    : io_(io), pool_(pool), endpoint_(endpoint), budget_(endpoint.retries) {}

void ServiceCaller::Send(HttpCall call, RawCallback done) {
  call.bearer = endpoint_.key;
  pool_.Call(endpoint_.endpoint, std::move(call), endpoint_.timeout,
             [done = std::move(done)](CallOutcome outcome) mutable {
               done(Classify(std::move(outcome)));
             });
}

void ServiceCaller::Write(HttpCall call, RawCallback done) {
  Send(std::move(call), std::move(done));
}

void ServiceCaller::Read(HttpCall call, RawCallback done) {
  budget_.OnCall();
  AttemptRead(std::make_shared<HttpCall>(std::move(call)), std::move(done), 1);
}

void ServiceCaller::AttemptRead(std::shared_ptr<HttpCall> call,
                                RawCallback done, int attempts) {
  HttpCall copy = *call;
  Send(std::move(copy),
       [self = shared_from_this(), call = std::move(call),
        done = std::move(done), attempts](RawResult result) mutable {
         if (IsFinal(result.status) || !self->budget_.TryAcquire(attempts)) {
           done(std::move(result));
         } else {
           self->RetryLater(std::move(call), std::move(done), attempts);
         }
       });
}

void ServiceCaller::RetryLater(std::shared_ptr<HttpCall> call, RawCallback done,
                               int attempts) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      io_, budget_.Backoff(attempts));
  timer->async_wait([self = shared_from_this(), timer, call = std::move(call),
                     done = std::move(done),
                     attempts](const boost::system::error_code&) mutable {
    self->AttemptRead(std::move(call), std::move(done), attempts + 1);
  });
}

}  // namespace gypsumfall::platform_internal
