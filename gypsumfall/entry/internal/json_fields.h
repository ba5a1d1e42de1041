#ifndef GYPSUMFALL_ENTRY_INTERNAL_JSON_FIELDS_H_
#define GYPSUMFALL_ENTRY_INTERNAL_JSON_FIELDS_H_

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "gypsumfall/base/base.h"
#include "gypsumfall/tasks/tasks.h"

namespace gypsumfall {

/// @return the JSON object in a body, or `kBadRequest`.
Result<boost::json::object> ParseObject(std::string_view body);

/// @return a text field, or nothing if it is absent or of another type.
std::optional<std::string> TextField(const boost::json::object& object,
                                     std::string_view name);

/// @return whether the text is 1 to 128 of [A-Za-z0-9._-].
bool IsValidId(std::string_view text);

/// @return the error as callers are told.
boost::json::object ErrorObject(ErrorKind kind, std::string_view detail);

/// @return a task as callers are told.
boost::json::object TaskObject(const TaskStatus& status,
                               const EntryHostId& host);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ENTRY_INTERNAL_JSON_FIELDS_H_
