#pragma once

#include <cstdint>
#include <optional>

#include "pomelomill/planner/planner.h"

namespace pomelomill {

/// Value of one assignment of VMs to pools; less is better, in the order of
/// the members.
struct AssignmentCost {
  /// VMs missing for the mean demand, over all pools.
  std::uint32_t base_shortage = 0;
  /// Queues whose pool cannot hold their peak, or cannot lose its largest
  /// rack or zone.
  std::uint32_t uncovered_queues = 0;
  std::uint32_t moves = 0;

  // clang-tidy 14 takes the rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const AssignmentCost&) const = default;
};

/// The best cost over all assignments, by trying every one; nullopt when
/// there are more than `max_assignments`. VMs that may not move stay.
std::optional<AssignmentCost> FindOptimum(const PlannerInput& input,
                                          const PlannerOptions& options,
                                          std::uint64_t max_assignments);

/// The cost of the assignment after all moves of `plan`.
AssignmentCost EvaluatePlan(const PlannerInput& input,
                            const PlannerOptions& options, const Plan& plan);

}  // namespace pomelomill
