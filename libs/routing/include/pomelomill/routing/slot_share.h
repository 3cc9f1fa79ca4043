#pragma once

#include <cstdint>
#include <vector>

#include "pomelomill/base.h"
#include "pomelomill/platform.h"

namespace pomelomill {

/// Returns how many of `total` slots (or connections) of a VM are assigned to
/// the entry, in proportion to its weight. The counts of all entries add up to
/// exactly `total` for each VM. The rounding depends on a hash of the VM id, so
/// that an entry whose exact share is below one slot still gets a slot on some
/// VMs of the pool. Returns 0 for an entry or incarnation that is not listed or
/// whose share is joining or leaving.
std::uint32_t ShareOf(const std::vector<EntryShare>& shares,
                      const EntryId& entry, const IncarnationId& incarnation,
                      const VmId& vm, std::uint32_t total);

}  // namespace pomelomill
