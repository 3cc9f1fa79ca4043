#include "pomelomill/workspaces/fair_share.h"

#include <algorithm>
#include <limits>

namespace pomelomill {

double FairLevel(std::vector<WeightedDemand> demands, double capacity) {
  std::sort(demands.begin(), demands.end(),
            [](const WeightedDemand& a, const WeightedDemand& b) {
              return a.demand * b.weight < b.demand * a.weight;
            });
  double weights = 0;
  for (const WeightedDemand& it : demands) weights += it.weight;
  double left = std::max(capacity, 0.0);
  for (const WeightedDemand& it : demands) {
    if (it.demand * weights > left * it.weight) return left / weights;
    left -= it.demand;
    weights -= it.weight;
  }
  return std::numeric_limits<double>::infinity();
}

}  // namespace pomelomill
