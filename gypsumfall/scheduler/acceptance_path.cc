#include "gypsumfall/scheduler/internal/acceptance_path.h"

#include <algorithm>

namespace gypsumfall::scheduler_internal {
namespace {

// Returns whether the store has answered the write, be it by a refusal of its
// content.
bool StoreAnswered(StoreOutcome outcome) {
  return outcome == StoreOutcome::kDone || outcome == StoreOutcome::kConflict ||
         outcome == StoreOutcome::kRejected;
}

}  // namespace

AcceptanceStep AcceptancePath::NextStep(AcceptanceAttempts& attempts,
                                        const std::vector<RelayTarget>& targets,
                                        Time now) {
  using Route = AcceptanceStep::Route;
  const bool probes = own_failing_ && now >= next_probe_;
  if (!attempts.own_store && (!own_failing_ || probes || targets.empty())) {
    if (probes) next_probe_ = now + kFailingPathMemory;
    attempts.own_store = true;
    return {.route = Route::kOwnStore, .shard = {}};
  }
  const RelayTarget* next = nullptr;
  for (const RelayTarget& target : targets) {
    if (std::find(attempts.relayed_to.begin(), attempts.relayed_to.end(),
                  target.endpoint) != attempts.relayed_to.end()) {
      continue;
    }
    if (!IsFailing(target.endpoint, now)) {
      next = &target;
      break;
    }
    if (next == nullptr) next = &target;
  }
  if (next != nullptr) {
    attempts.relayed_to.push_back(next->endpoint);
    return {.route = Route::kRelay, .shard = next->shard};
  }
  // A path that answers with errors costs little to try, and the write is not
  // applied if it fails again. A write on a silent path would turn "not run"
  // into an unknown outcome.
  if (!attempts.own_store && !own_silent_) {
    attempts.own_store = true;
    return {.route = Route::kOwnStore, .shard = {}};
  }
  return {};
}

void AcceptancePath::OnOwnWrite(StoreOutcome outcome, Time now) {
  own_failing_ = !StoreAnswered(outcome);
  own_silent_ = outcome == StoreOutcome::kUnknown;
  if (own_failing_) next_probe_ = now + kFailingPathMemory;
}

void AcceptancePath::OnRelayedWrite(const std::string& endpoint,
                                    StoreOutcome outcome, Time now) {
  // The hosts that lead change; entries of former leaders must not stay.
  std::erase_if(failing_until_,
                [now](const auto& entry) { return entry.second <= now; });
  if (StoreAnswered(outcome)) {
    failing_until_.erase(endpoint);
  } else {
    failing_until_[endpoint] = now + kFailingPathMemory;
  }
}

bool AcceptancePath::IsFailing(const std::string& endpoint, Time now) const {
  const auto found = failing_until_.find(endpoint);
  return found != failing_until_.end() && now < found->second;
}

Duration OwnWriteTimeout(Duration time_left, Duration accept_timeout,
                         bool relay_possible) {
  return std::min(relay_possible ? time_left / 2 : time_left, accept_timeout);
}

}  // namespace gypsumfall::scheduler_internal
