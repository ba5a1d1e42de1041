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
  /// Any other method.
  kOther,
};

/// Names and values of headers, in the order of sending.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// A request that a server has received.
struct HttpRequest {
  HttpMethod method = HttpMethod::kOther;
  /// Path without the query, still percent-encoded.
  std::string path = {};
  /// Query without the '?', still percent-encoded; empty if none.
  std::string query = {};
  /// Key of "Authorization: Bearer <key>"; empty if none.
  std::string bearer = {};
  /// Value of "X-Customer"; empty if none.
  std::string customer = {};
  /// Value of "Host"; empty if none.
  std::string host = {};
  /// All headers whose name begins with "X-".
  HeaderList extensions = {};
  std::string body = {};

  /// @param name name of an extension header; case-insensitive.
  /// @return its value, or an empty text if it is absent.
  std::string_view Extension(std::string_view name) const;
  /// @param name name of a query parameter.
  /// @return its decoded value, or nullopt if it is absent or its value is
  ///   malformed.
  std::optional<std::string> QueryValue(std::string_view name) const;
};

/// A response that a server sends.
struct HttpResponse {
  int status = 200;
  std::string body = {};
  std::string_view content_type = "application/json";
  /// Sent as "Retry-After", rounded up to whole seconds.
  std::optional<Duration> retry_after = {};
};

/// A request that a client sends.
struct HttpCall {
  HttpMethod method = HttpMethod::kPost;
  /// Percent-encoded path and query.
  std::string path = {};
  /// Sent as "Authorization: Bearer <key>" unless empty.
  std::string bearer = {};
  /// Sent as "X-Customer" unless empty.
  std::string customer = {};
  /// Additional headers.
  HeaderList headers = {};
  std::string body = {};
  std::string_view content_type = "application/json";
};

/// @return the response to a failed call, with the status, `was_run` and
/// message of the error table. The detail of the occurrence is appended to the
/// message.
HttpResponse ErrorResponse(const Error& error);
/// @return the response for an error of this kind with this detail.
HttpResponse ErrorResponse(ErrorKind kind, std::string_view detail);
/// @param was_run replaces the value of the table if it is known whether this
///   work was run.
HttpResponse ErrorResponse(const Error& error, WasRun was_run);

/// @return the text with every byte except [A-Za-z0-9._~-] percent-encoded.
std::string PercentEncode(std::string_view text);
/// @return the decoded text, or nullopt if an escape sequence is malformed.
std::optional<std::string> PercentDecode(std::string_view text);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_HTTP_INTERNAL_MESSAGES_H_
