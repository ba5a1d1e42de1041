#ifndef GYPSUMFALL_JOBS_JOBS_H_
#define GYPSUMFALL_JOBS_JOBS_H_

/// @file
/// Jobs as callers submit them, and the queues and services that operators
/// configure. Contains value types, their validation and their encoding; the
/// scheduler decides on them, and the platform's adapters fill them in.
///
/// A job has steps, a step has tasks, and each start of a task is a run:
/// @code
///   JobSpec spec;
///   spec.steps.push_back(StepSpec{.task_count = 4,
///                                 .need = {.cpu = MilliCores(500)}});
///   Result<void> valid = ValidateJob(spec);
///   std::string row = Encode(JobRecord{.id = id, .spec = spec});
/// @endcode

#include "gypsumfall/jobs/internal/job_record.h"
#include "gypsumfall/jobs/internal/job_spec.h"
#include "gypsumfall/jobs/internal/topology.h"

#endif  // GYPSUMFALL_JOBS_JOBS_H_
