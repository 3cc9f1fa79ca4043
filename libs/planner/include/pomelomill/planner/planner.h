#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/result.h"
#include "pomelomill/base/time.h"
#include "pomelomill/config/declarations.h"
#include "pomelomill/planner/plan.h"
#include "pomelomill/planner/pool_need.h"
#include "pomelomill/platform/region_state.h"

namespace pomelomill {

/// State of one region as known to the control lease holder.
struct PlannerInput {
  std::shared_ptr<const Declarations> declarations;
  /// Contains the assignment of VMs, the open intents and the waves.
  std::shared_ptr<const RegionState> state;
  /// Measured demand. A queue without an entry gets its declared demand.
  std::map<QueueId, QueueDemand> demand;
  /// VMs that a wave is working on; they count as capacity but are not moved.
  std::set<VmId> in_maintenance;
  /// VMs that the platform no longer lists; they do not count as capacity.
  std::set<VmId> lost;
};

class Assignment;

/// Limits and hysteresis of the planner.
struct PlannerOptions {
  NeedOptions need;
  /// Maximum number of moves under way. Each move takes a VM out of service
  /// for a cold start.
  std::uint32_t max_moves = 4;
  /// A pool releases VMs only while it still meets its need at this multiple
  /// of its demand, so that a small rise of demand does not move them back.
  double donor_demand_scale = 1.1;
  /// The planned demand is set to the measured demand when the latter has risen
  /// or fallen by more than these shares; smaller changes are ignored, so that
  /// they cause no moves.
  double demand_rise_threshold = 0.08;
  double demand_fall_threshold = 0.15;
  /// The threshold for a rise or fall of the remaining budget, which varies
  /// more than the demand.
  double budget_change_threshold = 0.25;
  /// Minimum time between two moves of one VM.
  Duration min_time_between_moves = std::chrono::minutes(10);
  /// A pool must have had more VMs than it needs for this long before VMs are
  /// stopped. Several cold starts long, so that a stop saves more than the next
  /// start costs.
  Duration min_surplus_duration = std::chrono::minutes(5);
  /// Whether idle VMs may be stopped. VMs are never stopped while a running
  /// wave has VMs of their pool pending.
  bool stops_idle_vms = true;
};

/// Assigns the VMs of one region to its pools. Keeps soft state only: the
/// planned demand, the start of each shortage and surplus, and recent moves. A
/// new holder of the control lease starts with an empty planner, which delays
/// moves and stops because these times start again.
class Planner {
 public:
  explicit Planner(PlannerOptions options = {});

  /// The moves, starts and stops to make now, the target sizes and the buffer.
  /// A shortage of VMs leads to moves once it has lasted for the cold start of
  /// the pool, because a shorter shortage ends before a moved VM can serve.
  /// Lost VMs are replaced at once if the pool can no longer serve its mean
  /// demand. Returns an empty plan if the declarations or the region state are
  /// missing.
  pomelomill::Plan Plan(const PlannerInput& input, Instant now);

 private:
  PlannerOptions options_;
  /// Soft state of one pool.
  struct PoolHistory {
    /// Start of the present shortage; empty while there is none.
    std::optional<Instant> shortage_since;
    /// Start of the present surplus; empty while there is none.
    std::optional<Instant> surplus_since;
    /// Whether a decision to wait out the present shortage was recorded.
    bool is_wait_recorded = false;
    /// The target size in the last recorded decision.
    std::uint32_t recorded_size = 0;
  };

  /// The demand to plan for, see `PlannerOptions::demand_rise_threshold`.
  std::map<QueueId, QueueDemand> ApplyDemandHysteresis(
      const PlannerInput& input);
  /// Updates the start times of shortages and surpluses, and drops moves older
  /// than `PlannerOptions::min_time_between_moves`.
  void UpdateHistory(const Assignment& assignment, Instant now);
  /// Whether VMs may be moved to `receiver` now: its shortage has lasted for a
  /// cold start, or it lacks VMs for its mean demand because VMs were lost.
  /// Otherwise records the decision to wait, once for each shortage.
  bool IsMoveDue(const Assignment& assignment, int receiver,
                 bool for_mean_demand, Instant now, pomelomill::Plan& plan);
  void PlanStarts(Assignment& assignment, Instant now, pomelomill::Plan& plan);
  void PlanMoves(Assignment& assignment, Instant now, pomelomill::Plan& plan);
  void PlanStops(Assignment& assignment, Instant now, pomelomill::Plan& plan);
  void PlanSizes(const Assignment& assignment, Instant now,
                 pomelomill::Plan& plan);

  std::map<QueueId, QueueDemand> planned_demand_;
  std::map<PoolId, PoolHistory> history_;
  std::map<VmId, Instant> moved_at_;
};

}  // namespace pomelomill
