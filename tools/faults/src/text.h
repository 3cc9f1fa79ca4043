#pragma once

#include <sstream>
#include <string>

#include "pomelomill/base/time.h"

namespace pomelomill::faults {

/// The parts written one after the other.
template <typename... Parts>
std::string Text(const Parts&... parts) {
  std::ostringstream out;
  (out << ... << parts);
  return out.str();
}

/// "12.345 s" since the start of the cell.
inline std::string AtText(Instant at) {
  const auto ms = ToMillis(at.time_since_epoch());
  std::ostringstream out;
  out << ms / 1000 << '.' << (ms % 1000) / 100 << (ms % 100) / 10 << ms % 10
      << " s";
  return out.str();
}

}  // namespace pomelomill::faults
