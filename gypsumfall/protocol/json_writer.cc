#include "gypsumfall/protocol/internal/json_writer.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <boost/json/string_view.hpp>
#include <string>

namespace gypsumfall::protocol_internal {

void JsonWriter::Name(std::string_view name) {
  out_ += first_field_ ? "\"" : ",\"";
  out_ += name;
  out_ += "\":";
  first_field_ = false;
}

void JsonWriter::Value(const std::string& value) {
  const bool needs_no_escaping =
      std::none_of(value.begin(), value.end(), [](char c) {
        return static_cast<unsigned char>(c) < ' ' || c == '"' || c == '\\';
      });
  if (!needs_no_escaping) {
    out_ += boost::json::serialize(boost::json::string_view(value));
    return;
  }
  out_ += '"';
  out_ += value;
  out_ += '"';
}

void JsonWriter::Value(const BitSet& bits) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text((bits.size() + kBitsPerDigit - 1) / kBitsPerDigit, '0');
  for (std::size_t digit = 0; digit < text.size(); ++digit) {
    std::size_t value = 0;
    for (std::size_t bit = 0; bit < kBitsPerDigit; ++bit) {
      const std::size_t number = digit * kBitsPerDigit + bit;
      if (number < bits.size() && bits[number]) value |= std::size_t{1} << bit;
    }
    text[digit] = kDigits[value];
  }
  text.resize(text.find_last_not_of('0') + 1);
  Value(text);
}

}  // namespace gypsumfall::protocol_internal
