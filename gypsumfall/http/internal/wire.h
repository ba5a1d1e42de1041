#ifndef GYPSUMFALL_HTTP_INTERNAL_WIRE_H_
#define GYPSUMFALL_HTTP_INTERNAL_WIRE_H_

#include <boost/beast/http/verb.hpp>
#include <string>
#include <string_view>

#include "gypsumfall/http/http.h"

namespace gypsumfall::http_internal {

/// What to do with the connection and the body after a response.
struct ResponseFraming {
  bool close = false;
  /// The request was a HEAD: the header is sent without the body.
  bool header_only = false;
};

/// Replaces `out` with the response as sent.
void WriteResponse(const HttpResponse& response, ResponseFraming framing,
                   std::string& out);

/// Replaces `out` with the request as sent.
void WriteRequest(const HttpCall& call, std::string_view host,
                  std::string& out);

/// @return whether no part of the call could end a header line early.
bool IsSendable(const HttpCall& call);

/// @return the method of a parsed request.
HttpMethod MethodOf(boost::beast::http::verb verb);

}  // namespace gypsumfall::http_internal

#endif  // GYPSUMFALL_HTTP_INTERNAL_WIRE_H_
