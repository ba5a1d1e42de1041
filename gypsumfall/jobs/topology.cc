#include <algorithm>

#include "gypsumfall/jobs/jobs.h"

namespace gypsumfall {

JobTerms TermsOf(const QueueSettings& queue, const JobSpec& spec) {
  const auto chain = static_cast<double>(CriticalPath(spec).count());
  return {
      .service = queue.service,
      .priority = queue.priority,
      .max_attempts = queue.max_attempts,
      .objective = queue.latency_objective +
                   Duration(static_cast<std::int64_t>(chain * queue.stretch))};
}

const QueueSettings* Topology::FindQueue(const QueueId& id) const {
  const auto found =
      std::find_if(queues.begin(), queues.end(),
                   [&](const QueueSettings& queue) { return queue.id == id; });
  return found == queues.end() ? nullptr : &*found;
}

const QueueSettings* Topology::Route(std::string_view host_name,
                                     std::string_view path) const {
  const QueueSettings* best = nullptr;
  for (const QueueSettings& queue : queues) {
    if (queue.host_name != host_name || !path.starts_with(queue.path_prefix)) {
      continue;
    }
    if (best == nullptr ||
        queue.path_prefix.size() > best->path_prefix.size()) {
      best = &queue;
    }
  }
  return best;
}

}  // namespace gypsumfall
