#ifndef STANDINS_INTERNAL_HTTP_TEXT_H_
#define STANDINS_INTERNAL_HTTP_TEXT_H_

#include <chrono>
#include <cstdlib>
#include <string>
#include <string_view>
#include <utility>

#include "gypsumfall/base/base.h"
#include "gypsumfall/http/http.h"

namespace gypsumfall::standins {

/// @return the current time of the steady clock.
inline Time Now() {
  return Time(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

/// @return the number in a query parameter, or `default_value` if it is absent.
inline double QueryNumber(const HttpRequest& request, std::string_view name,
                          double default_value) {
  const auto text = request.QueryValue(name);
  return text ? std::strtod(text->c_str(), nullptr) : default_value;
}

/// @return the duration in a query parameter in milliseconds, or zero if
/// absent.
inline Duration QueryMilliseconds(const HttpRequest& request,
                                  std::string_view name) {
  return milliseconds(static_cast<std::int64_t>(QueryNumber(request, name, 0)));
}

}  // namespace gypsumfall::standins

#endif  // STANDINS_INTERNAL_HTTP_TEXT_H_
