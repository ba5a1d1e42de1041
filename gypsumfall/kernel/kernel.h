#ifndef GYPSUMFALL_KERNEL_KERNEL_H_
#define GYPSUMFALL_KERNEL_KERNEL_H_

/// @file
/// Micro-kernel: services are registered and found by name, started in the
/// order of their dependencies and stopped in reverse. There are no
/// singletons: each process, or test, makes its own kernel.
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

/// A part of a process with a life cycle.
class Service {
 public:
  virtual ~Service() = default;

  /// @return names of the services that run while this one runs.
  virtual std::vector<std::string> dependencies() const { return {}; }
  /// Starts the service; its dependencies are running.
  virtual Result<void> Start() = 0;
  /// Stops the service gracefully; its dependencies still run.
  /// @param stopped called once, possibly before Stop returns, when nothing is
  ///   in progress any more.
  virtual void Stop(std::function<void()> stopped) = 0;
  /// @return readable text of the service's state.
  virtual std::string Dump() const = 0;
};

enum class ServiceState { kRegistered, kRunning, kStopping, kStopped, kFailed };

/// @return a fixed name such as "running".
std::string_view ServiceStateName(ServiceState state);

struct ServiceStatus {
  std::string name;
  ServiceState state = ServiceState::kRegistered;
};

/// Holds the services of one process. Not thread-safe.
class Kernel {
 public:
  Kernel();
  /// Destroys the services in reverse order of starting.
  ~Kernel();
  Kernel(const Kernel&) = delete;
  Kernel& operator=(const Kernel&) = delete;

  /// @return kConflict if the name is taken or the kernel has started.
  Result<void> Register(std::string name, std::unique_ptr<Service> service);

  /// @return the service of that name if it is a T, otherwise null.
  template <typename T>
  T* Find(std::string_view name) const {
    return dynamic_cast<T*>(FindService(name));
  }

  /// Starts all services, dependencies first, otherwise in order of
  /// registration. When one fails, those started before are stopped again.
  /// @return the first error, with the service's name; kInvalidSettings for a
  ///   missing dependency or a cycle, in which case nothing was started.
  Result<void> Start();
  /// Stops the running services one after another in reverse order.
  /// @param done called once when all are stopped, at once if none runs. A
  ///   second call meanwhile adds its callback to the same stop.
  void Stop(std::function<void()> done);

  /// @return the services in order of starting, or of registration before.
  std::vector<ServiceStatus> Statuses() const;
  /// @return one service's dump, kNotFound if there is none of that name.
  Result<std::string> Dump(std::string_view name) const;
  /// @return the dumps of all services with name and state as headings.
  std::string Dump() const;

 private:
  struct Entry;

  Service* FindService(std::string_view name) const;
  Entry* FindEntry(std::string_view name) const;
  Result<std::vector<std::size_t>> StartOrder() const;
  void StopNext();

  std::vector<std::unique_ptr<Entry>> entries_;
  std::vector<std::function<void()>> on_stopped_;
  /// Expires with the kernel, for callbacks that come later.
  std::shared_ptr<char> life_;
  bool started_ = false;
  bool stopping_ = false;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_KERNEL_KERNEL_H_
