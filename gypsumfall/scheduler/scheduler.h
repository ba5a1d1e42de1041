#ifndef GYPSUMFALL_SCHEDULER_SCHEDULER_H_
#define GYPSUMFALL_SCHEDULER_SCHEDULER_H_

/// @file
/// A scheduling host: answers callers, and one of all hosts orders the
/// workers. Hosts are alike and keep nothing; jobs and their progress are rows
/// of the table service.
///
/// Example:
/// @code
///   return RunScheduler(settings, reload, [&](boost::asio::io_context& io) {
///     return MakePlatformPorts(io, settings);
///   });
/// @endcode

#include <functional>
#include <optional>

#include "gypsumfall/scheduler/ports.h"
#include "gypsumfall/settings/settings.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace gypsumfall {

using MakePorts = std::function<SchedulerPorts(boost::asio::io_context&)>;

/// Reads the settings again; nothing if they are not valid.
using ReloadSettings = std::function<std::optional<SchedulerSettings>()>;

/// Runs a scheduling host until it is stopped by SIGTERM or SIGINT. SIGHUP
/// reads the settings again and applies those of the log; all others need a
/// restart.
/// @param settings checked settings.
/// @param reload reads the settings again.
/// @param make_ports makes the adapter on the process's event loop.
/// @return the exit code of the process.
int RunScheduler(const SchedulerSettings& settings,
                 const ReloadSettings& reload, const MakePorts& make_ports);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_SCHEDULER_SCHEDULER_H_
