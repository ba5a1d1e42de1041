#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>
#include <string>

#include "gypsumfall/store_client/internal/call.h"

namespace gypsumfall::platform_internal {

WasRun WasRunOfError(const std::string& body) {
  boost::system::error_code error;
  const boost::json::value value = boost::json::parse(body, error);
  if (error || !value.is_object()) return WasRun::kUnknown;
  const boost::json::value* was_run = value.get_object().if_contains("was_run");
  if (was_run == nullptr || !was_run->is_string()) return WasRun::kUnknown;
  const boost::json::string& name = was_run->get_string();
  return WasRunFromName({name.data(), name.size()});
}

}  // namespace gypsumfall::platform_internal
