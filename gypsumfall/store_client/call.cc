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
  const bool faulty_call =
      status >= 400 && status < 500 &&
      status != AnswerFor(ErrorKind::kOverLimit).http_status;
  return status == kOk || faulty_call;
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
  const bool refused = result.status >= 400 && result.status < 500;
  result.certainly_not_applied =
      refused || WasRunOfError(result.body) == WasRun::kNo;
  return result;
}

Caller::Caller(boost::asio::io_context& io, ClientPool& pool,
               const PlatformEndpoint& endpoint)
    : io_(io), pool_(pool), endpoint_(endpoint), budget_(endpoint.retries) {}

void Caller::Send(HttpCall call, RawDone done) {
  call.bearer = endpoint_.key;
  pool_.Call(endpoint_.endpoint, std::move(call), endpoint_.timeout,
             [done = std::move(done)](CallOutcome outcome) mutable {
               done(Classify(std::move(outcome)));
             });
}

void Caller::Write(HttpCall call, RawDone done) {
  Send(std::move(call), std::move(done));
}

void Caller::Read(HttpCall call, RawDone done) {
  budget_.OnCall();
  TryRead(std::make_shared<HttpCall>(std::move(call)), std::move(done), 1);
}

void Caller::TryRead(std::shared_ptr<HttpCall> call, RawDone done, int tries) {
  HttpCall copy = *call;
  Send(std::move(copy),
       [self = shared_from_this(), call = std::move(call),
        done = std::move(done), tries](RawResult result) mutable {
         if (IsFinal(result.status) || !self->budget_.TryTake(tries)) {
           done(std::move(result));
         } else {
           self->RetryLater(std::move(call), std::move(done), tries);
         }
       });
}

void Caller::RetryLater(std::shared_ptr<HttpCall> call, RawDone done,
                        int tries) {
  auto timer =
      std::make_shared<boost::asio::steady_timer>(io_, budget_.Delay(tries));
  timer->async_wait([self = shared_from_this(), timer, call = std::move(call),
                     done = std::move(done),
                     tries](const boost::system::error_code&) mutable {
    self->TryRead(std::move(call), std::move(done), tries + 1);
  });
}

}  // namespace gypsumfall::platform_internal
