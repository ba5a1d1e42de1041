#ifndef GYPSUMFALL_PROTOCOL_INTERNAL_CODEC_IMPL_H_
#define GYPSUMFALL_PROTOCOL_INTERNAL_CODEC_IMPL_H_

/// @file
/// Defines Encode and Decode, for .cc files that define codecs. Each message
/// type has one function `Fields(visitor, message)` in its namespace, which
/// names its fields for both serialization and parsing. The .cc files
/// instantiate the templates explicitly, because the Boost.JSON headers are
/// slow to compile:
/// @code
///   template <typename Visitor>
///   void Fields(Visitor& visit, MaybeConst<AttachCall> auto& message) {
///     visit("owner", message.owner);
///     visit("epoch", message.epoch);
///   }
///   template std::string Encode(const AttachCall&);
///   template Result<AttachCall> Decode(std::string_view);
/// @endcode

#include <array>
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/parse_options.hpp>
#include <concepts>
#include <string>
#include <string_view>
#include <type_traits>

#include "gypsumfall/base/base.h"
#include "gypsumfall/protocol/internal/codec.h"
#include "gypsumfall/protocol/internal/json_reader.h"
#include "gypsumfall/protocol/internal/json_writer.h"

namespace gypsumfall {

namespace protocol_internal {

/// Maximum nesting depth of received JSON; bounds the use of the stack. The
/// messages of gypsumfall are at most 4 levels deep.
inline constexpr std::size_t kMaxNestingDepth = 32;

}  // namespace protocol_internal

/// Satisfied by Message, which is parsed into, and by const Message, which is
/// serialized.
template <typename T, typename Message>
concept MaybeConst = std::same_as<std::remove_const_t<T>, Message>;

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<Resources> auto& resources) {
  visit("cpu_millicores", resources.cpu);
  visit("memory_mib", resources.memory);
  visit("accelerators", resources.accelerators);
}

template <typename Message>
std::string Encode(const Message& message) {
  std::string text;
  protocol_internal::JsonWriter(text).Value(message);
  return text;
}

template <typename Message>
Result<Message> Decode(std::string_view text) {
  namespace json = boost::json;
  std::array<unsigned char, 4096> buffer;
  json::monotonic_resource memory(buffer.data(), buffer.size());
  json::parse_options options;
  options.max_depth = protocol_internal::kMaxNestingDepth;
  boost::system::error_code error;
  const json::value value =
      json::parse({text.data(), text.size()}, error, &memory, options);
  if (error) {
    return Fail(ErrorKind::kBadRequest, "not valid JSON: " + error.message());
  }
  Message message;
  protocol_internal::JsonDecoder decoder;
  decoder.Read(value, {}, message);
  if (decoder.error()) return Fail(ErrorKind::kBadRequest, *decoder.error());
  return message;
}

}  // namespace gypsumfall

#endif  // GYPSUMFALL_PROTOCOL_INTERNAL_CODEC_IMPL_H_
