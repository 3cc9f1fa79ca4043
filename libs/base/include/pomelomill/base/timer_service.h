#pragma once

#include <cstdint>
#include <functional>

#include "pomelomill/base/time.h"

namespace pomelomill {

using TimerId = std::uint64_t;

/// The only source of time. Parts subscribe to moments; tests replace it by
/// VirtualTimerService. Not thread-safe: each thread has its own.
class TimerService {
 public:
  virtual ~TimerService() = default;

  virtual Instant Now() const = 0;

  /// Runs `callback` once at `when`, or as soon as possible when that has
  /// passed. Callbacks with equal times run in the order of scheduling.
  virtual TimerId ScheduleAt(Instant when, std::function<void()> callback) = 0;

  /// Drops the timer; a timer that has run or is unknown is ignored.
  virtual void Cancel(TimerId id) = 0;

  TimerId ScheduleAfter(Duration delay, std::function<void()> callback) {
    return ScheduleAt(Now() + delay, std::move(callback));
  }
};

}  // namespace pomelomill
