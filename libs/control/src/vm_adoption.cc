#include "pomelomill/control/vm_adoption.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "pomelomill/platform/vm_list_tracker.h"

namespace pomelomill {
namespace {

constexpr std::size_t kListsToAdopt = 3;

using PoolSizes = std::map<PoolId, std::uint32_t>;

std::map<VmId, PoolId> DeclaredPools(const Declarations& declarations,
                                     const RegionId& region) {
  std::map<VmId, PoolId> pools;
  for (const auto& [id, pool] : declarations.pools) {
    if (pool.region != region) continue;
    for (const VmId& vm : pool.vms) pools.emplace(vm, id);
  }
  return pools;
}

std::optional<PoolId> NeediestPool(const Declarations& declarations,
                                   const RegionId& region,
                                   const PoolSizes& sizes) {
  std::optional<PoolId> best;
  std::uint32_t best_missing = 0;
  std::optional<PoolId> spare;
  for (const auto& [id, pool] : declarations.pools) {
    if (pool.region != region) continue;
    if (pool.is_spare && !spare) spare = id;
    const auto it = sizes.find(id);
    const std::uint32_t n = it == sizes.end() ? 0 : it->second;
    const std::uint32_t missing = pool.size > n ? pool.size - n : 0;
    if (missing > best_missing) {
      best = id;
      best_missing = missing;
    }
  }
  return best ? best : spare;
}

}  // namespace

std::vector<VmRecord> SettledVms(const std::vector<VmRecord>& listed,
                                 const VmListTracker& tracker,
                                 const Declarations& declarations) {
  std::set<VmId> named;
  for (const auto& [id, pool] : declarations.pools)
    named.insert(pool.vms.begin(), pool.vms.end());
  std::vector<VmRecord> settled;
  for (const VmRecord& it : listed) {
    const TrackedVm* tracked = tracker.Find(it.id);
    const bool is_settled =
        tracked != nullptr && tracked->lists >= kListsToAdopt;
    if (is_settled || named.contains(it.id)) settled.push_back(it);
  }
  return settled;
}

std::vector<VmId> AdoptVms(RegionState* state, const Declarations& declarations,
                           const std::vector<VmRecord>& listed) {
  const auto declared = DeclaredPools(declarations, state->region);
  // A VM that a pool names keeps its place also before it is listed, so that
  // an unknown id does not take it.
  PoolSizes sizes;
  for (const auto& [id, vm] : state->vms) ++sizes[vm.pool];
  for (const auto& [id, pool] : declared) {
    if (!state->vms.contains(id)) ++sizes[pool];
  }

  std::vector<const VmRecord*> open;
  std::vector<VmId> adopted;
  const auto add = [&](const VmRecord& record, const PoolId& pool) {
    state->vms.emplace(record.id, VmState{.pool = pool,
                                          .address = record.address,
                                          .zone = record.zone,
                                          .rack = record.rack,
                                          .generation = record.generation});
    ++sizes[pool];
    adopted.push_back(record.id);
  };
  for (const VmRecord& record : listed) {
    if (record.listing == VmListing::kLeaving || state->vms.contains(record.id))
      continue;
    const auto it = declared.find(record.id);
    if (it == declared.end()) {
      open.push_back(&record);
    } else {
      --sizes[it->second];
      add(record, it->second);
    }
  }
  for (const VmRecord* record : open) {
    if (state->vms.contains(record->id)) continue;
    const auto pool = NeediestPool(declarations, state->region, sizes);
    if (pool) add(*record, *pool);
  }
  return adopted;
}

void FollowVmList(RegionState* state, const VmListTracker& tracker) {
  std::set<VmId> in_work;
  for (const auto& [id, intent] : state->intents) in_work.insert(intent.vm);
  for (auto& [id, vm] : state->vms) {
    const TrackedVm* tracked = tracker.Find(id);
    if (tracked == nullptr || in_work.contains(id)) continue;
    const VmRecord& record = tracked->record;
    if (tracked->is_missing) {
      vm.phase = VmPhase::kLost;
      continue;
    }
    if (record.generation > vm.generation) {
      vm.generation = record.generation;
      vm.address = record.address;
    }
    if (record.listing == VmListing::kLeaving) {
      if (vm.phase == VmPhase::kActive) vm.phase = VmPhase::kDraining;
    } else if (vm.phase == VmPhase::kLost || vm.phase == VmPhase::kDraining) {
      vm.phase = VmPhase::kActive;
    }
  }
}

}  // namespace pomelomill
