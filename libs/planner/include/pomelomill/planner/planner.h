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

/// One region as the control lease holder sees it.
struct PlannerInput {
  std::shared_ptr<const Declarations> declarations;
  /// Holds the assignment, the open intents and the waves.
  std::shared_ptr<const RegionState> state;
  /// Queues that are absent get the declared prior.
  std::map<QueueId, QueueDemand> demand;
  std::set<VmId> in_maintenance;
  std::set<VmId> lost;
};

class Assignment;

struct PlannerOptions {
  NeedOptions need;
  /// Moves under way at any time. Each one takes a VM out of service for a
  /// cold start.
  std::uint32_t max_moves = 4;
  /// A pool gives VMs away only while its need at this multiple of its demand
  /// is still met, so that a small change of demand does not move them back.
  double donor_demand_scale = 1.1;
  /// The demand that a plan is based on follows the measured demand once it
  /// has risen or fallen by more than these shares; smaller changes move
  /// nothing.
  double demand_rise = 0.08;
  double demand_fall = 0.15;
  /// The same for what is left of a budget, which varies more.
  double budget_change = 0.25;
  /// A VM is not moved again within this time.
  Duration dwell = std::chrono::minutes(10);
  /// A surplus must have lasted this long before VMs are stopped; some cold
  /// starts, so that a stop saves more than the start after it costs.
  Duration stop_after = std::chrono::minutes(5);
  /// Whether idle VMs may be stopped at all. VMs of a pool that a running wave
  /// still has VMs to take from are never stopped.
  bool stops_idle_vms = true;
};

/// Assigns the VMs of one region to its pools. Keeps only soft state (the
/// demand planned for, since when a shortage or a surplus has lasted), so that
/// a new holder of the control lease may start with an empty planner: it then
/// waits longer.
class Planner {
 public:
  explicit Planner(PlannerOptions options = {});

  /// The moves to make now, the target sizes and the shared buffer. A
  /// shortage of VMs leads to moves once it has lasted longer than the cold
  /// start of the pool, because a shorter one ends before a moved VM serves;
  /// VMs lost or in maintenance are replaced at once when the mean demand is
  /// no longer served. Returns an empty plan when the input is incomplete.
  pomelomill::Plan Plan(const PlannerInput& input, Instant now);

 private:
  PlannerOptions options_;
  struct Memory {
    std::optional<Instant> short_since;
    std::optional<Instant> surplus_since;
    /// Whether the wait for a lasting shortage is already recorded.
    bool is_wait_recorded = false;
    /// The size last recorded.
    std::uint32_t size = 0;
  };

  /// The demand to plan for, see `demand_rise`.
  std::map<QueueId, QueueDemand> FollowDemand(const PlannerInput& input);
  /// Which pools are short or have idle VMs, and for how long.
  void Remember(const Assignment& assignment, Instant now);
  bool IsLasting(const Assignment& assignment, int receiver, bool for_mean,
                 Instant now, pomelomill::Plan& plan);
  void PlanStarts(Assignment& assignment, Instant now, pomelomill::Plan& plan);
  void PlanMoves(Assignment& assignment, Instant now, pomelomill::Plan& plan);
  void PlanStops(Assignment& assignment, Instant now, pomelomill::Plan& plan);
  void PlanSizes(const Assignment& assignment, Instant now,
                 pomelomill::Plan& plan);

  std::map<QueueId, QueueDemand> planned_;
  std::map<PoolId, Memory> memory_;
  std::map<VmId, Instant> moved_at_;
};

}  // namespace pomelomill
