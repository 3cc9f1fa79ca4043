#include "pomelomill/routing/slot_share.h"

namespace pomelomill {

std::uint32_t ShareOf(const std::vector<EntryShare>& shares,
                      const EntryId& entry, const IncarnationId& incarnation,
                      const VmId& vm, std::uint32_t total) {
  std::uint64_t sum = 0;
  std::uint64_t before = 0;
  std::uint64_t weight = 0;
  for (const EntryShare& share : shares) {
    if (share.entry == entry && share.incarnation == incarnation) {
      // The weight of a joining or leaving entry counts in the sum, but its
      // slots stay unused.
      before = sum;
      weight = share.phase == SharePhase::kActive ? share.weight : 0;
    }
    sum += share.weight;
  }
  if (weight == 0) return 0;
  // Systematic sampling: the boundaries between the entries' shares are shifted
  // by one offset per VM and rounded down.
  const std::uint64_t offset = StableHash(vm.value()) % sum;
  const std::uint64_t first = (before * total + offset) / sum;
  const std::uint64_t last = ((before + weight) * total + offset) / sum;
  return static_cast<std::uint32_t>(last - first);
}

}  // namespace pomelomill
