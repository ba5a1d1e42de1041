#ifndef GYPSUMFALL_PROTOCOL_INTERNAL_JSON_READER_H_
#define GYPSUMFALL_PROTOCOL_INTERNAL_JSON_READER_H_

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/protocol/internal/json_writer.h"

namespace gypsumfall::protocol_internal {

/// Path of a value in its message. The elements are linked towards the root and
/// are stack variables of the recursive calls that parse the message.
struct JsonPath {
  const JsonPath* parent = nullptr;
  /// Name of the field; empty for an element of an array.
  std::string_view name;
  std::size_t index = 0;

  /// @return text such as "attempts[2].resources".
  std::string ToString() const;
};

/// Converts JSON values to C++ values and records the first error.
class JsonDecoder {
 public:
  /// @return the first error, if any.
  const std::optional<std::string>& error() const { return error_; }
  /// Records an error unless one is recorded already.
  void Fail(const JsonPath& path, std::string_view problem);

  void Read(const boost::json::value& value, const JsonPath& path, bool& out);
  void Read(const boost::json::value& value, const JsonPath& path,
            std::string& out);
  void Read(const boost::json::value& value, const JsonPath& path,
            WorkerTime& out);
  void Read(const boost::json::value& value, const JsonPath& path, double& out);
  void Read(const boost::json::value& value, const JsonPath& path, BitSet& out);

  /// Reads an integer from 0 to the maximum of T; no message has negative
  /// integers.
  template <std::integral T>
  requires(!std::same_as<T, bool>) void Read(const boost::json::value& value,
                                             const JsonPath& path, T& out) {
    const auto max_value =
        static_cast<std::uint64_t>(std::numeric_limits<T>::max());
    out = static_cast<T>(Number(value, path, max_value));
  }

  template <typename Tag>
  void Read(const boost::json::value& value, const JsonPath& path,
            StringId<Tag>& out) {
    std::string text;
    Read(value, path, text);
    out = StringId<Tag>(std::move(text));
  }

  template <typename Tag, typename Rep>
  void Read(const boost::json::value& value, const JsonPath& path,
            StrongNumber<Tag, Rep>& out) {
    Rep number = 0;
    Read(value, path, number);
    out = StrongNumber<Tag, Rep>(number);
  }

  template <typename Enum>
  requires std::is_enum_v<Enum>
  void Read(const boost::json::value& value, const JsonPath& path, Enum& out) {
    std::string text;
    Read(value, path, text);
    std::string allowed;
    std::size_t index = 0;
    for (const std::string_view name : EnumNames<Enum>::kNames) {
      if (text == name) {
        out = static_cast<Enum>(index);
        return;
      }
      allowed += index++ == 0 ? "" : ", ";
      allowed += name;
    }
    Fail(path, "must be one of " + allowed);
  }

  template <typename T>
  void Read(const boost::json::value& value, const JsonPath& path,
            std::vector<T>& out) {
    const boost::json::array* array = Array(value, path);
    if (array == nullptr) return;
    out.reserve(array->size());
    for (std::size_t i = 0; i < array->size() && !error_; ++i) {
      Read((*array)[i], JsonPath{&path, {}, i}, out.emplace_back());
    }
  }

  /// Reads an array whose elements have different types. Each element of the
  /// tuple is required; further elements of the array are ignored.
  template <typename... T>
  void Read(const boost::json::value& value, const JsonPath& path,
            std::tuple<T...>& out) {
    const boost::json::array* array = Array(value, path);
    if (array == nullptr) return;
    if (array->size() < sizeof...(T)) {
      Fail(path, "has too few elements");
      return;
    }
    std::size_t index = 0;
    std::apply(
        [&](T&... element) {
          (ReadElement((*array)[index], path, index, element), ...);
        },
        out);
  }

  template <typename Message>
  requires std::is_class_v<Message>
  void Read(const boost::json::value& value, const JsonPath& path,
            Message& out);

 private:
  template <typename T>
  void ReadElement(const boost::json::value& value, const JsonPath& path,
                   std::size_t& index, T& out) {
    if (!error_) Read(value, JsonPath{&path, {}, index}, out);
    ++index;
  }
  std::uint64_t Number(const boost::json::value& value, const JsonPath& path,
                       std::uint64_t max_value);
  const boost::json::array* Array(const boost::json::value& value,
                                  const JsonPath& path);
  friend class JsonReader;
  const boost::json::object* Object(const boost::json::value& value,
                                    const JsonPath& path);

  std::optional<std::string> error_;
};

/// Visits the fields of a message and reads each from a JSON object. Fields of
/// the object that the message type does not have are ignored.
class JsonReader {
 public:
  JsonReader(JsonDecoder& decoder, const boost::json::object& object,
             const JsonPath& path)
      : decoder_(decoder), object_(object), path_(path) {}

  /// Reads a required field.
  template <typename T>
  void operator()(std::string_view name, T& out) {
    if (!Find(name, out)) {
      decoder_.Fail(JsonPath{&path_, name}, "is missing");
    }
  }

  /// Reads an optional field, which stays unset if it is missing.
  template <typename T>
  void operator()(std::string_view name, std::optional<T>& out) {
    T value{};
    if (Find(name, value)) out = std::move(value);
  }

  /// Reads a field that keeps its default value if it is missing.
  template <typename T>
  void WithDefault(std::string_view name, T& out) {
    Find(name, out);
  }

 private:
  /// @return whether the field exists or an earlier error was recorded.
  template <typename T>
  bool Find(std::string_view name, T& out) {
    if (decoder_.error()) return true;
    const boost::json::value* value =
        object_.if_contains({name.data(), name.size()});
    if (value == nullptr) return false;
    decoder_.Read(*value, JsonPath{&path_, name}, out);
    return true;
  }

  JsonDecoder& decoder_;
  const boost::json::object& object_;
  const JsonPath& path_;
};

template <typename Message>
requires std::is_class_v<Message>
void JsonDecoder::Read(const boost::json::value& value, const JsonPath& path,
                       Message& out) {
  const boost::json::object* object = Object(value, path);
  if (object == nullptr) return;
  JsonReader fields(*this, *object, path);
  Fields(fields, out);
}

}  // namespace gypsumfall::protocol_internal

#endif  // GYPSUMFALL_PROTOCOL_INTERNAL_JSON_READER_H_
