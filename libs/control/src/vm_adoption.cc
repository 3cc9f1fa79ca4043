#include "pomelomill/control/vm_adoption.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "pomelomill/platform/vm_list_tracker.h"

namespace pomelomill {
namespace {

/// Successive lists that must contain a VM that no pool declares by id.
constexpr std::size_t kMinListsBeforeAdoption = 3;

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

std::optional<PoolId> PoolWithLargestDeficit(const Declarations& declarations,
                                             const RegionId& region,
                                             const PoolSizes& sizes) {
  std::optional<PoolId> best;
  std::uint32_t largest_deficit = 0;
  std::optional<PoolId> spare;
  for (const auto& [id, pool] : declarations.pools) {
    if (pool.region != region) continue;
    if (pool.is_spare && !spare) spare = id;
    const auto it = sizes.find(id);
    const std::uint32_t n = it == sizes.end() ? 0 : it->second;
    const std::uint32_t deficit = pool.size > n ? pool.size - n : 0;
    if (deficit > largest_deficit) {
      best = id;
      largest_deficit = deficit;
    }
  }
  return best ? best : spare;
}

}  // namespace

std::vector<VmRecord> AdoptableVms(const std::vector<VmRecord>& listed,
                                   const VmListTracker& tracker,
                                   const Declarations& declarations) {
  std::set<VmId> named;
  for (const auto& [id, pool] : declarations.pools)
    named.insert(pool.vms.begin(), pool.vms.end());
  std::vector<VmRecord> adoptable;
  for (const VmRecord& it : listed) {
    const TrackedVm* tracked = tracker.Find(it.id);
    const bool is_confirmed =
        tracked != nullptr && tracked->lists >= kMinListsBeforeAdoption;
    if (is_confirmed || named.contains(it.id)) adoptable.push_back(it);
  }
  return adoptable;
}

std::vector<VmId> AdoptVms(RegionState* state, const Declarations& declarations,
                           const std::vector<VmRecord>& listed) {
  const auto declared = DeclaredPools(declarations, state->region);
  // A VM that a pool declares by id counts towards the pool's size before it is
  // listed, so that no other VM is adopted in its place.
  PoolSizes sizes;
  for (const auto& [id, vm] : state->vms) ++sizes[vm.pool];
  for (const auto& [id, pool] : declared) {
    if (!state->vms.contains(id)) ++sizes[pool];
  }

  std::vector<const VmRecord*> undeclared;
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
      undeclared.push_back(&record);
    } else {
      --sizes[it->second];
      add(record, it->second);
    }
  }
  for (const VmRecord* record : undeclared) {
    if (state->vms.contains(record->id)) continue;
    const auto pool =
        PoolWithLargestDeficit(declarations, state->region, sizes);
    if (pool) add(*record, *pool);
  }
  return adopted;
}

void ReconcileWithVmList(RegionState* state, const VmListTracker& tracker) {
  std::set<VmId> vms_with_intent;
  for (const auto& [id, intent] : state->intents)
    vms_with_intent.insert(intent.vm);
  for (auto& [id, vm] : state->vms) {
    const TrackedVm* tracked = tracker.Find(id);
    if (tracked == nullptr || vms_with_intent.contains(id)) continue;
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
