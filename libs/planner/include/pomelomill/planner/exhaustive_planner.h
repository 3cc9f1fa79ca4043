#pragma once

#include <cstdint>
#include <optional>

#include "pomelomill/planner/planner.h"

namespace pomelomill {

/// Cost of one assignment of VMs to pools. Lower is better; members are
/// compared in their order.
struct AssignmentCost {
  /// VMs that the pools lack for their mean demand or declared minimum size, in
  /// total.
  std::uint32_t base_shortage = 0;
  /// Queues whose pool cannot serve their peak, or cannot lose its largest
  /// rack or zone, or cannot release a VM to a wave.
  std::uint32_t uncovered_queues = 0;
  /// Moves that lead from the present assignment to this one.
  std::uint32_t moves = 0;

  // clang-tidy 14 mistakes the rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const AssignmentCost&) const = default;
};

/// The lowest cost over all assignments, by exhaustive search; nullopt if there
/// are more than `max_assignments`. VMs that are not movable keep their pool.
std::optional<AssignmentCost> FindOptimum(const PlannerInput& input,
                                          const PlannerOptions& options,
                                          std::uint64_t max_assignments);

/// The cost of the assignment after all starts, moves and stops of `plan`,
/// which must have been made from the same `input`.
AssignmentCost EvaluatePlan(const PlannerInput& input,
                            const PlannerOptions& options, const Plan& plan);

}  // namespace pomelomill
