#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

#include "pomelomill/base/strong_id.h"

namespace pomelomill {

/// Customer that owns keys, a weight and a cap, and to which jobs belong.
using WorkspaceId = StrongId<struct WorkspaceIdTag>;

/// Resources of any number of tasks. Sums and differences saturate.
struct ResourceAmount {
  static constexpr std::uint64_t kUnlimited =
      std::numeric_limits<std::uint64_t>::max();

  std::uint64_t cpu_millis = 0;
  std::uint64_t memory_mb = 0;
  std::uint64_t gpus = 0;

  static constexpr ResourceAmount Unlimited() {
    return {kUnlimited, kUnlimited, kUnlimited};
  }

  bool operator==(const ResourceAmount&) const = default;
  /// Whether no resource exceeds that of `limit`.
  bool FitsInto(const ResourceAmount& limit) const {
    return cpu_millis <= limit.cpu_millis && memory_mb <= limit.memory_mb &&
           gpus <= limit.gpus;
  }
  bool IsZero() const { return *this == ResourceAmount{}; }
};

/// Returns the amount that `combine` returns for each resource.
template <typename Combine>
ResourceAmount CombineAmounts(const ResourceAmount& a, const ResourceAmount& b,
                              Combine combine) {
  return {combine(a.cpu_millis, b.cpu_millis),
          combine(a.memory_mb, b.memory_mb), combine(a.gpus, b.gpus)};
}

inline std::uint64_t SaturatingAdd(std::uint64_t a, std::uint64_t b) {
  return a > ResourceAmount::kUnlimited - b ? ResourceAmount::kUnlimited
                                            : a + b;
}

inline std::uint64_t SaturatingSubtract(std::uint64_t a, std::uint64_t b) {
  return a - std::min(a, b);
}

inline ResourceAmount operator+(const ResourceAmount& a,
                                const ResourceAmount& b) {
  return CombineAmounts(a, b, SaturatingAdd);
}

inline ResourceAmount operator-(const ResourceAmount& a,
                                const ResourceAmount& b) {
  return CombineAmounts(a, b, SaturatingSubtract);
}

inline ResourceAmount Min(const ResourceAmount& a, const ResourceAmount& b) {
  return CombineAmounts(
      a, b, [](std::uint64_t x, std::uint64_t y) { return std::min(x, y); });
}

inline ResourceAmount Max(const ResourceAmount& a, const ResourceAmount& b) {
  return CombineAmounts(
      a, b, [](std::uint64_t x, std::uint64_t y) { return std::max(x, y); });
}

/// What a pool runs of a workspace and what waits there.
struct WorkspaceUse {
  ResourceAmount used;
  /// Of tasks that are ready and not placed.
  ResourceAmount waiting;
};

}  // namespace pomelomill
