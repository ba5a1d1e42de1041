#ifndef GYPSUMFALL_ENTRY_ENTRY_H_
#define GYPSUMFALL_ENTRY_ENTRY_H_

/// @file
/// The entry host process: accepts requests and tasks from callers, runs them
/// on the workers that it owns, and stores its share of the durable state.
///
/// Example:
/// @code
///   Parsed<EntrySettings> settings = ParseEntrySettings(text, "entry.ini");
///   return RunEntryHost(*settings);
/// @endcode

#include "gypsumfall/settings/settings.h"

namespace gypsumfall {

/// Runs an entry host until SIGTERM or SIGINT. The first signal starts a
/// graceful shutdown; further ones log which services it still waits for.
/// SIGUSR1 writes a dump of the whole state to standard error.
/// @return the exit code of the process: 0 after a graceful shutdown, 1 if a
///     service could not be started.
int RunEntryHost(const EntrySettings& settings);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ENTRY_ENTRY_H_
