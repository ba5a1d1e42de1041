#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "gypsumfall/store_client/internal/call.h"
#include "gypsumfall/store_client/store_client.h"

namespace gypsumfall {
namespace {

using platform_internal::Caller;
using platform_internal::RawDone;
using platform_internal::RawResult;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr char kObjectsPath[] = "/v1/objects/";

template <typename Reply>
PlatformResult<Reply> WithoutReply(const RawResult& raw) {
  return {.certainly_not_applied = raw.certainly_not_applied,
          .detail = raw.detail};
}

// Decodes the reply. A reply that can not be decoded says nothing about the
// effect.
template <typename Reply>
RawDone Decoding(PlatformDone<Reply> done) {
  return [done = std::move(done)](RawResult raw) mutable {
    if (raw.status != kOk) {
      done(WithoutReply<Reply>(raw));
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

RawDone Confirming(PlatformDone<bool> done) {
  return [done = std::move(done)](const RawResult& raw) mutable {
    if (raw.status == kOk) {
      done({.reply = true});
    } else {
      done(WithoutReply<bool>(raw));
    }
  };
}

HttpCall Post(const char* path, std::string body) {
  return {.method = HttpMethod::kPost, .path = path, .body = std::move(body)};
}

HttpCall OfObject(HttpMethod method, const std::string& name) {
  return {.method = method, .path = kObjectsPath + PercentEncode(name)};
}

}  // namespace

TableClient::TableClient(boost::asio::io_context& io, ClientPool& pool,
                         const PlatformEndpoint& endpoint)
    : caller_(std::make_shared<Caller>(io, pool, endpoint)) {}

void TableClient::Transact(const TransactCall& call,
                           PlatformDone<TransactReply> done) {
  caller_->Write(Post("/v1/transact", Encode(call)),
                 Decoding<TransactReply>(std::move(done)));
}

void TableClient::Read(const ReadCall& call, PlatformDone<RowsReply> done) {
  caller_->Read(Post("/v1/read", Encode(call)),
                Decoding<RowsReply>(std::move(done)));
}

void TableClient::Scan(const ScanCall& call, PlatformDone<RowsReply> done) {
  caller_->Read(Post("/v1/scan", Encode(call)),
                Decoding<RowsReply>(std::move(done)));
}

ObjectClient::ObjectClient(boost::asio::io_context& io, ClientPool& pool,
                           const PlatformEndpoint& endpoint)
    : caller_(std::make_shared<Caller>(io, pool, endpoint)) {}

void ObjectClient::Put(const std::string& name, std::string bytes,
                       PlatformDone<bool> done) {
  HttpCall call = OfObject(HttpMethod::kPut, name);
  call.body = std::move(bytes);
  caller_->Write(std::move(call), Confirming(std::move(done)));
}

void ObjectClient::Get(const std::string& name,
                       PlatformDone<std::optional<std::string>> done) {
  caller_->Read(OfObject(HttpMethod::kGet, name),
                [done = std::move(done)](RawResult raw) mutable {
                  using Object = std::optional<std::string>;
                  if (raw.status == kOk) {
                    done({.reply = Object(std::move(raw.body))});
                  } else if (raw.status == kNotFound) {
                    done({.reply = std::optional<Object>(std::in_place)});
                  } else {
                    done(WithoutReply<Object>(raw));
                  }
                });
}

void ObjectClient::Delete(const std::string& name, PlatformDone<bool> done) {
  caller_->Write(OfObject(HttpMethod::kDelete, name),
                 Confirming(std::move(done)));
}

HostListClient::HostListClient(boost::asio::io_context& io, ClientPool& pool,
                               const PlatformEndpoint& endpoint)
    : caller_(std::make_shared<Caller>(io, pool, endpoint)) {}

void HostListClient::List(PlatformDone<HostListReply> done) {
  caller_->Read({.method = HttpMethod::kGet, .path = "/v1/hosts"},
                Decoding<HostListReply>(std::move(done)));
}

}  // namespace gypsumfall
