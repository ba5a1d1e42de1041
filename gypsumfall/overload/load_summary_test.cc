#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>

#include "gypsumfall/overload/overload.h"

namespace gypsumfall {
namespace {

constexpr WorkClass kBestEffort{.priority = 2, .best_effort = true};

// Guards against a leader row that outgrows its share of the store's traffic,
// and against fields that a host of another version cannot read.
TEST_CASE("a summary is restored from its text, which is short") {
  LoadSummary summary{.made_at = StoreTime(milliseconds(9'999'999'999'999)),
                      .classes = {}};
  for (int priority = 96; priority < 100; ++priority) {
    summary.classes.push_back({.work_class = {priority, true},
                               .queued = CpuTime(999'999'900),
                               .running = CpuTime(999'999'900),
                               .rate = MilliCores(99'999'990),
                               .arrivals = MilliCores(99'999'990),
                               .run_time_percent = 999,
                               .wait_percent = kMaxWaitPercent});
  }
  const std::string text = EncodeLoad(summary);
  CHECK(text.size() <= kMaxEncodedLoadBytes);
  CHECK(DecodeLoad(text) == summary);
  summary.classes[0].queued = CpuTime(1'000'000'000'000);
  CHECK(EncodeLoad(summary).size() <= kMaxEncodedLoadBytes);
  for (const char* bad : {"", "2 5", "1 5 0", "1 x", "1 5 0 0 1 1 1 1 1 -1"})
    CHECK_FALSE(DecodeLoad(bad));
}

// Feeds a meter with best-effort tasks that are done at `rate` while `ready`
// work waits.
LoadSummary Measure(LoadMeter& meter, Time& now, Duration time, CpuTime ready,
                    MilliCores rate) {
  LoadSummary summary;
  for (const Time end = now + time; now < end; now += seconds(1)) {
    for (int i = 1; i <= 10; ++i) {
      meter.OnTasksDone(kBestEffort, CpuTime(rate.value() / 10),
                        now - seconds(1) + i * milliseconds(100));
    }
    summary = meter.Summarize({{kBestEffort, {.ready = ready}}},
                              MilliCores(900'000), StoreTime(seconds(1)), now);
  }
  return summary;
}

// Guards against a rate that is taken from free cores, of which serving tasks
// leave only a part, and from the demand before the backlog.
TEST_CASE("the rate of best-effort work is what was done while tasks waited") {
  LoadMeter meter;
  Time now{seconds(100)};
  const JobDemand demand{kBestEffort, CpuTime(1000), seconds(4), seconds(9)};
  LoadSummary summary =
      Measure(meter, now, seconds(20), CpuTime(0), MilliCores(50'000));
  CHECK_FALSE(EstimateCompletion(summary, seconds(1), demand));
  const CpuTime backlog(2'000'000);
  summary = Measure(meter, now, seconds(2), backlog, MilliCores(100'000));
  CHECK_FALSE(EstimateCompletion(summary, seconds(1), demand));
  summary = Measure(meter, now, seconds(20), backlog, MilliCores(100'000));
  CHECK(std::abs(summary.Find(kBestEffort)->rate.value() - 100'000) < 15'000);
  const auto estimate = EstimateCompletion(summary, seconds(0), demand);
  REQUIRE(estimate);
  CHECK(std::chrono::abs(estimate->wait - seconds(20)) < seconds(3));
}

// Guards against a correction that grows without bounds when the estimates are
// wrong for another reason.
TEST_CASE("the correction of waits is bounded") {
  const int factor = GENERATE(0, 10);
  LoadMeter meter;
  Time now{seconds(100)};
  const JobDemand demand{kBestEffort, CpuTime(1000), seconds(4), seconds(9)};
  LoadSummary summary;
  for (int i = 0; i < 200; ++i) {
    summary = Measure(meter, now, seconds(4), CpuTime(1'000'000),
                      MilliCores(100'000));
    const JobId job("job" + std::to_string(i));
    meter.OnAccepted(job, demand, now);
    meter.OnEnded(job, true, now, now + factor * seconds(10) + seconds(4));
  }
  CHECK(summary.Find(kBestEffort)->wait_percent ==
        (factor == 0 ? kMinWaitPercent : kMaxWaitPercent));
}

}  // namespace
}  // namespace gypsumfall
