#ifndef GYPSUMFALL_SCHEDULER_SCHEDULER_H_
#define GYPSUMFALL_SCHEDULER_SCHEDULER_H_

/// @file
/// Runs a scheduling host. Every host answers callers; the leader of each shard
/// also sends orders to the shard's workers. Hosts are interchangeable and keep
/// no durable state of their own; jobs and their progress are rows of the table
/// service.
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

/// Creates the platform adapter on the process's event loop.
using MakePorts = std::function<SchedulerPorts(boost::asio::io_context&)>;

/// Reads the settings again. Returns nothing if they are invalid.
using ReloadSettings = std::function<std::optional<SchedulerSettings>()>;

/// Runs a scheduling host until SIGTERM or SIGINT. SIGHUP reloads the settings
/// and applies the logging settings; all others require a restart. SIGUSR1
/// writes a dump of all services to stderr.
/// @param settings validated settings.
/// @param reload reads the settings again.
/// @param make_ports creates the platform adapter on the process's event loop.
/// @return the exit code of the process: 0 after a graceful shutdown, 1 if a
///   service could not be started.
int RunScheduler(const SchedulerSettings& settings,
                 const ReloadSettings& reload, const MakePorts& make_ports);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_SCHEDULER_SCHEDULER_H_
