#ifndef GYPSUMFALL_PROTOCOL_INTERNAL_CODEC_H_
#define GYPSUMFALL_PROTOCOL_INTERNAL_CODEC_H_

#include <string>
#include <string_view>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// @param message any message type of this library.
/// @return the message as JSON text.
template <typename Message>
std::string Encode(const Message& message);

/// @param text JSON text from an untrusted peer.
/// @return the message, or `kBadRequest` with the path of the faulty field.
template <typename Message>
Result<Message> Decode(std::string_view text);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_PROTOCOL_INTERNAL_CODEC_H_
