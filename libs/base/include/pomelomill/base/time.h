#pragma once

#include <chrono>
#include <cstdint>

namespace pomelomill {

using Duration = std::chrono::nanoseconds;

/// Tag of the monotonic clock that keeps counting while the machine is
/// suspended. It has no `now()`: time comes from a TimerService.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
};

/// A moment on the monotonic clock of this process. Not comparable between
/// processes.
using Instant = MonotonicClock::time_point;

/// Milliseconds, rounded down.
inline std::int64_t ToMillis(Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

inline double ToSeconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}

}  // namespace pomelomill
