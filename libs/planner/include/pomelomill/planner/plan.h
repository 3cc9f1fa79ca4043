#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "pomelomill/base/decision_log.h"
#include "pomelomill/base/ids.h"
#include "pomelomill/planner/pool_need.h"

namespace pomelomill {

/// A move of one VM to another pool. The VM is drained and restarted, so the
/// target pool gains capacity only after a cold start.
struct PoolMove {
  VmId vm;
  PoolId from;
  PoolId to;

  bool operator==(const PoolMove&) const = default;
};

/// The size that one pool should have, with the figures that it follows from.
struct PoolTarget {
  PoolNeed need;
  /// VMs in service in the pool, including those being moved to it.
  std::uint32_t current = 0;
  /// VMs of the pool in its most populated rack and zone.
  std::uint32_t largest_rack = 0;
  std::uint32_t largest_zone = 0;
  /// VMs reserved for waves: 1 while a waiting or running wave has VMs of this
  /// pool pending, else 0.
  std::uint32_t wave_reserve = 0;
  /// Target number of VMs in service. Covers each single event: a peak, the
  /// loss of the largest rack or zone, or a wave, with the VMs spread evenly
  /// over the racks and zones of the region.
  std::uint32_t size = 0;
};

/// The warm buffer of the region: VMs in service beyond the mean demand.
struct BufferPlan {
  /// Buffer VMs of all pools.
  std::uint32_t size = 0;
  /// Buffer VMs of all pools if the allowances for a peak, a zone loss and a
  /// wave were added up; for comparison.
  std::uint32_t separate_size = 0;
  /// Buffer VMs of each pool.
  std::map<PoolId, std::uint32_t> size_by_pool;
};

/// Actions to take now, with the figures that they follow from.
struct Plan {
  /// Together with the moves under way, at most `PlannerOptions::max_moves`.
  std::vector<PoolMove> moves;
  /// Stopped VMs to start in their pool.
  std::vector<VmId> starts;
  /// Idle VMs to stop; they stay in their pool.
  std::vector<VmId> stops;
  std::map<PoolId, PoolTarget> pools;
  BufferPlan buffer;
  std::vector<Decision> decisions;
};

}  // namespace pomelomill
