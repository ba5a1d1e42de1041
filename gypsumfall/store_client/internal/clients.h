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

struct PlatformEndpoint {
  /// "ip:port" of the service.
  std::string endpoint;
  /// Key that the service asks for; empty for none.
  std::string key = {};
  /// Longest time of one try.
  Duration timeout = seconds(2);
  RetryOptions retries = {};
};

/// Outcome of a call: a reply, or what is known about its effect.
template <typename Reply>
struct PlatformResult {
  std::optional<Reply> reply = {};
  /// True if there is no reply and the call had no effect. False without a
  /// reply means that the effect is unknown.
  bool certainly_not_applied = false;
  /// Why there is no reply; for logs.
  std::string detail = {};
};

template <typename Reply>
using PlatformDone = UniqueFunction<PlatformResult<Reply>>;

namespace platform_internal {
class Caller;
}  // namespace platform_internal

/// Client of the transactional table service. Callbacks of calls that are open
/// when a client is destroyed are still called.
class TableClient {
 public:
  /// @param pool must outlive the open calls.
  TableClient(boost::asio::io_context& io, ClientPool& pool,
              const PlatformEndpoint& endpoint);

  void Transact(const TransactCall& call, PlatformDone<TransactReply> done);
  void Read(const ReadCall& call, PlatformDone<RowsReply> done);
  void Scan(const ScanCall& call, PlatformDone<RowsReply> done);

 private:
  std::shared_ptr<platform_internal::Caller> caller_;
};

/// Client of the object store.
class ObjectClient {
 public:
  ObjectClient(boost::asio::io_context& io, ClientPool& pool,
               const PlatformEndpoint& endpoint);

  /// Replaces an object; the reply is true.
  void Put(const std::string& name, std::string bytes, PlatformDone<bool> done);
  /// The reply holds nothing if there is no such object.
  void Get(const std::string& name,
           PlatformDone<std::optional<std::string>> done);
  /// Removes an object if it is there; the reply is true.
  void Delete(const std::string& name, PlatformDone<bool> done);

 private:
  std::shared_ptr<platform_internal::Caller> caller_;
};

/// Client of the host list.
class HostListClient {
 public:
  HostListClient(boost::asio::io_context& io, ClientPool& pool,
                 const PlatformEndpoint& endpoint);

  void List(PlatformDone<HostListReply> done);

 private:
  std::shared_ptr<platform_internal::Caller> caller_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_STORE_CLIENT_INTERNAL_CLIENTS_H_
