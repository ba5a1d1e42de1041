#include "gypsumfall/entry/internal/json_fields.h"

#include <algorithm>

namespace gypsumfall {

Result<boost::json::object> ParseObject(std::string_view body) {
  boost::system::error_code ec;
  boost::json::value value = boost::json::parse(body, ec);
  if (ec) {
    return Fail(ErrorKind::kBadRequest,
                "the body is not valid JSON: " + ec.message());
  }
  if (!value.is_object()) {
    return Fail(ErrorKind::kBadRequest, "the body must be a JSON object");
  }
  return std::move(value.as_object());
}

std::optional<std::string> TextField(const boost::json::object& object,
                                     std::string_view name) {
  const boost::json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) return std::nullopt;
  return std::string(value->as_string());
}

bool IsValidId(std::string_view text) {
  constexpr std::size_t kMaxLength = 128;
  const auto is_allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
  };
  return !text.empty() && text.size() <= kMaxLength &&
         std::all_of(text.begin(), text.end(), is_allowed);
}

boost::json::object ErrorObject(ErrorKind kind, std::string_view detail) {
  const ErrorTableEntry& error_answer = ErrorTableEntryFor(kind);
  std::string message(error_answer.text);
  if (!detail.empty()) message += ": " + std::string(detail);
  return {{"kind", error_answer.name},
          {"message", message},
          {"safe_to_retry", error_answer.safe_to_retry}};
}

boost::json::object TaskObject(const TaskStatus& status,
                               const EntryHostId& host) {
  boost::json::object object{{"id", status.key.task.str()},
                             {"status", TaskStateName(status.state)},
                             {"was_run", WasRunName(status.was_run)},
                             {"attempt", status.attempt.value()},
                             {"host", host.str()}};
  if (status.cancel_requested) object["cancel_requested"] = true;
  if (status.state == TaskState::kDone) {
    object["result"] = status.result;
  } else if (status.state == TaskState::kFailed) {
    object["failure"] = status.result;
  }
  return object;
}

}  // namespace gypsumfall
