#ifndef GYPSUMFALL_RANKING_RANKING_H_
#define GYPSUMFALL_RANKING_RANKING_H_

/// @file
/// Decides in which order waiting steps are offered free workers. The library
/// does no I/O and reads no clock: the caller describes each waiting step as a
/// `StepDemand` and passes the current time. See docs/design/ranking.md.
///
/// Example:
/// @code
///   LossOrder order(LossTerms{});
///   const Ranking ranking = order.Rank(demands, capacities, now);
///   for (std::size_t position : ranking.order) Start(demands[position]);
/// @endcode

#include "gypsumfall/ranking/internal/loss_order.h"
#include "gypsumfall/ranking/internal/step_demand.h"
#include "gypsumfall/ranking/internal/step_order.h"

#endif  // GYPSUMFALL_RANKING_RANKING_H_
