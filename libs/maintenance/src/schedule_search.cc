#include "pomelomill/maintenance/schedule_search.h"

#include <algorithm>

namespace pomelomill {

std::optional<std::uint32_t> FindFewestRounds(
    std::uint32_t count, const std::function<bool(std::uint32_t)>& is_allowed) {
  constexpr std::uint32_t kMaxVms = 14;
  constexpr std::uint32_t kUnreachable = UINT32_MAX;
  if (count > kMaxVms) return std::nullopt;
  const std::uint32_t all = (1U << count) - 1;
  std::vector<bool> allowed(all + 1);
  for (std::uint32_t set = 0; set <= all; ++set) allowed[set] = is_allowed(set);
  std::vector<std::uint32_t> rounds(all + 1, kUnreachable);
  rounds[0] = 0;
  for (std::uint32_t done = 1; done <= all; ++done) {
    // The last round maintained an allowed subset of the VMs done so far.
    for (std::uint32_t last = done; last > 0; last = (last - 1) & done) {
      if (!allowed[last] || rounds[done & ~last] == kUnreachable) continue;
      rounds[done] = std::min(rounds[done], rounds[done & ~last] + 1);
    }
  }
  if (rounds[all] == kUnreachable) return std::nullopt;
  return rounds[all];
}

}  // namespace pomelomill
