#ifndef GYPSUMFALL_ENTRY_INTERNAL_STORE_SERVICE_H_
#define GYPSUMFALL_ENTRY_INTERNAL_STORE_SERVICE_H_

#include <functional>
#include <string>
#include <utility>

#include "gypsumfall/entry/internal/context.h"
#include "gypsumfall/protocol/protocol.h"
#include "gypsumfall/store_client/store_client.h"

namespace gypsumfall {

/// @return the reply, or an error: `kStoreUnavailable` if the call certainly
/// had
///     no effect, else `kOutcomeUnknown`.
template <typename Reply>
Result<Reply> ToResult(PlatformResult<Reply> outcome) {
  if (outcome.reply) return *std::move(outcome.reply);
  return Fail(outcome.certainly_not_applied ? ErrorKind::kStoreUnavailable
                                            : ErrorKind::kOutcomeUnknown,
              std::move(outcome.detail));
}

/// Provides the clients of the platform's table service, object store and host
/// list.
class StoreService : public Service {
 public:
  explicit StoreService(const EntryContext& context);

  Result<void> Start() override { return {}; }
  void Stop(std::function<void()> stopped) override { stopped(); }
  std::string Dump() const override;

  TableClient& table() { return table_; }
  ObjectClient& objects() { return objects_; }
  HostListClient& host_list() { return host_list_; }

 private:
  TableClient table_;
  ObjectClient objects_;
  HostListClient host_list_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ENTRY_INTERNAL_STORE_SERVICE_H_
