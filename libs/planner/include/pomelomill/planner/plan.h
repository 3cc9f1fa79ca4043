#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "pomelomill/base/decision_log.h"
#include "pomelomill/base/ids.h"
#include "pomelomill/planner/pool_need.h"

namespace pomelomill {

/// One VM changes its pool. Execution drains and restarts the VM, so the
/// target pool gains capacity only after a cold start.
struct PoolMove {
  VmId vm;
  PoolId from;
  PoolId to;

  bool operator==(const PoolMove&) const = default;
};

/// The size that one pool should have, with the reasons for it.
struct PoolTarget {
  PoolNeed need;
  /// VMs in service in the pool at present, with moves on their way to it.
  std::uint32_t current = 0;
  /// VMs of the pool in its most populated rack and zone.
  std::uint32_t largest_rack = 0;
  std::uint32_t largest_zone = 0;
  /// VMs kept for a running wave: one while it has VMs of this pool to take.
  std::uint32_t wave = 0;
  /// VMs wanted in service: covers the peak, the loss of the largest rack or
  /// zone and the wave jointly, at the spread that the region allows.
  std::uint32_t size = 0;
};

/// The warm buffer that all pools of the region share.
struct BufferPlan {
  /// VMs in service beyond the mean demand, for all pools together.
  std::uint32_t size = 0;
  /// The same with a separate allowance for each event.
  std::uint32_t separate_size = 0;
  /// Buffer VMs by the pool that they are lent to.
  std::map<PoolId, std::uint32_t> lent;
};

/// What the planner wants done now.
struct Plan {
  /// At most `PlannerOptions::max_moves` together with the moves under way.
  std::vector<PoolMove> moves;
  /// Stopped VMs to be started, and idle VMs that no pool needs; both stay in
  /// their pool.
  std::vector<VmId> starts;
  std::vector<VmId> stops;
  std::map<PoolId, PoolTarget> pools;
  BufferPlan buffer;
  std::vector<Decision> decisions;
};

}  // namespace pomelomill
