#include "gypsumfall/kernel/kernel.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsumfall {

struct Kernel::Entry {
  std::string name;
  std::unique_ptr<Service> service;
  ServiceState state = ServiceState::kRegistered;
};

std::string_view ServiceStateName(ServiceState state) {
  switch (state) {
    case ServiceState::kRegistered:
      return "registered";
    case ServiceState::kRunning:
      return "running";
    case ServiceState::kStopping:
      return "stopping";
    case ServiceState::kStopped:
      return "stopped";
    case ServiceState::kFailed:
      return "failed";
  }
  return "unknown";
}

Kernel::Kernel() : liveness_(std::make_shared<char>()) {}

Kernel::~Kernel() {
  while (!entries_.empty()) entries_.pop_back();
}

Result<void> Kernel::Register(std::string name,
                              std::unique_ptr<Service> service) {
  if (started_) {
    return Fail(ErrorKind::kConflict,
                "service " + name + " is registered after Start");
  }
  if (FindEntry(name) != nullptr) {
    return Fail(ErrorKind::kConflict,
                "service " + name + " is already registered");
  }
  auto entry = std::make_unique<Entry>();
  entry->name = std::move(name);
  entry->service = std::move(service);
  entries_.push_back(std::move(entry));
  return {};
}

Service* Kernel::FindService(std::string_view name) const {
  const Entry* entry = FindEntry(name);
  return entry == nullptr ? nullptr : entry->service.get();
}

Kernel::Entry* Kernel::FindEntry(std::string_view name) const {
  for (const auto& entry : entries_) {
    if (entry->name == name) return entry.get();
  }
  return nullptr;
}

// Topological sort: repeatedly appends the first service whose dependencies are
// all in the order already.
Result<std::vector<std::size_t>> Kernel::StartOrder() const {
  std::vector<std::size_t> order;
  std::vector<std::string_view> ordered;
  const auto is_ordered = [&ordered](std::string_view name) {
    return std::find(ordered.begin(), ordered.end(), name) != ordered.end();
  };
  while (order.size() < entries_.size()) {
    const std::size_t previous_size = order.size();
    std::string unresolved;
    for (std::size_t i = 0;
         i < entries_.size() && order.size() == previous_size; ++i) {
      const Entry& entry = *entries_[i];
      if (is_ordered(entry.name)) continue;
      const std::vector<std::string> dependency_names =
          entry.service->dependencies();
      if (std::all_of(dependency_names.begin(), dependency_names.end(),
                      is_ordered)) {
        order.push_back(i);
        ordered.emplace_back(entry.name);
      } else {
        unresolved += " " + entry.name;
      }
    }
    if (order.size() == previous_size) {
      return Fail(
          ErrorKind::kInvalidSettings,
          "services with a missing or circular dependency:" + unresolved);
    }
  }
  return order;
}

Result<void> Kernel::Start() {
  if (started_)
    return Fail(ErrorKind::kConflict, "the kernel is already started");
  const Result<std::vector<std::size_t>> order = StartOrder();
  if (!order.has_value()) return tl::unexpected<Error>(order.error());
  started_ = true;
  std::vector<std::unique_ptr<Entry>> sorted;
  for (const std::size_t i : *order) sorted.push_back(std::move(entries_[i]));
  entries_ = std::move(sorted);
  for (const auto& entry : entries_) {
    const Result<void> started = entry->service->Start();
    if (!started.has_value()) {
      entry->state = ServiceState::kFailed;
      Stop([] {});
      return Fail(started.error().kind,
                  "service " + entry->name + ": " + started.error().detail);
    }
    entry->state = ServiceState::kRunning;
  }
  return {};
}

void Kernel::Stop(std::function<void()> done) {
  on_stopped_.push_back(std::move(done));
  if (stopping_) return;
  stopping_ = true;
  StopNext();
}

void Kernel::StopNext() {
  for (auto it = entries_.rbegin(); it != entries_.rend(); ++it) {
    Entry* entry = it->get();
    if (entry->state != ServiceState::kRunning) continue;
    entry->state = ServiceState::kStopping;
    // A service may call back after the kernel is destroyed, or twice.
    entry->service->Stop(
        [this, entry, liveness = std::weak_ptr<char>(liveness_)] {
          if (liveness.expired() || entry->state != ServiceState::kStopping)
            return;
          entry->state = ServiceState::kStopped;
          StopNext();
        });
    return;
  }
  stopping_ = false;
  for (const auto& done : std::exchange(on_stopped_, {})) done();
}

std::vector<ServiceStatus> Kernel::Statuses() const {
  std::vector<ServiceStatus> statuses;
  for (const auto& entry : entries_) {
    statuses.push_back({entry->name, entry->state});
  }
  return statuses;
}

Result<std::string> Kernel::Dump(std::string_view name) const {
  const Entry* entry = FindEntry(name);
  if (entry != nullptr) return entry->service->Dump();
  std::string names;
  for (const auto& other : entries_) names += " " + other->name;
  return Fail(ErrorKind::kNotFound,
              "no service " + std::string(name) + "; services are:" + names);
}

std::string Kernel::Dump() const {
  std::string text;
  for (const auto& entry : entries_) {
    text += "== " + entry->name + " (" +
            std::string(ServiceStateName(entry->state)) + ")\n";
    text += entry->service->Dump();
    if (!text.ends_with('\n')) text += '\n';
  }
  return text;
}

}  // namespace gypsumfall
