#ifndef GYPSUMFALL_SETTINGS_SETTINGS_H_
#define GYPSUMFALL_SETTINGS_SETTINGS_H_

/// @file
/// Settings of entry hosts and scheduling hosts, and the INI reader that they
/// share with contracts. All errors of a text are reported together as
/// diagnostics, each with its line.
///
/// Example:
/// @code
///   auto settings = ParseEntrySettings(text, "entry.ini");
///   if (!settings) {
///     for (const Diagnostic& diagnostic : settings.error()) {
///       std::cerr << diagnostic.ToString() << "\n";
///     }
///     return 2;
///   }
///   Listen(settings->host.listen);
/// @endcode

#include "gypsumfall/settings/internal/diagnostic.h"
#include "gypsumfall/settings/internal/entry_settings.h"
#include "gypsumfall/settings/internal/fields.h"
#include "gypsumfall/settings/internal/ini.h"
#include "gypsumfall/settings/internal/scheduler_settings.h"
#include "gypsumfall/settings/internal/values.h"

#endif  // GYPSUMFALL_SETTINGS_SETTINGS_H_
