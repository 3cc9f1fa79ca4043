#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace pomelomill {

/// The smallest number of rounds in which `count` VMs can be maintained when
/// every set of VMs that is out at once must satisfy `is_allowed` (bit i is
/// VM i). `is_allowed` must hold for all subsets of an allowed set. Returns
/// nullopt when no schedule exists or `count` is above 14.
std::optional<std::uint32_t> FindFewestRounds(
    std::uint32_t count, const std::function<bool(std::uint32_t)>& is_allowed);

}  // namespace pomelomill
