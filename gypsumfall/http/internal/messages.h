#ifndef GYPSUMFALL_HTTP_INTERNAL_MESSAGES_H_
#define GYPSUMFALL_HTTP_INTERNAL_MESSAGES_H_

#include <optional>
#include <string>
#include <string_view>

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
  std::string body = {};

  /// @param name name of a query parameter.
  /// @return its decoded value, or nothing if it is absent.
  std::optional<std::string> QueryValue(std::string_view name) const;
};

struct HttpResponse {
  int status = 200;
  std::string body = {};
  std::string_view content_type = "application/json";
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
  std::string body = {};
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
