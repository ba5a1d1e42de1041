#ifndef GYPSUMFALL_STORE_CLIENT_INTERNAL_CLIENTS_H_
#define GYPSUMFALL_STORE_CLIENT_INTERNAL_CLIENTS_H_

#include <memory>
#include <optional>
#include <string>

#include "gypsumfall/base/base.h"
#include "gypsumfall/http/http.h"
#include "gypsumfall/protocol/protocol.h"
#include "gypsumfall/store_client/internal/retry_budget.h"

namespace gypsumfall {

/// Address and call options of one platform service.
struct PlatformEndpoint {
  /// "ip:port" of the service.
  std::string endpoint;
  /// Bearer token sent with each call; empty if the service requires none.
  std::string key = {};
  /// Timeout of one attempt.
  Duration timeout = seconds(2);
  RetryOptions retries = {};
};

/// Outcome of a call: a reply, or whether the call may have been applied.
template <typename Reply>
struct PlatformResult {
  std::optional<Reply> reply = {};
  /// True if there is no reply and the call was not applied. If false and there
  /// is no reply, the call may have been applied.
  bool certainly_not_applied = false;
  /// Reason for the missing reply; for logs.
  std::string detail = {};
};

template <typename Reply>
using PlatformCallback = UniqueFunction<PlatformResult<Reply>>;

namespace platform_internal {
class ServiceCaller;
}  // namespace platform_internal

/// Client of the transactional table service. Callbacks of calls that are in
/// flight when the client is destroyed still run.
class TableClient {
 public:
  /// @param pool must outlive the calls in flight.
  TableClient(boost::asio::io_context& io, ClientPool& pool,
              const PlatformEndpoint& endpoint);

  void Transact(const TransactCall& call, PlatformCallback<TransactReply> done);
  void Read(const ReadCall& call, PlatformCallback<RowsReply> done);
  void Scan(const ScanCall& call, PlatformCallback<RowsReply> done);

 private:
  std::shared_ptr<platform_internal::ServiceCaller> service_;
};

/// Client of the object store.
class ObjectClient {
 public:
  ObjectClient(boost::asio::io_context& io, ClientPool& pool,
               const PlatformEndpoint& endpoint);

  /// Replaces an object; the reply is true.
  void Put(const std::string& name, std::string bytes,
           PlatformCallback<bool> done);
  /// Reads an object; the reply is nullopt if it does not exist.
  void Get(const std::string& name,
           PlatformCallback<std::optional<std::string>> done);
  /// Deletes an object if it exists; the reply is true.
  void Delete(const std::string& name, PlatformCallback<bool> done);

 private:
  std::shared_ptr<platform_internal::ServiceCaller> service_;
};

/// Client of the host list service.
class HostListClient {
 public:
  HostListClient(boost::asio::io_context& io, ClientPool& pool,
                 const PlatformEndpoint& endpoint);

  void List(PlatformCallback<HostListReply> done);

 private:
  std::shared_ptr<platform_internal::ServiceCaller> service_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_STORE_CLIENT_INTERNAL_CLIENTS_H_
