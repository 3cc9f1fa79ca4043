#pragma once

#include <vector>

namespace pomelomill {

/// What one participant may get at most, and its weight (greater than 0).
struct WeightedDemand {
  double weight = 1;
  double demand = 0;
};

/// Returns the amount per unit of weight that weighted max-min fairness gives
/// to each participant whose demand is not met: a participant gets its demand
/// or `weight` times the result, whichever is less, and all together get
/// `capacity`. Infinite when the capacity meets all demands.
double FairLevel(std::vector<WeightedDemand> demands, double capacity);

}  // namespace pomelomill
