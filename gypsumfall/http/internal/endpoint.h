#ifndef GYPSUMFALL_HTTP_INTERNAL_ENDPOINT_H_
#define GYPSUMFALL_HTTP_INTERNAL_ENDPOINT_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace gypsumfall::http_internal {

/// @param text "ip:port" or "[ip]:port"; host names are not resolved.
/// @return the endpoint, or nullopt if the text is malformed.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view text);

/// @return "ip:port", or "[ip]:port" for an IPv6 address.
std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace gypsumfall::http_internal

#endif  // GYPSUMFALL_HTTP_INTERNAL_ENDPOINT_H_
