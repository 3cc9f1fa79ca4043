#pragma once

#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/config/declarations.h"
#include "pomelomill/platform/platform_client.h"
#include "pomelomill/platform/region_state.h"

namespace pomelomill {

class VmListTracker;

/// The records of `listed` that may be added to the region state: VMs that a
/// pool declares by id, and other VMs once three successive lists have
/// contained them. A single wrong list must not add a VM under an id that does
/// not exist.
std::vector<VmRecord> AdoptableVms(const std::vector<VmRecord>& listed,
                                   const VmListTracker& tracker,
                                   const Declarations& declarations);

/// Adds listed VMs that the region state does not contain and returns their
/// ids. A VM joins the pool that declares it by id; otherwise the pool of the
/// region with the largest deficit from its declared size; otherwise the spare
/// pool. VMs that are leaving are not added.
std::vector<VmId> AdoptVms(RegionState* state, const Declarations& declarations,
                           const std::vector<VmRecord>& listed);

/// Updates VMs without an intent from the VM list: a missing VM becomes lost, a
/// VM that is leaving is drained, and a VM that has come back or was restarted
/// becomes active in its new generation. This needs no health check here, since
/// each entry probes an endpoint before it sends requests again.
void ReconcileWithVmList(RegionState* state, const VmListTracker& tracker);

}  // namespace pomelomill
