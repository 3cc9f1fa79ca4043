#pragma once

#include <vector>

#include "matrix.h"

namespace pomelomill::faults {

/// The groups whose cores exist, in the order of the table.
const std::vector<Group>& AllGroups();

}  // namespace pomelomill::faults
