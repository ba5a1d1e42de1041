#include <algorithm>
#include <boost/json/serialize.hpp>
#include <boost/json/string_view.hpp>
#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "gypsumfall/http/http.h"

namespace gypsumfall {
namespace {

std::string JsonString(std::string_view text) {
  return boost::json::serialize(
      boost::json::string_view(text.data(), text.size()));
}

int HexValue(char digit) {
  if (digit >= '0' && digit <= '9') return digit - '0';
  if (digit >= 'a' && digit <= 'f') return digit - 'a' + 10;
  if (digit >= 'A' && digit <= 'F') return digit - 'A' + 10;
  return -1;
}

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' || c == '~';
}

// Removes the text up to the separator, or all of it, and returns it without
// the separator.
std::string_view TakeUntil(std::string_view& text, char separator) {
  const std::size_t end = text.find(separator);
  const std::string_view head = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  return head;
}

}  // namespace

std::string_view HttpRequest::Extension(std::string_view name) const {
  const auto lower = [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  };
  for (const auto& [key, value] : extensions) {
    if (std::equal(key.begin(), key.end(), name.begin(), name.end(),
                   [&](char a, char b) { return lower(a) == lower(b); })) {
      return value;
    }
  }
  return {};
}

std::optional<std::string> HttpRequest::QueryValue(
    std::string_view name) const {
  std::string_view rest = query;
  while (!rest.empty()) {
    std::string_view value = TakeUntil(rest, '&');
    const std::string_view key = TakeUntil(value, '=');
    if (key == name) return PercentDecode(value);
  }
  return std::nullopt;
}

HttpResponse ErrorResponse(const Error& error, WasRun was_run) {
  const ErrorTableEntry& row = ErrorTableEntryFor(error.kind);
  std::string message(row.text);
  if (!error.detail.empty()) message += ": " + error.detail;
  HttpResponse response{.status = row.http_status, .body = {}};
  response.body = R"({"error":{"kind":")";
  response.body += row.name;
  response.body += R"(","message":)";
  response.body += JsonString(message);
  response.body += R"(},"was_run":")";
  response.body += WasRunName(was_run);
  response.body += R"("})";
  return response;
}

HttpResponse ErrorResponse(const Error& error) {
  return ErrorResponse(error, ErrorTableEntryFor(error.kind).was_run);
}

HttpResponse ErrorResponse(ErrorKind kind, std::string_view detail) {
  return ErrorResponse(Error{kind, std::string(detail)});
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  encoded.reserve(text.size());
  for (const char c : text) {
    if (IsUnreserved(c)) {
      encoded += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded += '%';
    encoded += kDigits[byte >> 4U];
    encoded += kDigits[byte & 0xFU];
  }
  return encoded;
}

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    if (i + 2 >= text.size()) return std::nullopt;
    const int high = HexValue(text[i + 1]);
    const int low = HexValue(text[i + 2]);
    if (high < 0 || low < 0) return std::nullopt;
    decoded += static_cast<char>(high * 16 + low);
    i += 2;
  }
  return decoded;
}

}  // namespace gypsumfall
