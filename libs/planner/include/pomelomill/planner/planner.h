#pragma once

#include <cstdint>
#include <map>
#include <memory>
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

struct PlannerOptions {
  NeedOptions need;
  /// Moves under way at any time. Each one takes a VM out of service for a
  /// cold start.
  std::uint32_t max_moves = 4;
  /// A pool gives VMs away only while its need at this multiple of its demand
  /// is still met, so that a small change of demand does not move them back.
  double donor_demand_scale = 1.1;
  /// A VM is not moved again within this time.
  Duration dwell = std::chrono::minutes(10);
  /// A surplus must have lasted this long before VMs are stopped.
  Duration stop_after = std::chrono::minutes(10);
  /// Whether idle VMs may be stopped at all.
  bool stops_idle_vms = true;
};

/// Assigns the VMs of one region to its pools. Keeps only soft state (since
/// when a shortage or a surplus has lasted), so that a new holder of the
/// control lease may start with an empty planner: it then waits longer.
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
  std::map<PoolId, Instant> short_since_;
  std::map<PoolId, Instant> surplus_since_;
  std::map<VmId, Instant> moved_at_;
};

}  // namespace pomelomill
