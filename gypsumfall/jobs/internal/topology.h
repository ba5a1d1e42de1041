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

/// Version of the operator's configuration; only grows.
using TopologyVersion = StrongNumber<struct TopologyVersionTag, std::uint64_t>;

/// Bounds on the service that answers which workers may run a step.
struct AdviceSettings {
  Duration decision_time{0};
  Duration time_per_worker{0};
  Duration validity{0};
};

/// A customer's queue: the contract as the scheduler uses it.
struct QueueSettings {
  QueueId id;
  /// Jobs are submitted to this host name and below this path.
  std::string host_name;
  std::string path_prefix;
  /// Whose workers run the tasks.
  ServiceId service;
  /// 0 comes first.
  int priority = 0;
  /// Failed runs of a task after which its job has failed.
  int max_attempts = 1;
  /// A job is on time within this multiple of its longest chain of work ...
  double stretch = 1.0;
  /// ... plus this.
  Duration latency_objective{0};
  bool needs_advice = false;
  AdviceSettings advice;
};

/// @return the terms under which a queue takes a job.
JobTerms TermsOf(const QueueSettings& queue, const JobSpec& spec);

/// Workers that run the tasks of some queues.
struct ServiceSettings {
  ServiceId id;
  /// The workers refuse what does not fit.
  bool guards_capacity = false;
};

/// Sizes and times of requests that callers send.
struct IngressLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 262144;
  Duration header_timeout = seconds(3);
  Duration idle_timeout = seconds(15);
};

/// The operator's configuration in full.
struct Topology {
  TopologyVersion version;
  std::vector<QueueSettings> queues;
  std::vector<ServiceSettings> services;
  IngressLimits limits;

  /// @return the queue of that id, or null.
  const QueueSettings* FindQueue(const QueueId& id) const;
  /// @return the queue whose host name is equal and whose prefix is the
  ///   longest that the path begins with, or null.
  const QueueSettings* Route(std::string_view host_name,
                             std::string_view path) const;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_JOBS_INTERNAL_TOPOLOGY_H_
