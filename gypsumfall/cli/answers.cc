#include "gypsumfall/cli/internal/answers.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsumfall {
namespace {

namespace json = boost::json;

// @return a string member as it is, another one as JSON text.
std::string Text(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr || value->is_null()) return {};
  if (value->is_string()) return std::string(value->get_string());
  return json::serialize(*value);
}

std::int64_t Number(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr) return 0;
  boost::system::error_code fault;
  const auto number = value->to_number<std::int64_t>(fault);
  return fault ? 0 : number;
}

Result<json::object> ParseObject(std::string_view body) {
  boost::system::error_code fault;
  json::value value = json::parse(body, fault);
  if (fault || !value.is_object()) {
    return Fail(ErrorKind::kInternal, "the answer is not a JSON object");
  }
  return std::move(value.get_object());
}

// Decodes each object of a list; a missing list is empty.
template <typename Decode>
auto List(const json::object& object, std::string_view name, Decode decode) {
  std::vector<decltype(decode(object))> items;
  const json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_array()) return items;
  for (const json::value& item : value->get_array()) {
    if (item.is_object()) items.push_back(decode(item.get_object()));
  }
  return items;
}

template <typename Decode>
auto DecodeList(std::string_view body, std::string_view name, Decode decode)
    -> Result<std::vector<decltype(decode(json::object()))>> {
  auto object = ParseObject(body);
  if (!object) return tl::unexpected(std::move(object.error()));
  const json::value* value = object->if_contains(name);
  if (value == nullptr || !value->is_array()) {
    return Fail(ErrorKind::kInternal,
                "the answer has no list \"" + std::string(name) + "\"");
  }
  return List(*object, name, decode);
}

HostState ToHostState(const json::object& object) {
  return {Text(object, "host"), Text(object, "state"),
          Number(object, "version")};
}

ChangeAnswer ToChange(const json::object& object) {
  return {Text(object, "field"), Text(object, "before"), Text(object, "after")};
}

ChangeAnswer ToConflict(const json::object& object) {
  return {Text(object, "field"), Text(object, "theirs"), Text(object, "yours")};
}

ExcessAnswer ToExcess(const json::object& object) {
  return {Text(object, "field"), Number(object, "used"),
          Number(object, "allowed")};
}

ContractAnswer ToContract(const json::object& object) {
  return {Text(object, "customer"), Number(object, "version"),
          Text(object, "author"),   Text(object, "time"),
          Text(object, "text"),     List(object, "changes", ToChange)};
}

WorkAnswer ToWork(const json::object& object) {
  WorkAnswer work;
  work.id = Text(object, "id");
  work.was_run = Text(object, "was_run");
  work.status = Text(object, "status");
  work.host = Text(object, "host");
  if (object.contains("result")) work.result = Text(object, "result");
  const json::value* error = object.if_contains("error");
  if (error != nullptr && error->is_object()) {
    work.error_kind = Text(error->get_object(), "kind");
    work.error_message = Text(error->get_object(), "message");
  }
  return work;
}

std::string ToDecision(const json::object& object) {
  std::string line = Text(object, "time");
  for (const auto& member : object) {
    const std::string name(member.key());
    if (name == "time") continue;
    if (!line.empty()) line += "  ";
    line += name + "=" + Text(object, name);
  }
  return line;
}

// Decodes an object that must have a member.
template <typename Decode>
auto DecodeObject(std::string_view body, std::string_view member, Decode decode)
    -> Result<decltype(decode(json::object()))> {
  auto object = ParseObject(body);
  if (!object) return tl::unexpected(std::move(object.error()));
  if (!object->contains(member)) {
    return Fail(ErrorKind::kInternal,
                "the answer has no member \"" + std::string(member) + "\"");
  }
  return decode(*object);
}

}  // namespace

Result<PutAnswer> DecodePut(std::string_view body) {
  return DecodeObject(body, "version", [](const json::object& object) {
    return PutAnswer{Number(object, "version"),
                     List(object, "in_force", ToHostState)};
  });
}

Result<ContractAnswer> DecodeContract(std::string_view body) {
  return DecodeObject(body, "text", ToContract);
}

Result<std::vector<ContractAnswer>> DecodeContracts(std::string_view body,
                                                    std::string_view list) {
  return DecodeList(body, list, ToContract);
}

Result<CheckAnswer> DecodeCheck(std::string_view body) {
  return DecodeObject(body, "changes", [](const json::object& object) {
    return CheckAnswer{Number(object, "version"),
                       List(object, "changes", ToChange),
                       List(object, "excess", ToExcess)};
  });
}

Result<WorkAnswer> DecodeWork(std::string_view body) {
  return DecodeObject(body, "id", ToWork);
}

Result<std::vector<WorkAnswer>> DecodeTasks(std::string_view body) {
  return DecodeList(body, "tasks", ToWork);
}

Result<std::vector<std::string>> DecodeDecisions(std::string_view body) {
  return DecodeList(body, "decisions", ToDecision);
}

ErrorAnswerBody DecodeError(std::string_view body) {
  const auto object = ParseObject(body);
  if (!object) return {};
  ErrorAnswerBody answer;
  answer.was_run = Text(*object, "was_run");
  answer.current_version = Number(*object, "current_version");
  answer.changes = List(*object, "changes", ToConflict);
  const json::value* error = object->if_contains("error");
  if (error != nullptr && error->is_object()) {
    answer.kind = Text(error->get_object(), "kind");
    answer.message = Text(error->get_object(), "message");
  } else {
    answer.message = Text(*object, "error");
  }
  return answer;
}

std::string EncodePut(std::string_view text, std::int64_t base_version,
                      std::string_view author) {
  return json::serialize(json::object{
      {"text", text}, {"base_version", base_version}, {"author", author}});
}

std::string EncodeText(std::string_view text) {
  return json::serialize(json::object{{"text", text}});
}

std::string EncodeWork(std::string_view id, std::string_view kind,
                       std::string_view payload,
                       std::optional<Duration> deadline) {
  json::object object{{"id", id}, {"kind", kind}, {"payload", payload}};
  if (deadline) {
    object["deadline_ms"] =
        std::chrono::duration_cast<milliseconds>(*deadline).count();
  }
  return json::serialize(object);
}

}  // namespace gypsumfall
