#pragma once

#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/config/declarations.h"
#include "pomelomill/platform/platform_client.h"
#include "pomelomill/platform/region_state.h"

namespace pomelomill {

class VmListTracker;

/// The records that may be adopted: of VMs that a pool names, and of others
/// once three successive lists have shown them. One wrong list must not bring a
/// VM into a pool under an id that does not exist.
std::vector<VmRecord> SettledVms(const std::vector<VmRecord>& listed,
                                 const VmListTracker& tracker,
                                 const Declarations& declarations);

/// Adds listed VMs that the region state does not hold. Each joins the pool
/// that names it, otherwise the pool of the region that lacks most VMs of its
/// declared size, otherwise the spare pool. Returns the VMs added; a VM that
/// is leaving is not added.
std::vector<VmId> AdoptVms(RegionState* state, const Declarations& declarations,
                           const std::vector<VmRecord>& listed);

/// Follows what the lists say about VMs that no intent is working on: a VM
/// that is missing is lost, one that the platform takes away gets no new work,
/// and one that has come back or was restarted is active in its new
/// generation. Endpoints are probed by each entry before they get work again.
void FollowVmList(RegionState* state, const VmListTracker& tracker);

}  // namespace pomelomill
