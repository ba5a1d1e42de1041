#ifndef GYPSUMFALL_HTTP_INTERNAL_WIRE_H_
#define GYPSUMFALL_HTTP_INTERNAL_WIRE_H_

#include <boost/beast/http/verb.hpp>
#include <string>
#include <string_view>

#include "gypsumfall/http/http.h"

namespace gypsumfall::http_internal {

/// Connection handling and framing of a response.
struct ResponseFraming {
  /// Announces that the connection is closed after the response.
  bool close = false;
  /// Sends the header without the body, in response to a HEAD request.
  bool header_only = false;
};

/// Serializes a response to HTTP/1.1 and replaces `out` with it.
void WriteResponse(const HttpResponse& response, ResponseFraming framing,
                   std::string& out);

/// Serializes a request to HTTP/1.1 and replaces `out` with it.
void WriteRequest(const HttpCall& call, std::string_view host,
                  std::string& out);

/// @return whether method and path are valid and no path, header, key or
/// customer contains a character that ends a header line, which prevents header
/// injection.
bool IsSendable(const HttpCall& call);

/// @return the method for a verb of Boost.Beast.
HttpMethod ToHttpMethod(boost::beast::http::verb verb);

}  // namespace gypsumfall::http_internal

#endif  // GYPSUMFALL_HTTP_INTERNAL_WIRE_H_
