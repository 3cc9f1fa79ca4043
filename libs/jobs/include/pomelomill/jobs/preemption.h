#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "pomelomill/jobs/job_events.h"
#include "pomelomill/jobs/place_ledger.h"

namespace pomelomill {

/// One way to free room: an operation on the task that holds a place.
struct VictimOption {
  PlaceNumber place;
  TaskOperation operation = TaskOperation::kStop;
  Resources frees;
  /// Core-seconds of work lost or delayed.
  double cost = 0;
};

struct PreemptionPlan {
  WorkerIndex worker = kNoWorker;
  std::vector<VictimOption> victims;
  std::uint32_t stops = 0;
  double cost = 0;
  /// Best plan on another worker, for the decision record.
  WorkerIndex runner_up = kNoWorker;
  std::uint32_t runner_up_stops = 0;
  double runner_up_cost = 0;
};

/// Options of the tasks on one worker, in any order; several options for one
/// place are allowed, of which at most one is used.
using VictimOptions = std::function<std::vector<VictimOption>(WorkerIndex)>;

/// Finds the worker on which `size` gets room with the fewest stops and, among
/// equals, the least cost. Looks at all workers with enough leaving room first
/// and works out at most `max_candidates` further ones, beginning at `first`.
PreemptionPlan PlanPreemption(
    const PlaceLedger& ledger, const Resources& size,
    const VictimOptions& options,
    const std::function<bool(WorkerIndex)>& is_allowed, WorkerIndex first,
    std::uint32_t max_candidates);

}  // namespace pomelomill
