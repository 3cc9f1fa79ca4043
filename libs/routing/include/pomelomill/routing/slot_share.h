#pragma once

#include <cstdint>
#include <vector>

#include "pomelomill/base.h"
#include "pomelomill/platform.h"

namespace pomelomill {

/// How many of `total` slots (or connections) of one VM belong to the entry.
/// The parts of all entries add up to exactly `total` for each VM. Remainders
/// rotate with the hash of the VM's id, so that an entry whose exact part is
/// below one slot still owns a slot on some VMs of the pool. 0 for an entry
/// or incarnation that is not listed or whose share is joining or leaving.
std::uint32_t ShareOf(const std::vector<EntryShare>& shares,
                      const EntryId& entry, const IncarnationId& incarnation,
                      const VmId& vm, std::uint32_t total);

}  // namespace pomelomill
