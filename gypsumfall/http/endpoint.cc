#include "gypsumfall/http/internal/endpoint.h"

#include <charconv>
#include <cstdint>
#include <string>

#include "gypsumfall/http/http.h"

namespace gypsumfall::http_internal {

namespace asio = boost::asio;

std::optional<asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view host = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const char* const end = port_text.data() + port_text.size();
  const auto [rest, error] = std::from_chars(port_text.data(), end, port);
  if (error != std::errc() || rest != end) return std::nullopt;
  boost::system::error_code bad_address;
  const auto address = asio::ip::make_address(host, bad_address);
  if (bad_address) return std::nullopt;
  return asio::ip::tcp::endpoint(address, port);
}

std::string FormatEndpoint(const asio::ip::tcp::endpoint& endpoint) {
  std::string host = endpoint.address().to_string();
  if (endpoint.address().is_v6()) host = "[" + host + "]";
  return host + ":" + std::to_string(endpoint.port());
}

}  // namespace gypsumfall::http_internal

namespace gypsumfall {

bool IsEndpoint(std::string_view text) {
  const auto endpoint = http_internal::ParseEndpoint(text);
  return endpoint && endpoint->port() != 0;
}

}  // namespace gypsumfall
