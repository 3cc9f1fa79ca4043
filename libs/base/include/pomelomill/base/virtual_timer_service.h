#pragma once

#include <map>
#include <utility>

#include "pomelomill/base/timer_service.h"

namespace pomelomill {

/// Time that moves only when told to. Timers run in the order of their time,
/// then of their scheduling, so that a run can be repeated exactly.
class VirtualTimerService : public TimerService {
 public:
  Instant Now() const override { return now_; }
  TimerId ScheduleAt(Instant when, std::function<void()> callback) override;
  void Cancel(TimerId id) override;

  /// Moves time forward by `delay` and runs every timer that falls due on the
  /// way, including those scheduled by others while moving.
  void Advance(Duration delay);

  /// Runs the next timer and moves time to it; false when none is left.
  bool RunNext();

  std::size_t pending() const { return timers_.size(); }

 private:
  using Key = std::pair<Instant, TimerId>;

  Instant now_{};
  TimerId next_id_ = 1;
  std::map<Key, std::function<void()>> timers_;
  std::map<TimerId, Instant> times_;
};

}  // namespace pomelomill
