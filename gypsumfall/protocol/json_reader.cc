#include "gypsumfall/protocol/internal/json_reader.h"

#include <boost/json/string.hpp>
#include <charconv>
#include <string>

namespace gypsumfall::protocol_internal {

std::string JsonPath::ToString() const {
  std::string text = parent == nullptr ? "" : parent->ToString();
  if (name.empty() && parent == nullptr) return text;
  if (name.empty()) return text + "[" + std::to_string(index) + "]";
  if (!text.empty()) text += '.';
  return text.append(name);
}

void JsonDecoder::Fail(const JsonPath& path, std::string_view problem) {
  if (error_) return;
  const std::string path_text = path.ToString();
  error_ = path_text.empty() ? "the message" : "field \"" + path_text + "\"";
  *error_ += " ";
  *error_ += problem;
}

void JsonDecoder::Read(const boost::json::value& value, const JsonPath& path,
                       bool& out) {
  const bool* found = value.if_bool();
  if (found == nullptr) {
    Fail(path, "must be true or false");
    return;
  }
  out = *found;
}

void JsonDecoder::Read(const boost::json::value& value, const JsonPath& path,
                       std::string& out) {
  const boost::json::string* found = value.if_string();
  if (found == nullptr) {
    Fail(path, "must be a string");
    return;
  }
  out.assign(found->data(), found->size());
}

void JsonDecoder::Read(const boost::json::value& value, const JsonPath& path,
                       WorkerTime& out) {
  // The sum of a larger value and a lease would overflow Duration, which counts
  // microseconds.
  constexpr auto kMaxMilliseconds = static_cast<std::uint64_t>(
      std::chrono::floor<milliseconds>(Duration::max() / 2).count());
  out = WorkerTime(milliseconds(Number(value, path, kMaxMilliseconds)));
}

void JsonDecoder::Read(const boost::json::value& value, const JsonPath& path,
                       double& out) {
  if (!value.is_number()) {
    Fail(path, "must be a number");
    return;
  }
  out = value.to_number<double>();
}

void JsonDecoder::Read(const boost::json::value& value, const JsonPath& path,
                       BitSet& out) {
  std::string text;
  Read(value, path, text);
  out.clear();
  for (const char digit : text) {
    unsigned bits = 0;
    const auto [rest, error] = std::from_chars(&digit, &digit + 1, bits, 16);
    if (error != std::errc()) {
      Fail(path, "must consist of hexadecimal digits");
      return;
    }
    for (std::size_t bit = 0; bit < kBitsPerDigit; ++bit)
      out.push_back((bits >> bit & 1U) != 0);
  }
}

std::uint64_t JsonDecoder::Number(const boost::json::value& value,
                                  const JsonPath& path,
                                  std::uint64_t max_value) {
  const std::int64_t* signed_number = value.if_int64();
  const std::uint64_t* unsigned_number = value.if_uint64();
  const bool non_negative = unsigned_number != nullptr ||
                            (signed_number != nullptr && *signed_number >= 0);
  const std::uint64_t number =
      unsigned_number != nullptr
          ? *unsigned_number
          : static_cast<std::uint64_t>(non_negative ? *signed_number : 0);
  if (!non_negative || number > max_value) {
    Fail(path, "must be a whole number from 0 to " + std::to_string(max_value));
    return 0;
  }
  return number;
}

const boost::json::array* JsonDecoder::Array(const boost::json::value& value,
                                             const JsonPath& path) {
  const boost::json::array* array = value.if_array();
  if (array == nullptr) Fail(path, "must be an array");
  return array;
}

const boost::json::object* JsonDecoder::Object(const boost::json::value& value,
                                               const JsonPath& path) {
  const boost::json::object* object = value.if_object();
  if (object == nullptr) Fail(path, "must be an object");
  return object;
}

}  // namespace gypsumfall::protocol_internal
