#ifndef GYPSUMFALL_KERNEL_KERNEL_H_
#define GYPSUMFALL_KERNEL_KERNEL_H_

/// @file
/// Micro-kernel: a registry of the services of a process. Services are
/// registered and looked up by name, started in the order of their dependencies
/// and stopped in reverse order. There are no singletons: each process, and
/// each test, creates its own kernel.
///
/// Example:
/// @code
///   Kernel kernel;
///   kernel.Register("clock", std::make_unique<ClockService>());
///   kernel.Register("callers", std::make_unique<CallerService>(kernel));
///   Result<void> started = kernel.Start();
///   ClockService* clock = kernel.Find<ClockService>("clock");
///   kernel.Stop([&] { io.stop(); });
/// @endcode

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// A component of a process that can be started and stopped.
class Service {
 public:
  virtual ~Service() = default;

  /// @return names of the services that must be running while this one runs.
  virtual std::vector<std::string> dependencies() const { return {}; }
  /// Starts the service. Called once its dependencies are running.
  virtual Result<void> Start() = 0;
  /// Shuts the service down gracefully. Its dependencies are still running.
  /// @param stopped must be called once no work is in progress any more; may be
  ///   called before Stop returns.
  virtual void Stop(std::function<void()> stopped) = 0;
  /// @return the service's state as text for an operator.
  virtual std::string Dump() const = 0;
};

enum class ServiceState { kRegistered, kRunning, kStopping, kStopped, kFailed };

/// @return a fixed name such as "running".
std::string_view ServiceStateName(ServiceState state);

/// State of one registered service.
struct ServiceStatus {
  std::string name;
  ServiceState state = ServiceState::kRegistered;
};

/// Owns, starts and stops the services of one process. Not thread-safe.
class Kernel {
 public:
  Kernel();
  /// Destroys the services in reverse start order without stopping them.
  ~Kernel();
  Kernel(const Kernel&) = delete;
  Kernel& operator=(const Kernel&) = delete;

  /// Registers a service.
  /// @return kConflict if the name is in use or the kernel has been started.
  Result<void> Register(std::string name, std::unique_ptr<Service> service);

  /// @return the service of that name if it exists and is a T, otherwise null.
  template <typename T>
  T* Find(std::string_view name) const {
    return dynamic_cast<T*>(FindService(name));
  }

  /// Starts all services: dependencies first, otherwise in the order of
  /// registration. If one fails, the services started before it are stopped.
  /// @return the first error, with the name of the service. kInvalidSettings
  ///   for a missing or circular dependency, in which case no service is
  ///   started.
  Result<void> Start();
  /// Stops the running services one after another in reverse start order.
  /// @param done called once when all are stopped; immediately if none is
  ///   running. A call during a stop adds its callback to that stop.
  void Stop(std::function<void()> done);

  /// @return the services in start order; before Start, in the order of
  ///   registration.
  std::vector<ServiceStatus> Statuses() const;
  /// @return the dump of one service; kNotFound if no service has that name.
  Result<std::string> Dump(std::string_view name) const;
  /// @return the dumps of all services, each below a line with name and state.
  std::string Dump() const;

 private:
  struct Entry;

  Service* FindService(std::string_view name) const;
  Entry* FindEntry(std::string_view name) const;
  Result<std::vector<std::size_t>> StartOrder() const;
  void StopNext();

  std::vector<std::unique_ptr<Entry>> entries_;
  std::vector<std::function<void()>> on_stopped_;
  /// Callbacks hold weak references to it, which expire with the kernel.
  std::shared_ptr<char> liveness_;
  bool started_ = false;
  bool stopping_ = false;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_KERNEL_KERNEL_H_
