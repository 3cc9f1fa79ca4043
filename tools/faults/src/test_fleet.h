#pragma once

#include <map>
#include <memory>
#include <vector>

#include "callers.h"
#include "pomelomill/config.h"
#include "pomelomill/platform.h"

namespace pomelomill::faults {

/// The small fleet of the groups: pool "proof" with four VMs and pool "quote"
/// with two, in three zones with two racks each; queues "proof/layout"
/// (repeatable), "proof/order" (not repeatable) and "quote/price".

void AddFleet(testing::FakePlatform& platform);
std::shared_ptr<const Declarations> FleetDeclarations();
/// Region state of the whole fleet, without entries.
RegionState FleetState();
std::vector<CallerLoad> FleetLoads();
std::map<QueueId, QueueBudget> FleetBudgets();

/// Gives the entry a share, in place of its earlier incarnation.
void SetShare(RegionState& state, const EntryId& entry,
              const IncarnationId& incarnation);

}  // namespace pomelomill::faults
