#ifndef GYPSUMFALL_HTTP_INTERNAL_MESSAGES_H_
#define GYPSUMFALL_HTTP_INTERNAL_MESSAGES_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

enum class HttpMethod {
  kGet,
  kPost,
  kPut,
  kDelete,
  /// Any method that this system does not use.
  kOther,
};

/// Names and values of headers, in the order in which they are sent.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// A request as a server hands it to its handler.
struct HttpRequest {
  HttpMethod method = HttpMethod::kOther;
  /// Path without the query, still percent-encoded.
  std::string path = {};
  /// Text after '?', still percent-encoded; empty if none.
  std::string query = {};
  /// Key of "Authorization: Bearer <key>"; empty if none.
  std::string bearer = {};
  /// Value of "X-Customer"; empty if none.
  std::string customer = {};
  /// Value of "Host"; empty if none.
  std::string host = {};
  /// All other headers whose name begins with "X-".
  HeaderList extensions = {};
  std::string body = {};

  /// @param name name of an extension header, in any case of letters.
  /// @return its value, or an empty text if it is absent.
  std::string_view Extension(std::string_view name) const;
  /// @param name name of a query parameter.
  /// @return its decoded value, or nothing if it is absent.
  std::optional<std::string> QueryValue(std::string_view name) const;
};

struct HttpResponse {
  int status = 200;
  std::string body = {};
  std::string_view content_type = "application/json";
  /// Sent as "Retry-After", rounded up to whole seconds.
  std::optional<Duration> retry_after = {};
};

/// A request as a client sends it.
struct HttpCall {
  HttpMethod method = HttpMethod::kPost;
  /// Percent-encoded path, with the query if there is one.
  std::string path = {};
  /// Sent as "Authorization: Bearer <key>" unless empty.
  std::string bearer = {};
  /// Sent as "X-Customer" unless empty.
  std::string customer = {};
  /// Further headers.
  HeaderList headers = {};
  std::string body = {};
  std::string_view content_type = "application/json";
};

/// @return the response to a failed call: status, `was_run` and text are those
/// of the error table, followed by the detail of this occurrence.
HttpResponse ErrorResponse(const Error& error);
/// @return the same for a kind and a detail.
HttpResponse ErrorResponse(ErrorKind kind, std::string_view detail);
/// @param was_run replaces the table's value, for answers about known work.
HttpResponse ErrorResponse(const Error& error, WasRun was_run);

/// @return the text with every byte other than [A-Za-z0-9._~-] encoded.
std::string PercentEncode(std::string_view text);
/// @return the decoded text, or nothing if an escape is malformed.
std::optional<std::string> PercentDecode(std::string_view text);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_HTTP_INTERNAL_MESSAGES_H_
