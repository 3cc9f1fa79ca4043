#pragma once

#include <vector>

#include "matrix.h"

namespace pomelomill::faults {

/// Apply: operators replace the configuration, entries put it in force.
Group ApplyGroup();

/// Lease: entries compete for the control lease and write the region state.
Group LeaseGroup();

/// Dispatch, retry and response: routers of two entries over the fleet.
Group DispatchGroup();

/// Task start, renewal, checkpoint and cancel: the job scheduler over workers.
Group JobsGroup();

/// Membership, entry start and entry stop, claims, moves, and drain, stop and
/// return: three entries, each with its control side and its data plane, over
/// the fleet.
Group MembershipGroup();
Group EntryGroup();
Group ClaimGroup();
Group MoveGroup();
Group StopGroup();

/// The groups whose cores exist, in the order of the table.
const std::vector<Group>& AllGroups();

}  // namespace pomelomill::faults
