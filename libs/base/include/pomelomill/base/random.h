#pragma once

#include <cstdint>
#include <random>

namespace pomelomill {

/// A seeded generator that is handed to whatever needs random numbers, so
/// that a run can be repeated from its seed.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t Next() { return engine_(); }

  /// A number in [0, bound); 0 when `bound` is 0.
  std::uint64_t Below(std::uint64_t bound);

  /// A number in [0, 1).
  double Unit();

  /// True with probability `p` in [0, 1].
  bool Chance(double p) { return Unit() < p; }

  /// An exponentially distributed number with the given mean.
  double Exponential(double mean);

 private:
  std::mt19937_64 engine_;
};

}  // namespace pomelomill
