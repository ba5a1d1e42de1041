#ifndef GYPSUMFALL_JOBS_INTERNAL_TOPOLOGY_H_
#define GYPSUMFALL_JOBS_INTERNAL_TOPOLOGY_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gypsumfall/base/base.h"
#include "gypsumfall/jobs/internal/job_record.h"
#include "gypsumfall/jobs/internal/job_spec.h"

namespace gypsumfall {

/// Version of the operator's configuration; never decreases.
using TopologyVersion = StrongNumber<struct TopologyVersionTag, std::uint64_t>;

/// Limits on the advice service, which decides which workers may run a step.
struct AdviceSettings {
  Duration decision_time{0};
  Duration time_per_worker{0};
  Duration validity{0};
};

/// Queue of a customer, with the contract terms that the scheduler uses.
struct QueueSettings {
  QueueId id;
  /// Jobs are submitted to this host name, with a path that starts with this
  /// prefix.
  std::string host_name;
  std::string path_prefix;
  /// Service whose workers run the tasks.
  ServiceId service;
  /// Scheduling priority; 0 is the highest.
  int priority = 0;
  /// Number of failed runs of a task after which its job fails.
  int max_attempts = 1;
  /// A job is on time if it ends within this multiple of its critical path plus
  /// `latency_objective`.
  double stretch = 1.0;
  Duration latency_objective{0};
  bool needs_advice = false;
  AdviceSettings advice;
};

/// @return the terms under which a queue accepts a job.
JobTerms TermsOf(const QueueSettings& queue, const JobSpec& spec);

/// A group of workers that run the tasks of some queues.
struct ServiceSettings {
  ServiceId id;
  /// The workers reject tasks that exceed their free resources.
  bool enforces_capacity = false;
};

/// Limits on the size and duration of requests from callers.
struct IngressLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 262144;
  Duration header_timeout = seconds(3);
  Duration idle_timeout = seconds(15);
};

/// The complete configuration of the operator.
struct Topology {
  TopologyVersion version;
  std::vector<QueueSettings> queues;
  std::vector<ServiceSettings> services;
  IngressLimits limits;

  /// @return the queue with this id, or null.
  const QueueSettings* FindQueue(const QueueId& id) const;
  /// @return the queue with this host name and the longest prefix that matches
  ///   the path, or null.
  const QueueSettings* Route(std::string_view host_name,
                             std::string_view path) const;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_JOBS_INTERNAL_TOPOLOGY_H_
