#pragma once

#include "pomelomill/platform/platform_client.h"

namespace pomelomill {

/// Tolerance of comparisons, far below one millicore and one kilobyte. Sums
/// of doubles drift by less than this.
inline constexpr double kResourceTolerance = 1e-6;

inline Resources operator+(const Resources& a, const Resources& b) {
  return {a.cores + b.cores, a.memory_mb + b.memory_mb,
          a.accelerators + b.accelerators};
}

inline Resources operator-(const Resources& a, const Resources& b) {
  return {a.cores - b.cores, a.memory_mb - b.memory_mb,
          a.accelerators - b.accelerators};
}

/// True when `size` is at most `room` in every dimension.
inline bool Fits(const Resources& size, const Resources& room) {
  return size.cores <= room.cores + kResourceTolerance &&
         size.memory_mb <= room.memory_mb + kResourceTolerance &&
         size.accelerators <= room.accelerators + kResourceTolerance;
}

}  // namespace pomelomill
