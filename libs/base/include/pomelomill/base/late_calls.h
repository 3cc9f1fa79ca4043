#pragma once

#include <chrono>

#include "pomelomill/base/time.h"

namespace pomelomill {

/// A call to the platform or to a worker that got no answer may still be
/// carried out for this long after it has ended. The platform says "seconds
/// later" and names no bound.
inline constexpr Duration kLateCallLifetime = std::chrono::seconds(13);

}  // namespace pomelomill
