#ifndef GYPSUMFALL_PLATFORM_PLATFORM_H_
#define GYPSUMFALL_PLATFORM_PLATFORM_H_

/// @file
/// Clients of the platform's table service, object store and host list. They
/// send each call once; whether and when to repeat one is decided by the
/// caller, who knows what a repetition means.
///
/// Example:
/// @code
///   TableClient table(clients, "10.0.0.5:7000");
///   table.Transact(call, seconds(2), [](StoreOutcome<TransactReply> outcome) {
///     if (outcome.reply) return OnReply(*outcome.reply);
///     if (outcome.certainly_not_applied) return OnNotApplied();
///     OnUnknown();
///   });
/// @endcode

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "gypsumfall/base/base.h"
#include "gypsumfall/http/http.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

/// What became of one call to the platform.
template <typename Reply>
struct StoreOutcome {
  /// Set if the service answered.
  std::optional<Reply> reply;
  /// Without a reply: whether the call certainly had no effect.
  bool certainly_not_applied = false;
  /// Without a reply: what was seen.
  std::string failure;

  /// @return the reply, `kStoreUnavailable` if the call had no effect, or
  ///     `kOutcomeUnknown`.
  Result<Reply> ToResult() && {
    if (reply) return *std::move(reply);
    return Fail(certainly_not_applied ? ErrorKind::kStoreUnavailable
                                      : ErrorKind::kOutcomeUnknown,
                std::move(failure));
  }
};

template <typename Reply>
using StoreDone = std::function<void(StoreOutcome<Reply>)>;

/// Client of the transactional table service.
class TableClient {
 public:
  /// @param endpoint "ip:port" of the service.
  TableClient(ClientPool& clients, std::string endpoint)
      : clients_(clients), endpoint_(std::move(endpoint)) {}

  void Transact(const TransactCall& call, Duration timeout,
                StoreDone<TransactReply> done);
  void Read(const ReadCall& call, Duration timeout, StoreDone<RowsReply> done);
  void Scan(const ScanCall& call, Duration timeout, StoreDone<RowsReply> done);

 private:
  ClientPool& clients_;
  std::string endpoint_;
};

/// Client of the object store.
class ObjectClient {
 public:
  ObjectClient(ClientPool& clients, std::string endpoint)
      : clients_(clients), endpoint_(std::move(endpoint)) {}

  void Put(const std::string& name, const std::string& text, Duration timeout,
           StoreDone<bool> done);
  void Get(const std::string& name, Duration timeout,
           StoreDone<std::string> done);
  void Delete(const std::string& name, Duration timeout, StoreDone<bool> done);

 private:
  ClientPool& clients_;
  std::string endpoint_;
};

/// Client of the host list.
class HostListClient {
 public:
  HostListClient(ClientPool& clients, std::string endpoint)
      : clients_(clients), endpoint_(std::move(endpoint)) {}

  void List(Duration timeout, StoreDone<HostListReply> done);

 private:
  ClientPool& clients_;
  std::string endpoint_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_PLATFORM_PLATFORM_H_
