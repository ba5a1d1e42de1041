#include "gypsumfall/ranking/ranking.h"

#include <array>
#include <catch2/catch.hpp>
#include <vector>

namespace gypsumfall {
namespace {

using Positions = std::vector<std::size_t>;

constexpr Time kNow{seconds(100)};

/// A step of a job of 4 s on its critical path, with an objective of 9 s.
StepDemand Step(double remaining_work, double job_work) {
  return {.priority = 2,
          .objective = kNow + seconds(9),
          .objective_length = seconds(9),
          .remaining_critical_path = seconds(4),
          .remaining_work = CoreSeconds(remaining_work),
          .job_work = CoreSeconds(job_work),
          .mean_work = CoreSeconds(100),
          .ready_since = kNow};
}

StepDemand LateStep(double remaining_work, double job_work) {
  StepDemand step = Step(remaining_work, job_work);
  step.objective = kNow + seconds(1);
  return step;
}

Ranking RankByLoss(const std::vector<StepDemand>& queue, double cores) {
  return LossOrder(LossTerms{})
      .Rank(queue, {{{.priority = 2, .cores = Cores(cores)}}}, kNow);
}

}  // namespace

// Guards against a step of lower priority that delays one of higher priority
// because it is worth more.
TEST_CASE("no order ranks a step before one of higher priority") {
  std::vector<StepDemand> queue = {Step(1, 400), LateStep(1000, 1000)};
  queue[1].priority = 0;
  CHECK(RankByLoss(queue, 1).order == Positions{1, 0});
  CHECK(ShortestWorkOrder().Rank(queue, {}, kNow).order == Positions{1, 0});
  CHECK(ValuePerWorkOrder(LossTerms{}).Rank(queue, {}, kNow).order ==
        Positions{1, 0});
}

// Guards against work for jobs that miss their objectives anyway while others
// can still be on time.
TEST_CASE("steps on time precede late ones, and these overdue ones") {
  StepDemand overdue = LateStep(1, 100);
  overdue.objective = kNow - seconds(30);
  CHECK(RankByLoss({overdue, LateStep(10, 100), Step(300, 300)}, 1).order ==
        Positions{2, 1, 0});
}

// Guards against late jobs that could all have been on time: without a lack of
// capacity the sequence of objectives is best.
TEST_CASE("the objective decides while the work fits, the loss otherwise") {
  std::vector<StepDemand> queue = {Step(200, 200), Step(20, 200)};
  queue[0].objective -= seconds(1);
  CHECK(RankByLoss(queue, 1000).order == Positions{0, 1});
  CHECK(RankByLoss(queue, 1000).passed_over == 0);
  const Ranking overloaded = RankByLoss(queue, 10);
  CHECK(overloaded.overloaded == std::vector<int>{2});
  CHECK(overloaded.order == Positions{1, 0});
  CHECK(overloaded.passed_over == 1);
}

// Guards against an overload that is not seen because the work is in jobs whose
// tasks all run, or is declared too short.
TEST_CASE("committed work and the ratio of run times use capacity") {
  std::vector<StepDemand> queue = {Step(300, 300), Step(200, 200)};
  const std::array<PriorityCapacity, 1> busy = {
      {{2, Cores(100), CoreSeconds(200)}}};
  CHECK(RankByLoss(queue, 100).overloaded.empty());
  CHECK(LossOrder(LossTerms{}).Rank(queue, busy, kNow).overloaded.size() == 1);
  for (StepDemand& step : queue) step.run_time_ratio = 1.4;
  CHECK(RankByLoss(queue, 100).overloaded.size() == 1);
}

// Guards against the order of late jobs by objective, in which a large job with
// all its work to do delays one of which a task is left.
TEST_CASE("late steps are ordered by value for remaining work") {
  StepDemand earlier = LateStep(400, 400);
  earlier.objective -= milliseconds(500);
  CHECK(RankByLoss({earlier, LateStep(10, 100)}, 1000).order ==
        Positions{1, 0});
}

// Guards against the starvation of a large job, and against a backlog of late
// jobs that moves up as a whole and displaces those that can be on time.
TEST_CASE("a share of the steps that waited too long moves up") {
  std::vector<StepDemand> queue = {Step(10, 100), LateStep(400, 400),
                                   LateStep(400, 400)};
  queue[1].ready_since = kNow - seconds(10);
  queue[2].ready_since = kNow - seconds(11);
  LossOrder order{LossTerms{}};
  const std::array<PriorityCapacity, 1> capacities = {{{2, Cores(2000)}}};
  const Ranking first = order.Rank(queue, capacities, kNow);
  CHECK(first.moved_up == Positions{2});
  CHECK(first.order.front() == 2);
  queue[2].moved_up = true;
  // 400 core-seconds are 3 % of what 2000 cores do in 6.7 s.
  CHECK(order.Rank(queue, capacities, kNow + seconds(6)).moved_up.empty());
  CHECK(order.Rank(queue, capacities, kNow + seconds(7)).moved_up ==
        Positions{1});
  // A step that no worker could run would use up the share.
  queue[1].has_places = false;
  CHECK(order.Rank(queue, capacities, kNow + seconds(60)).moved_up !=
        Positions{1});
}

// Guards against serving tasks that start later than today because finite work
// is reordered.
TEST_CASE("long-running steps keep the place that they have by objective") {
  StepDemand serving = Step(0, 0);
  serving.long_running = true;
  serving.objective = kNow + seconds(8);
  std::vector<StepDemand> queue = {Step(10, 100), serving, Step(300, 300)};
  queue[2].objective = kNow + seconds(7);
  CHECK(ObjectiveOrder().Rank(queue, {}, kNow).order == Positions{2, 1, 0});
  CHECK(RankByLoss(queue, 1).order == Positions{0, 1, 2});
}

}  // namespace gypsumfall
