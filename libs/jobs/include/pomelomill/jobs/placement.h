#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "pomelomill/jobs/place_ledger.h"

namespace pomelomill {

/// Tasks of one job in each rack and zone, by the ledger's indexes.
struct JobSpread {
  std::vector<std::uint16_t> racks;
  std::vector<std::uint16_t> zones;
  std::uint32_t tasks = 0;

  void Add(const WorkerRoom& worker);
  void Remove(const WorkerRoom& worker);
};

struct PlacementChoice {
  WorkerIndex worker = kNoWorker;
  /// Smaller is better, see ChoosePlacement.
  double score = 0;
  WorkerIndex runner_up = kNoWorker;
  double runner_up_score = 0;
};

/// Chooses a worker with room for `size` among those that `is_allowed` accepts.
/// The score is 4 times the share of the job's tasks in the worker's zone plus
/// 2 times the share in its rack plus the share of the worker that would stay
/// free in its scarcest dimension (best fit), so spread comes before fit.
PlacementChoice ChoosePlacement(
    const PlaceLedger& ledger, const Resources& size, const JobSpread& spread,
    const std::function<bool(WorkerIndex)>& is_allowed);

}  // namespace pomelomill
