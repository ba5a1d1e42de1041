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

/// Place of a value in its message; lives on the stack during the descent.
struct JsonPath {
  const JsonPath* parent = nullptr;
  /// Name of the field, or empty for an element of an array.
  std::string_view name;
  std::size_t index = 0;

  /// @return text such as "attempts[2].resources".
  std::string ToString() const;
};

/// Reads values and keeps the first error.
class JsonDecoder {
 public:
  /// @return the error, if there was one.
  const std::optional<std::string>& error() const { return error_; }
  /// Keeps an error unless there is one already.
  void Fail(const JsonPath& at, std::string_view what);

  void Read(const boost::json::value& value, const JsonPath& at, bool& out);
  void Read(const boost::json::value& value, const JsonPath& at,
            std::string& out);
  void Read(const boost::json::value& value, const JsonPath& at,
            WorkerTime& out);
  void Read(const boost::json::value& value, const JsonPath& at, double& out);

  /// Whole numbers of this system are never negative.
  template <std::integral T>
  requires(!std::same_as<T, bool>) void Read(const boost::json::value& value,
                                             const JsonPath& at, T& out) {
    const auto limit =
        static_cast<std::uint64_t>(std::numeric_limits<T>::max());
    out = static_cast<T>(Number(value, at, limit));
  }

  template <typename Tag>
  void Read(const boost::json::value& value, const JsonPath& at,
            StringId<Tag>& out) {
    std::string text;
    Read(value, at, text);
    out = StringId<Tag>(std::move(text));
  }

  template <typename Tag, typename Rep>
  void Read(const boost::json::value& value, const JsonPath& at,
            StrongNumber<Tag, Rep>& out) {
    Rep number = 0;
    Read(value, at, number);
    out = StrongNumber<Tag, Rep>(number);
  }

  template <typename Enum>
  requires std::is_enum_v<Enum>
  void Read(const boost::json::value& value, const JsonPath& at, Enum& out) {
    std::string text;
    Read(value, at, text);
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
    Fail(at, "must be one of " + allowed);
  }

  template <typename T>
  void Read(const boost::json::value& value, const JsonPath& at,
            std::vector<T>& out) {
    const boost::json::array* array = Array(value, at);
    if (array == nullptr) return;
    out.reserve(array->size());
    for (std::size_t i = 0; i < array->size() && !error_; ++i) {
      Read((*array)[i], JsonPath{&at, {}, i}, out.emplace_back());
    }
  }

  /// Reads an array whose elements have different types. Elements behind the
  /// last are ignored; each of the tuple must be there.
  template <typename... T>
  void Read(const boost::json::value& value, const JsonPath& at,
            std::tuple<T...>& out) {
    const boost::json::array* array = Array(value, at);
    if (array == nullptr) return;
    if (array->size() < sizeof...(T)) {
      Fail(at, "has too few elements");
      return;
    }
    std::size_t index = 0;
    std::apply(
        [&](T&... element) {
          (ReadElement((*array)[index], at, index, element), ...);
        },
        out);
  }

  template <typename Message>
  requires std::is_class_v<Message>
  void Read(const boost::json::value& value, const JsonPath& at, Message& out);

 private:
  template <typename T>
  void ReadElement(const boost::json::value& value, const JsonPath& at,
                   std::size_t& index, T& out) {
    if (!error_) Read(value, JsonPath{&at, {}, index}, out);
    ++index;
  }
  std::uint64_t Number(const boost::json::value& value, const JsonPath& at,
                       std::uint64_t limit);
  const boost::json::array* Array(const boost::json::value& value,
                                  const JsonPath& at);
  friend class JsonReader;
  const boost::json::object* Object(const boost::json::value& value,
                                    const JsonPath& at);

  std::optional<std::string> error_;
};

/// Visits the fields of a message and reads each from a JSON object. Fields
/// that the message does not have are ignored.
class JsonReader {
 public:
  JsonReader(JsonDecoder& decoder, const boost::json::object& object,
             const JsonPath& at)
      : decoder_(decoder), object_(object), at_(at) {}

  /// Reads one field, which must be there.
  template <typename T>
  void operator()(std::string_view name, T& out) {
    if (!Find(name, out)) {
      decoder_.Fail(JsonPath{&at_, name}, "is missing");
    }
  }

  /// Reads one field if it is there.
  template <typename T>
  void operator()(std::string_view name, std::optional<T>& out) {
    T value{};
    if (Find(name, value)) out = std::move(value);
  }

  /// Reads one field, which keeps its default if it is missing.
  template <typename T>
  void Lenient(std::string_view name, T& out) {
    Find(name, out);
  }

 private:
  template <typename T>
  bool Find(std::string_view name, T& out) {
    if (decoder_.error()) return true;
    const boost::json::value* value =
        object_.if_contains({name.data(), name.size()});
    if (value == nullptr) return false;
    decoder_.Read(*value, JsonPath{&at_, name}, out);
    return true;
  }

  JsonDecoder& decoder_;
  const boost::json::object& object_;
  const JsonPath& at_;
};

template <typename Message>
requires std::is_class_v<Message>
void JsonDecoder::Read(const boost::json::value& value, const JsonPath& at,
                       Message& out) {
  const boost::json::object* object = Object(value, at);
  if (object == nullptr) return;
  JsonReader fields(*this, *object, at);
  Fields(fields, out);
}

}  // namespace gypsumfall::protocol_internal

#endif  // GYPSUMFALL_PROTOCOL_INTERNAL_JSON_READER_H_
