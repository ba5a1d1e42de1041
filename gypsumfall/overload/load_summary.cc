#include <algorithm>
#include <charconv>
#include <chrono>
#include <string>

#include "gypsumfall/overload/overload.h"

namespace gypsumfall {
namespace {

// First field of an encoded summary. A reader ignores other versions.
constexpr std::int64_t kVersion = 1;
// Largest encoded value of a CPU time or rate. Seven digits hold 10^6
// core-seconds and 10^5 cores.
constexpr std::int64_t kMaxEncodedValue = 9'999'999;
// Units of encoded values.
constexpr std::int64_t kCpuTimeUnit = 100;
constexpr std::int64_t kRateUnit = 10;
constexpr int kMaxPriority = 99;
constexpr int kMaxPercent = 999;
constexpr Duration kMaxTime = std::chrono::hours(1);
// Declared times are not limited. Longer ones count as this, so that their
// multiples do not overflow.
constexpr Duration kMaxDeclared = std::chrono::hours(24);

std::int64_t Scaled(std::int64_t value, std::int64_t unit) {
  return std::clamp<std::int64_t>((value + unit / 2) / unit, 0,
                                  kMaxEncodedValue);
}

// Reads whole numbers that are separated by spaces.
class NumberReader {
 public:
  explicit NumberReader(std::string_view text) : text_(text) {}

  // Returns the next number, or `max` + 1 if there is none from 0 to `max`.
  std::int64_t Next(std::int64_t max) {
    while (!text_.empty() && text_.front() == ' ') text_.remove_prefix(1);
    std::int64_t number = 0;
    const auto [end, error] =
        std::from_chars(text_.data(), text_.data() + text_.size(), number);
    if (error != std::errc{} || number < 0 || number > max) {
      failed_ = true;
      return max + 1;
    }
    text_.remove_prefix(static_cast<std::size_t>(end - text_.data()));
    return number;
  }

  bool failed() const { return failed_; }
  bool AtEnd() const { return text_.empty(); }

 private:
  std::string_view text_;
  bool failed_ = false;
};

// Sums a member over the classes whose work starts before a new job of the
// class.
template <typename T>
T SumAhead(const LoadSummary& summary, const WorkClass& own,
           T ClassLoad::*member) {
  std::int64_t sum = 0;
  for (const ClassLoad& load : summary.classes) {
    const WorkClass& other = load.work_class;
    // The rate of best-effort work is measured and covers other classes.
    const bool before =
        own.best_effort ? other == own
                        : !other.best_effort && other.priority <= own.priority;
    if (before) sum += (load.*member).value();
  }
  return T(sum);
}

Duration Percent(Duration duration, int percent) {
  return duration * percent / 100;
}

}  // namespace

const ClassLoad* LoadSummary::Find(const WorkClass& work_class) const {
  const auto found = std::find_if(
      classes.begin(), classes.end(),
      [&](const ClassLoad& load) { return load.work_class == work_class; });
  return found == classes.end() ? nullptr : &*found;
}

std::string EncodeLoad(const LoadSummary& summary) {
  std::string text = std::to_string(kVersion) + " " +
                     std::to_string(std::chrono::duration_cast<milliseconds>(
                                        summary.made_at.time_since_epoch())
                                        .count());
  const auto add = [&text](std::int64_t value) {
    text += " " + std::to_string(value);
  };
  std::size_t count = 0;
  for (const ClassLoad& load : summary.classes) {
    if (load.work_class.priority < 0 ||
        load.work_class.priority > kMaxPriority || count++ == kMaxClasses) {
      break;
    }
    add(load.work_class.priority);
    add(load.work_class.best_effort ? 1 : 0);
    add(Scaled(load.queued.value(), kCpuTimeUnit));
    add(Scaled(load.running.value(), kCpuTimeUnit));
    add(Scaled(load.rate.value(), kRateUnit));
    add(Scaled(load.arrivals.value(), kRateUnit));
    add(std::clamp(load.run_time_percent, 1, kMaxPercent));
    add(std::clamp(load.wait_percent, kMinWaitPercent, kMaxWaitPercent));
  }
  return text;
}

Result<LoadSummary> DecodeLoad(std::string_view text) {
  constexpr std::int64_t kMaxMilliseconds = 9'999'999'999'999;
  NumberReader reader(text);
  LoadSummary summary;
  const bool known_version = reader.Next(kVersion) == kVersion;
  summary.made_at = StoreTime(milliseconds(reader.Next(kMaxMilliseconds)));
  while (!reader.failed() && !reader.AtEnd() &&
         summary.classes.size() < kMaxClasses) {
    ClassLoad load;
    load.work_class.priority = static_cast<int>(reader.Next(kMaxPriority));
    load.work_class.best_effort = reader.Next(1) == 1;
    load.queued = CpuTime(reader.Next(kMaxEncodedValue) * kCpuTimeUnit);
    load.running = CpuTime(reader.Next(kMaxEncodedValue) * kCpuTimeUnit);
    load.rate = MilliCores(reader.Next(kMaxEncodedValue) * kRateUnit);
    load.arrivals = MilliCores(reader.Next(kMaxEncodedValue) * kRateUnit);
    load.run_time_percent = static_cast<int>(reader.Next(kMaxPercent));
    load.wait_percent = std::clamp(static_cast<int>(reader.Next(kMaxPercent)),
                                   kMinWaitPercent, kMaxWaitPercent);
    summary.classes.push_back(load);
  }
  if (!known_version || reader.failed() || !reader.AtEnd())
    return Fail(ErrorKind::kBadRequest, "the load summary is not valid");
  return summary;
}

WorkClass WorkClassOf(const JobRecord& record) {
  return {record.terms.priority,
          std::any_of(record.spec.steps.begin(), record.spec.steps.end(),
                      [](const StepSpec& step) { return step.best_effort; })};
}

CpuTime WorkOf(const StepSpec& step, int task_count) {
  const auto milliseconds_each =
      std::chrono::duration_cast<milliseconds>(step.declared_run_time).count();
  const double work = static_cast<double>(step.need.cpu.value()) / 1000 *
                      static_cast<double>(milliseconds_each) * task_count;
  // Declared values are not limited; their product may exceed 64 bits.
  constexpr double kMaxWork = 1e15;
  return CpuTime(static_cast<std::int64_t>(std::clamp(work, 0.0, kMaxWork)));
}

std::optional<JobDemand> DemandOf(const JobRecord& record) {
  const JobSpec& spec = record.spec;
  if (spec.repetitions > 0) return std::nullopt;
  JobDemand demand{.work_class = WorkClassOf(record),
                   .work = CpuTime(0),
                   .critical_path = std::min(CriticalPath(spec), kMaxDeclared),
                   .objective = std::min(record.terms.objective, kMaxDeclared)};
  std::int64_t work = 0;
  for (const StepSpec& step : spec.steps) {
    if (step.long_running) return std::nullopt;
    work += WorkOf(step, step.task_count).value();
  }
  demand.work = CpuTime(work);
  if (work == 0 || demand.objective <= Duration{0}) return std::nullopt;
  return demand;
}

Duration TimeFor(CpuTime work, MilliCores rate) {
  const double milliseconds_needed = static_cast<double>(work.value()) * 1000 /
                                     static_cast<double>(rate.value());
  const double max = static_cast<double>(kMaxTime / milliseconds(1));
  return milliseconds(
      static_cast<std::int64_t>(std::min(milliseconds_needed, max)));
}

std::optional<LoadEstimate> EstimateCompletion(const LoadSummary& summary,
                                               Duration age,
                                               const JobDemand& demand) {
  if (age > kMaxSummaryAge) return std::nullopt;
  const ClassLoad* own = summary.Find(demand.work_class);
  if (own == nullptr || own->rate.value() <= 0) return std::nullopt;
  std::int64_t ahead =
      SumAhead(summary, demand.work_class, &ClassLoad::queued).value();
  if (ahead > 0) {
    const std::int64_t growth =
        SumAhead(summary, demand.work_class, &ClassLoad::arrivals).value() -
        own->rate.value();
    ahead += growth * (std::max(age, Duration{0}) / milliseconds(1)) / 1000;
  }
  LoadEstimate estimate;
  if (ahead > 0) {
    estimate.wait =
        Percent(TimeFor(CpuTime(ahead), own->rate), own->wait_percent);
  }
  // The tasks of a job start one after another once it alone fills the
  // processors; otherwise its critical path decides.
  estimate.completion =
      estimate.wait +
      std::max(Percent(demand.critical_path, own->run_time_percent),
               TimeFor(demand.work, own->rate));
  return estimate;
}

}  // namespace gypsumfall
