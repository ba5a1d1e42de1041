#include "gypsumfall/http/internal/wire.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <string>
#include <string_view>

namespace gypsumfall::http_internal {
namespace {

namespace http = boost::beast::http;

void AppendNumber(std::string& out, std::size_t number) {
  std::array<char, 20> digits;
  const auto result =
      std::to_chars(digits.data(), digits.data() + digits.size(), number);
  out.append(digits.data(), result.ptr);
}

void AppendHeader(std::string& out, std::string_view name,
                  std::string_view value) {
  out += name;
  out += ": ";
  out += value;
  out += "\r\n";
}

void AppendBody(std::string& out, std::string_view body, bool header_only) {
  out += "Content-Length: ";
  AppendNumber(out, body.size());
  out += "\r\n\r\n";
  if (!header_only) out += body;
}

std::string_view MethodName(HttpMethod method) {
  switch (method) {
    case HttpMethod::kGet:
      return "GET";
    case HttpMethod::kPut:
      return "PUT";
    case HttpMethod::kDelete:
      return "DELETE";
    case HttpMethod::kPost:
    case HttpMethod::kOther:
      return "POST";
  }
  return "POST";
}

bool IsHeaderText(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char c) {
    return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
  });
}

}  // namespace

void WriteResponse(const HttpResponse& response, ResponseFraming framing,
                   std::string& out) {
  const auto reason =
      http::obsolete_reason(http::int_to_status(response.status));
  out = "HTTP/1.1 ";
  AppendNumber(out, static_cast<std::size_t>(response.status));
  out += ' ';
  out.append(reason.data(), reason.size());
  out += "\r\n";
  AppendHeader(out, "Content-Type", response.content_type);
  if (framing.close) AppendHeader(out, "Connection", "close");
  if (response.retry_after) {
    AppendHeader(
        out, "Retry-After",
        std::to_string(
            std::chrono::ceil<seconds>(*response.retry_after).count()));
  }
  AppendBody(out, response.body, framing.header_only);
}

void WriteRequest(const HttpCall& call, std::string_view host,
                  std::string& out) {
  out = MethodName(call.method);
  out += ' ';
  out += call.path;
  out += " HTTP/1.1\r\n";
  AppendHeader(out, "Host", host);
  if (!call.bearer.empty()) {
    out += "Authorization: Bearer ";
    out += call.bearer;
    out += "\r\n";
  }
  if (!call.customer.empty()) AppendHeader(out, "X-Customer", call.customer);
  for (const auto& [name, value] : call.headers) {
    AppendHeader(out, name, value);
  }
  if (!call.body.empty()) AppendHeader(out, "Content-Type", call.content_type);
  AppendBody(out, call.body, false);
}

bool IsSendable(const HttpCall& call) {
  return call.method != HttpMethod::kOther && !call.path.empty() &&
         call.path.front() == '/' && call.path.find(' ') == std::string::npos &&
         IsHeaderText(call.path) && IsHeaderText(call.bearer) &&
         IsHeaderText(call.customer) &&
         std::all_of(
             call.headers.begin(), call.headers.end(), [](const auto& header) {
               return IsHeaderText(header.first) && IsHeaderText(header.second);
             });
}

HttpMethod ToHttpMethod(http::verb verb) {
  switch (verb) {
    case http::verb::get:
      return HttpMethod::kGet;
    case http::verb::post:
      return HttpMethod::kPost;
    case http::verb::put:
      return HttpMethod::kPut;
    case http::verb::delete_:
      return HttpMethod::kDelete;
    default:
      return HttpMethod::kOther;
  }
}

}  // namespace gypsumfall::http_internal
