#ifndef GYPSUMFALL_PROTOCOL_PROTOCOL_H_
#define GYPSUMFALL_PROTOCOL_PROTOCOL_H_

/// @file
/// Types of the messages between entry hosts, workers and the platform and of
/// the rows of the table service, with codecs to and from JSON text. Libraries
/// without I/O use the types only.
///
/// Example:
/// @code
///   std::string body = Encode(AttachCall{owner, Epoch(4)});
///   Result<AttachReply> reply = Decode<AttachReply>(response_body);
/// @endcode

#include "gypsumfall/protocol/internal/codec.h"
#include "gypsumfall/protocol/internal/peer_messages.h"
#include "gypsumfall/protocol/internal/table_messages.h"
#include "gypsumfall/protocol/internal/worker_messages.h"

#endif  // GYPSUMFALL_PROTOCOL_PROTOCOL_H_
