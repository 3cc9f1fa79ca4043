#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace pomelomill {

/// Returns the smallest number of rounds in which `count` VMs can be maintained
/// if `is_allowed` must hold for each set of VMs that is out at the same time.
/// A set is a bit mask in which bit i is VM i; every subset of an allowed set
/// must be allowed. Returns nullopt when there is no schedule or when `count`
/// is above 14. Exhaustive search, meant as the reference in tests.
std::optional<std::uint32_t> FindFewestRounds(
    std::uint32_t count, const std::function<bool(std::uint32_t)>& is_allowed);

}  // namespace pomelomill
