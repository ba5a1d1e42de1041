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

}  // namespace gypsumfall::protocol_internal
