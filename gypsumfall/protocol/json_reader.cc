#include "gypsumfall/protocol/internal/json_reader.h"

#include <boost/json/string.hpp>
#include <string>

namespace gypsumfall::protocol_internal {

std::string JsonPath::ToString() const {
  std::string text = parent == nullptr ? "" : parent->ToString();
  if (name.empty() && parent == nullptr) return text;
  if (name.empty()) return text + "[" + std::to_string(index) + "]";
  if (!text.empty()) text += '.';
  return text.append(name);
}

void JsonDecoder::Fail(const JsonPath& at, std::string_view what) {
  if (error_) return;
  const std::string path = at.ToString();
  error_ = path.empty() ? "the message" : "field \"" + path + "\"";
  *error_ += " ";
  *error_ += what;
}

void JsonDecoder::Read(const boost::json::value& value, const JsonPath& at,
                       bool& out) {
  const bool* found = value.if_bool();
  if (found == nullptr) {
    Fail(at, "must be true or false");
    return;
  }
  out = *found;
}

void JsonDecoder::Read(const boost::json::value& value, const JsonPath& at,
                       std::string& out) {
  const boost::json::string* found = value.if_string();
  if (found == nullptr) {
    Fail(at, "must be a string");
    return;
  }
  out.assign(found->data(), found->size());
}

void JsonDecoder::Read(const boost::json::value& value, const JsonPath& at,
                       WorkerTime& out) {
  // Larger values would overflow the microseconds of the type.
  constexpr auto kLimit = static_cast<std::uint64_t>(
      std::chrono::floor<milliseconds>(Duration::max()).count());
  out = WorkerTime(milliseconds(Number(value, at, kLimit)));
}

void JsonDecoder::Read(const boost::json::value& value, const JsonPath& at,
                       double& out) {
  if (!value.is_number()) {
    Fail(at, "must be a number");
    return;
  }
  out = value.to_number<double>();
}

std::uint64_t JsonDecoder::Number(const boost::json::value& value,
                                  const JsonPath& at, std::uint64_t limit) {
  const std::int64_t* small = value.if_int64();
  const std::uint64_t* large = value.if_uint64();
  const bool whole = large != nullptr || (small != nullptr && *small >= 0);
  const std::uint64_t number =
      large != nullptr ? *large
                       : static_cast<std::uint64_t>(whole ? *small : 0);
  if (!whole || number > limit) {
    Fail(at, "must be a whole number from 0 to " + std::to_string(limit));
    return 0;
  }
  return number;
}

const boost::json::array* JsonDecoder::Array(const boost::json::value& value,
                                             const JsonPath& at) {
  const boost::json::array* array = value.if_array();
  if (array == nullptr) Fail(at, "must be an array");
  return array;
}

const boost::json::object* JsonDecoder::Object(const boost::json::value& value,
                                               const JsonPath& at) {
  const boost::json::object* object = value.if_object();
  if (object == nullptr) Fail(at, "must be an object");
  return object;
}

}  // namespace gypsumfall::protocol_internal
