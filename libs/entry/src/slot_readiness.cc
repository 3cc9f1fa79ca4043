#include "slot_readiness.h"

#include <algorithm>
#include <utility>

#include "pomelomill/platform/region_state.h"
#include "pomelomill/routing/events.h"

namespace pomelomill {

const EntryShare* FindShare(const RegionState& state,
                            const IncarnationId& incarnation) {
  const auto it = std::find_if(state.shares.begin(), state.shares.end(),
                               [&](const EntryShare& share) {
                                 return share.incarnation == incarnation;
                               });
  return it == state.shares.end() ? nullptr : &*it;
}

SlotReadiness::SlotReadiness(IncarnationId self) : self_(std::move(self)) {}

void SlotReadiness::Update(const RegionState& state, const LoadReport& load) {
  const EntryShare* own = FindShare(state, self_);
  if (own == nullptr || own->phase != SharePhase::kActive) {
    has_slots_ = false;
    return;
  }
  const bool has_endpoints = std::any_of(
      state.vms.begin(), state.vms.end(),
      [](const auto& it) { return it.second.phase == VmPhase::kActive; });
  const bool reports_slots =
      std::any_of(load.pools.begin(), load.pools.end(), [](const auto& it) {
        return it.second.free_slots + it.second.in_flight > 0;
      });
  has_slots_ = has_slots_ || reports_slots || !has_endpoints;
}

}  // namespace pomelomill
