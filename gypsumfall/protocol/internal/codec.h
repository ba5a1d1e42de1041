#ifndef GYPSUMFALL_PROTOCOL_INTERNAL_CODEC_H_
#define GYPSUMFALL_PROTOCOL_INTERNAL_CODEC_H_

#include <string>
#include <string_view>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// Serializes a message.
/// @tparam Message a message type for which a codec is defined.
/// @return the message as JSON text.
template <typename Message>
std::string Encode(const Message& message);

/// Parses and validates a message.
/// @param text JSON text; may be untrusted.
/// @return the message, or `kBadRequest` with the path of the invalid field.
template <typename Message>
Result<Message> Decode(std::string_view text);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_PROTOCOL_INTERNAL_CODEC_H_
