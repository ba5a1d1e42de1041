#ifndef GYPSUMFALL_ENTRY_INTERNAL_JSON_FIELDS_H_
#define GYPSUMFALL_ENTRY_INTERNAL_JSON_FIELDS_H_

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "gypsumfall/base/base.h"
#include "gypsumfall/tasks/tasks.h"

namespace gypsumfall {

/// @return the JSON object in the body of a call, or a `kBadRequest` error.
Result<boost::json::object> ParseObject(std::string_view body);

/// @return the value of a string field, or nullopt if it is absent or not a
///     string.
std::optional<std::string> TextField(const boost::json::object& object,
                                     std::string_view name);

/// @return whether the text consists of 1 to 128 characters of [A-Za-z0-9._-].
bool IsValidId(std::string_view text);

/// @return the JSON object that describes an error to callers.
boost::json::object ErrorObject(ErrorKind kind, std::string_view detail);

/// @return the JSON object that describes a task to callers.
/// @param host the entry host that answers.
boost::json::object TaskObject(const TaskStatus& status,
                               const EntryHostId& host);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ENTRY_INTERNAL_JSON_FIELDS_H_
