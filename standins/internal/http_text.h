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

/// @return the reading of the steady clock.
inline Time Now() {
  return Time(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

/// @return a number of a query parameter, or the value given if it is absent.
inline double QueryNumber(const HttpRequest& request, std::string_view name,
                          double otherwise) {
  const auto text = request.QueryValue(name);
  return text ? std::strtod(text->c_str(), nullptr) : otherwise;
}

/// @return milliseconds of a query parameter, or zero.
inline Duration QueryMilliseconds(const HttpRequest& request,
                                  std::string_view name) {
  return milliseconds(static_cast<std::int64_t>(QueryNumber(request, name, 0)));
}

}  // namespace gypsumfall::standins

#endif  // STANDINS_INTERNAL_HTTP_TEXT_H_
