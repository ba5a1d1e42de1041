#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "gypsumfall/store_client/internal/call.h"
#include "gypsumfall/store_client/store_client.h"

namespace gypsumfall {
namespace {

using platform_internal::RawCallback;
using platform_internal::RawResult;
using platform_internal::ServiceCaller;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr char kObjectsPath[] = "/v1/objects/";

template <typename Reply>
PlatformResult<Reply> FailedResult(const RawResult& raw) {
  return {.certainly_not_applied = raw.certainly_not_applied,
          .detail = raw.detail};
}

// Returns a callback that decodes the reply. If the reply cannot be decoded,
// the call may have been applied.
template <typename Reply>
RawCallback DecodingCallback(PlatformCallback<Reply> done) {
  return [done = std::move(done)](RawResult raw) mutable {
    if (raw.status != kOk) {
      done(FailedResult<Reply>(raw));
      return;
    }
    Result<Reply> reply = Decode<Reply>(raw.body);
    if (reply) {
      done({.reply = *std::move(reply)});
    } else {
      done({.detail = "reply: " + reply.error().detail});
    }
  };
}

// Returns a callback for calls whose reply has no body.
RawCallback AckCallback(PlatformCallback<bool> done) {
  return [done = std::move(done)](const RawResult& raw) mutable {
    if (raw.status == kOk) {
      done({.reply = true});
    } else {
      done(FailedResult<bool>(raw));
    }
  };
}

HttpCall Post(const char* path, std::string body) {
  return {.method = HttpMethod::kPost, .path = path, .body = std::move(body)};
}

HttpCall ObjectCall(HttpMethod method, const std::string& name) {
  return {.method = method, .path = kObjectsPath + PercentEncode(name)};
}

}  // namespace

TableClient::TableClient(boost::asio::io_context& io, ClientPool& pool,
                         const PlatformEndpoint& endpoint)
    : service_(std::make_shared<ServiceCaller>(io, pool, endpoint)) {}

void TableClient::Transact(const TransactCall& call,
                           PlatformCallback<TransactReply> done) {
  service_->Write(Post("/v1/transact", Encode(call)),
                  DecodingCallback<TransactReply>(std::move(done)));
}

void TableClient::Read(const ReadCall& call, PlatformCallback<RowsReply> done) {
  service_->Read(Post("/v1/read", Encode(call)),
                 DecodingCallback<RowsReply>(std::move(done)));
}

void TableClient::Scan(const ScanCall& call, PlatformCallback<RowsReply> done) {
  service_->Read(Post("/v1/scan", Encode(call)),
                 DecodingCallback<RowsReply>(std::move(done)));
}

ObjectClient::ObjectClient(boost::asio::io_context& io, ClientPool& pool,
                           const PlatformEndpoint& endpoint)
    : service_(std::make_shared<ServiceCaller>(io, pool, endpoint)) {}

void ObjectClient::Put(const std::string& name, std::string bytes,
                       PlatformCallback<bool> done) {
  HttpCall call = ObjectCall(HttpMethod::kPut, name);
  call.body = std::move(bytes);
  service_->Write(std::move(call), AckCallback(std::move(done)));
}

void ObjectClient::Get(const std::string& name,
                       PlatformCallback<std::optional<std::string>> done) {
  service_->Read(ObjectCall(HttpMethod::kGet, name),
                 [done = std::move(done)](RawResult raw) mutable {
                   using Object = std::optional<std::string>;
                   if (raw.status == kOk) {
                     done({.reply = Object(std::move(raw.body))});
                   } else if (raw.status == kNotFound) {
                     done({.reply = std::optional<Object>(std::in_place)});
                   } else {
                     done(FailedResult<Object>(raw));
                   }
                 });
}

void ObjectClient::Delete(const std::string& name,
                          PlatformCallback<bool> done) {
  service_->Write(ObjectCall(HttpMethod::kDelete, name),
                  AckCallback(std::move(done)));
}

HostListClient::HostListClient(boost::asio::io_context& io, ClientPool& pool,
                               const PlatformEndpoint& endpoint)
    : service_(std::make_shared<ServiceCaller>(io, pool, endpoint)) {}

void HostListClient::List(PlatformCallback<HostListReply> done) {
  service_->Read({.method = HttpMethod::kGet, .path = "/v1/hosts"},
                 DecodingCallback<HostListReply>(std::move(done)));
}

}  // namespace gypsumfall
