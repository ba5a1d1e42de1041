#ifndef GYPSUMFALL_ENTRY_ENTRY_H_
#define GYPSUMFALL_ENTRY_ENTRY_H_

/// @file
/// One entry host process: takes callers' requests and tasks, commands the
/// workers that it owns, and keeps its share of the durable state.
///
/// Example:
/// @code
///   Parsed<EntrySettings> settings = ParseEntrySettings(text, "entry.ini");
///   return RunEntryHost(*settings);
/// @endcode

#include "gypsumfall/settings/settings.h"

namespace gypsumfall {

/// Runs an entry host until SIGTERM or SIGINT. The first signal starts a
/// planned stop; a second one logs what the stop still waits for. SIGUSR1
/// writes a dump of the whole state to the log.
/// @return the exit code of the process: 0 after a planned stop, 1 if a
///     service could not be started.
int RunEntryHost(const EntrySettings& settings);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ENTRY_ENTRY_H_
