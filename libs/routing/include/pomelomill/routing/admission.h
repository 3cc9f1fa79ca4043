#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "pomelomill/base.h"

namespace pomelomill {

/// One queue of a pool as scheduling and shedding see it.
struct QueueView {
  std::size_t waiting = 0;
  /// Deadline of the first waiting request; used when `waiting` > 0.
  Instant front_deadline{};
  /// BudgetAccount::Left().
  double budget_left = 1;
};

/// Index of the queue whose first request is served next; none when nothing
/// waits. A queue with a spent budget is served as if its slack was a quarter,
/// so that a tight budget goes first without starving the others.
std::optional<std::size_t> ChooseQueueToServe(
    const std::vector<QueueView>& queues, Instant now);

/// Index of the queue to shed from: the one with the most budget left among
/// those with waiting requests, the first of equals.
std::optional<std::size_t> ChooseQueueToShed(
    const std::vector<QueueView>& queues);

}  // namespace pomelomill
