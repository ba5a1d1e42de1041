#include "gypsumfall/cli/internal/api_messages.h"

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

// @return the value of a string member, or the JSON text of a member of another
//     type; empty if the member is missing or null.
std::string StringMember(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr || value->is_null()) return {};
  if (value->is_string()) return std::string(value->get_string());
  return json::serialize(*value);
}

// @return an integer member, or 0 if it is missing or not an integer.
std::int64_t IntegerMember(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr) return 0;
  boost::system::error_code ec;
  const auto number = value->to_number<std::int64_t>(ec);
  return ec ? 0 : number;
}

Result<json::object> ParseObject(std::string_view body) {
  boost::system::error_code ec;
  json::value value = json::parse(body, ec);
  if (ec || !value.is_object()) {
    return Fail(ErrorKind::kInternal, "the response is not a JSON object");
  }
  return std::move(value.get_object());
}

// Decodes each object of an array member; a missing array yields an empty list.
template <typename Decode>
auto ListMember(const json::object& object, std::string_view name,
                Decode decode) {
  std::vector<decltype(decode(object))> items;
  const json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_array()) return items;
  for (const json::value& item : value->get_array()) {
    if (item.is_object()) items.push_back(decode(item.get_object()));
  }
  return items;
}

// Decodes a body whose array member is required.
template <typename Decode>
auto DecodeList(std::string_view body, std::string_view name, Decode decode)
    -> Result<std::vector<decltype(decode(json::object()))>> {
  auto object = ParseObject(body);
  if (!object) return tl::unexpected(std::move(object.error()));
  const json::value* value = object->if_contains(name);
  if (value == nullptr || !value->is_array()) {
    return Fail(ErrorKind::kInternal,
                "the response has no list \"" + std::string(name) + "\"");
  }
  return ListMember(*object, name, decode);
}

HostContractState ToHostContractState(const json::object& object) {
  return {StringMember(object, "host"), StringMember(object, "state"),
          IntegerMember(object, "version")};
}

ChangedField ToChangedField(const json::object& object) {
  return {StringMember(object, "field"), StringMember(object, "before"),
          StringMember(object, "after")};
}

ChangedField ToConflictingField(const json::object& object) {
  return {StringMember(object, "field"), StringMember(object, "theirs"),
          StringMember(object, "yours")};
}

LimitExcess ToLimitExcess(const json::object& object) {
  return {StringMember(object, "field"), IntegerMember(object, "used"),
          IntegerMember(object, "allowed")};
}

ContractResponse ToContract(const json::object& object) {
  return {StringMember(object, "customer"),
          IntegerMember(object, "version"),
          StringMember(object, "author"),
          StringMember(object, "time"),
          StringMember(object, "text"),
          ListMember(object, "changes", ToChangedField)};
}

WorkState ToWorkState(const json::object& object) {
  WorkState work;
  work.id = StringMember(object, "id");
  work.was_run = StringMember(object, "was_run");
  work.status = StringMember(object, "status");
  work.host = StringMember(object, "host");
  if (object.contains("result")) work.result = StringMember(object, "result");
  const json::value* error = object.if_contains("error");
  if (error != nullptr && error->is_object()) {
    work.error_kind = StringMember(error->get_object(), "kind");
    work.error_message = StringMember(error->get_object(), "message");
  }
  return work;
}

// Formats a decision as its time followed by NAME=VALUE pairs.
std::string FormatDecision(const json::object& object) {
  std::string line = StringMember(object, "time");
  for (const auto& member : object) {
    const std::string name(member.key());
    if (name == "time") continue;
    if (!line.empty()) line += "  ";
    line += name + "=" + StringMember(object, name);
  }
  return line;
}

// Decodes a body in which the given member is required.
template <typename Decode>
auto DecodeObject(std::string_view body, std::string_view member, Decode decode)
    -> Result<decltype(decode(json::object()))> {
  auto object = ParseObject(body);
  if (!object) return tl::unexpected(std::move(object.error()));
  if (!object->contains(member)) {
    return Fail(ErrorKind::kInternal,
                "the response has no member \"" + std::string(member) + "\"");
  }
  return decode(*object);
}

}  // namespace

Result<PutContractResponse> DecodePutContract(std::string_view body) {
  return DecodeObject(body, "version", [](const json::object& object) {
    return PutContractResponse{
        IntegerMember(object, "version"),
        ListMember(object, "in_force", ToHostContractState)};
  });
}

Result<ContractResponse> DecodeContract(std::string_view body) {
  return DecodeObject(body, "text", ToContract);
}

Result<std::vector<ContractResponse>> DecodeContracts(std::string_view body,
                                                      std::string_view list) {
  return DecodeList(body, list, ToContract);
}

Result<CheckContractResponse> DecodeCheckContract(std::string_view body) {
  return DecodeObject(body, "changes", [](const json::object& object) {
    return CheckContractResponse{IntegerMember(object, "version"),
                                 ListMember(object, "changes", ToChangedField),
                                 ListMember(object, "excess", ToLimitExcess)};
  });
}

Result<WorkState> DecodeWorkState(std::string_view body) {
  return DecodeObject(body, "id", ToWorkState);
}

Result<std::vector<WorkState>> DecodeTasks(std::string_view body) {
  return DecodeList(body, "tasks", ToWorkState);
}

Result<std::vector<std::string>> DecodeDecisions(std::string_view body) {
  return DecodeList(body, "decisions", FormatDecision);
}

ErrorDetails DecodeErrorDetails(std::string_view body) {
  const auto object = ParseObject(body);
  if (!object) return {};
  ErrorDetails response;
  response.was_run = StringMember(*object, "was_run");
  response.current_version = IntegerMember(*object, "current_version");
  response.changes = ListMember(*object, "changes", ToConflictingField);
  const json::value* error = object->if_contains("error");
  if (error != nullptr && error->is_object()) {
    response.kind = StringMember(error->get_object(), "kind");
    response.message = StringMember(error->get_object(), "message");
  } else {
    response.message = StringMember(*object, "error");
  }
  return response;
}

std::string EncodePutContract(std::string_view text, std::int64_t base_version,
                              std::string_view author) {
  return json::serialize(json::object{
      {"text", text}, {"base_version", base_version}, {"author", author}});
}

std::string EncodeContractText(std::string_view text) {
  return json::serialize(json::object{{"text", text}});
}

std::string EncodeSubmission(std::string_view id, std::string_view kind,
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
