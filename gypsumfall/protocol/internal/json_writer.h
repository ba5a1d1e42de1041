#ifndef GYPSUMFALL_PROTOCOL_INTERNAL_JSON_WRITER_H_
#define GYPSUMFALL_PROTOCOL_INTERNAL_JSON_WRITER_H_

#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall::protocol_internal {

/// Names of an enum's values in messages. Specialized for each serialized enum:
/// `kNames` holds the names in the order of the values, which start at 0.
template <typename Enum>
struct EnumNames;

/// Bits for which a hexadecimal digit of a `BitSet` stands.
inline constexpr std::size_t kBitsPerDigit = 4;

/// Visits the fields of a message and appends them as JSON text.
class JsonWriter {
 public:
  explicit JsonWriter(std::string& out) : out_(out) {}

  /// Appends a field.
  template <typename T>
  void operator()(std::string_view name, const T& value) {
    Name(name);
    Value(value);
  }

  /// Appends an optional field if it is set.
  template <typename T>
  void operator()(std::string_view name, const std::optional<T>& value) {
    if (value) (*this)(name, *value);
  }

  /// Appends a field that a reader accepts as missing.
  template <typename T>
  void WithDefault(std::string_view name, const T& value) {
    (*this)(name, value);
  }

  void Value(bool value) { out_ += value ? "true" : "false"; }
  void Value(const std::string& value);
  void Value(const BitSet& bits);
  template <std::integral T>
  requires(!std::same_as<T, bool>) void Value(T value) {
    out_ += std::to_string(value);
  }
  template <typename Tag>
  void Value(const StringId<Tag>& id) {
    Value(id.str());
  }
  template <typename Tag, typename Rep>
  void Value(StrongNumber<Tag, Rep> number) {
    Value(number.value());
  }
  /// Rounds down to milliseconds, so that a lease never ends later on the
  /// worker than it was granted.
  void Value(WorkerTime time) {
    Value(std::int64_t{
        std::chrono::floor<milliseconds>(time.time_since_epoch()).count()});
  }
  template <typename Enum>
  requires std::is_enum_v<Enum>
  void Value(Enum value) {
    Value(std::string(
        EnumNames<Enum>::kNames.at(static_cast<std::size_t>(value))));
  }
  template <typename T>
  void Value(const std::vector<T>& values) {
    out_ += '[';
    for (const T& value : values) {
      if (&value != &values.front()) out_ += ',';
      Value(value);
    }
    out_ += ']';
  }
  template <typename Message>
  requires std::is_class_v<Message>
  void Value(const Message& message) {
    out_ += '{';
    JsonWriter fields(out_);
    Fields(fields, message);
    out_ += '}';
  }

 private:
  void Name(std::string_view name);

  std::string& out_;
  bool first_field_ = true;
};

}  // namespace gypsumfall::protocol_internal

#endif  // GYPSUMFALL_PROTOCOL_INTERNAL_JSON_WRITER_H_
