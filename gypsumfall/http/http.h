#ifndef GYPSUMFALL_HTTP_HTTP_H_
#define GYPSUMFALL_HTTP_HTTP_H_

/// @file
/// HTTP/1.1 server and client connection pool with limits on message sizes,
/// durations and the number of connections. Both require an io_context that is
/// run by a single thread. No call blocks. All callbacks run on that thread,
/// and never before the call that received the callback has returned.
///
/// Example, a proxy:
/// @code
///   ClientPool pool(io, ClientOptions{});
///   Server server(io, ServerOptions{.listen = "127.0.0.1:8080"},
///                 [&](HttpRequest request, Responder respond) {
///     pool.Call("127.0.0.1:9090",
///               HttpCall{.method = request.method, .path = request.path,
///                        .body = std::move(request.body)},
///               seconds(1),
///               [respond = std::move(respond)](CallOutcome outcome) mutable {
///       if (outcome.failure) {
///         respond(ErrorResponse(ErrorKind::kOutcomeUnknown, "no response"));
///       } else {
///         respond(HttpResponse{.status = outcome.status,
///                              .body = std::move(outcome.body)});
///       }
///     });
///   });
///   Result<std::string> address = server.Start();
/// @endcode

#include "gypsumfall/http/internal/client.h"
#include "gypsumfall/http/internal/messages.h"
#include "gypsumfall/http/internal/server.h"
#include "gypsumfall/http/internal/unique_function.h"

#endif  // GYPSUMFALL_HTTP_HTTP_H_
