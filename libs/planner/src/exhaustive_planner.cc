#include "pomelomill/planner/exhaustive_planner.h"

#include <algorithm>
#include <vector>

#include "assignment.h"

namespace pomelomill {
namespace {

class Search {
 public:
  Search(Assignment assignment, std::vector<int> movable)
      : assignment_(std::move(assignment)),
        movable_(std::move(movable)),
        best_(assignment_.Cost()) {}

  AssignmentCost Run() {
    Visit(0, 0);
    return best_;
  }

 private:
  void Visit(std::size_t depth, std::uint32_t moves) {
    if (depth == movable_.size()) {
      AssignmentCost cost = assignment_.Cost();
      cost.moves = moves;
      best_ = std::min(best_, cost);
      return;
    }
    const int vm = movable_[depth];
    const int home = assignment_.vms()[vm].pool;
    Visit(depth + 1, moves);
    for (std::size_t pool = 0; pool < assignment_.pools().size(); ++pool) {
      if (static_cast<int>(pool) == home) continue;
      const AssignedVm before = assignment_.vms()[vm];
      assignment_.Move(vm, static_cast<int>(pool));
      Visit(depth + 1, moves + 1);
      assignment_.Restore(vm, before);
    }
  }

  Assignment assignment_;
  std::vector<int> movable_;
  AssignmentCost best_;
};

}  // namespace

std::optional<AssignmentCost> FindOptimum(const PlannerInput& input,
                                          const PlannerOptions& options,
                                          std::uint64_t max_assignments) {
  Assignment assignment(input, options);
  std::vector<int> movable;
  std::uint64_t assignments = 1;
  for (std::size_t i = 0; i < assignment.vms().size(); ++i) {
    if (!assignment.vms()[i].is_movable) continue;
    movable.push_back(static_cast<int>(i));
    assignments *= assignment.pools().size();
    if (assignments > max_assignments) return std::nullopt;
  }
  return Search(std::move(assignment), std::move(movable)).Run();
}

AssignmentCost EvaluatePlan(const PlannerInput& input,
                            const PlannerOptions& options, const Plan& plan) {
  Assignment assignment(input, options);
  const auto vm_index = [&](const VmId& id) {
    const auto& vms = assignment.vms();
    const auto it = std::find_if(vms.begin(), vms.end(),
                                 [&](const auto& vm) { return vm.id == id; });
    return static_cast<int>(it - vms.begin());
  };
  for (const VmId& it : plan.starts) assignment.Start(vm_index(it));
  for (const PoolMove& it : plan.moves) {
    const auto& pools = assignment.pools();
    const auto pool =
        std::find_if(pools.begin(), pools.end(), [&](const auto& candidate) {
          return candidate.declaration->id == it.to;
        });
    assignment.Move(vm_index(it.vm), static_cast<int>(pool - pools.begin()));
  }
  for (const VmId& it : plan.stops) assignment.Stop(vm_index(it));
  AssignmentCost cost = assignment.Cost();
  cost.moves = static_cast<std::uint32_t>(plan.moves.size());
  return cost;
}

}  // namespace pomelomill
