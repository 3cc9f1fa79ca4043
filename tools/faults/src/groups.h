#pragma once

#include <vector>

#include "matrix.h"

namespace pomelomill::faults {

/// Dispatch, retry and response: routers of two entries over the fleet.
Group DispatchGroup();

/// The groups whose cores exist, in the order of the table.
const std::vector<Group>& AllGroups();

}  // namespace pomelomill::faults
