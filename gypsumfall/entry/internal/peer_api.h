#ifndef GYPSUMFALL_ENTRY_INTERNAL_PEER_API_H_
#define GYPSUMFALL_ENTRY_INTERNAL_PEER_API_H_

#include "gypsumfall/entry/internal/caller_api.h"
#include "gypsumfall/entry/internal/context.h"

namespace gypsumfall {

/// Serves the API that entry hosts call on each other.
class PeerApi {
 public:
  PeerApi(const EntryContext& context, CallerApi& callers)
      : context_(context), callers_(callers) {}

  /// Answers a call. The caller of this method has checked the peer key.
  void Handle(const HttpRequest& request, Responder respond);

 private:
  void OnHeartbeat(const std::string& body, Responder respond);
  void OnForwardedCall(const std::string& body, Responder respond);
  void OnForwardedRequest(const std::string& body, Responder respond);
  void OnAttempts(const std::string& body, Responder respond);
  void OnReports(const std::string& body, Responder respond);

  EntryContext context_;
  CallerApi& callers_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ENTRY_INTERNAL_PEER_API_H_
