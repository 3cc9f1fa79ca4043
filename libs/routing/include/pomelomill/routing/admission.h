#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "pomelomill/base.h"

namespace pomelomill {

/// State of one queue that scheduling and load shedding decide on.
struct QueueView {
  std::size_t waiting = 0;
  /// Deadline of the first waiting request; meaningful when `waiting` > 0.
  Instant front_deadline{};
  /// ErrorBudget::RemainingShare().
  double budget_left = 1;
};

/// Returns the index of the queue whose first request is served next, or none
/// when no queue has waiting requests. Earliest deadline first, with the slack
/// of a queue scaled down to a quarter as its error budget runs out: queues
/// with a small budget are preferred without starving the others.
std::optional<std::size_t> ChooseQueueToServe(
    const std::vector<QueueView>& queues, Instant now);

/// Returns the index of the queue to shed a request from, or none when no
/// queue has waiting requests: the queue with the largest remaining error
/// budget, and the first of several with the same budget.
std::optional<std::size_t> ChooseQueueToShed(
    const std::vector<QueueView>& queues);

}  // namespace pomelomill
