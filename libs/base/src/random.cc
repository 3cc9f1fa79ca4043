#include "pomelomill/base/random.h"

#include <cmath>

namespace pomelomill {

std::uint64_t Random::Below(std::uint64_t bound) {
  if (bound == 0) return 0;
  // Rejection keeps the result free of modulo bias; std::uniform_int
  // distributions are not the same on every standard library.
  const std::uint64_t limit = UINT64_MAX - UINT64_MAX % bound;
  std::uint64_t n = engine_();
  while (n >= limit) n = engine_();
  return n % bound;
}

double Random::Unit() {
  return static_cast<double>(engine_() >> 11) * 0x1.0p-53;
}

double Random::Exponential(double mean) { return -mean * std::log1p(-Unit()); }

}  // namespace pomelomill
