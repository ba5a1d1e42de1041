#ifndef GYPSUMFALL_SCHEDULER_SCHEDULER_H_
#define GYPSUMFALL_SCHEDULER_SCHEDULER_H_

/// @file
/// A scheduling host: answers callers, and one of all hosts orders the
/// workers. Hosts are alike and keep nothing; jobs and their progress are rows
/// of the table service.
///
/// Example:
/// @code
///   return RunScheduler(settings, [&](boost::asio::io_context& io) {
///     return MakePlatformPorts(io, settings);
///   });
/// @endcode

#include <functional>

#include "gypsumfall/scheduler/ports.h"
#include "gypsumfall/settings/settings.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace gypsumfall {

using MakePorts = std::function<SchedulerPorts(boost::asio::io_context&)>;

/// Runs a scheduling host until it is stopped by SIGTERM or SIGINT.
/// @param settings checked settings.
/// @param make_ports makes the adapter on the process's event loop.
/// @return the exit code of the process.
int RunScheduler(const SchedulerSettings& settings,
                 const MakePorts& make_ports);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_SCHEDULER_SCHEDULER_H_
