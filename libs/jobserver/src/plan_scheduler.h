#pragma once

#include <functional>

#include "pomelomill/base/timer_service.h"

namespace pomelomill {

/// Calls a plan when it is due, at most once in each `min_interval` for
/// changes.
///
/// Answers the load pattern of a pool at its peak: hundreds of reports a
/// second, each of which would cause a plan over all waiting jobs.
class PlanScheduler {
 public:
  /// `plan` is not called any more once this object is destroyed.
  PlanScheduler(TimerService& timers, Duration min_interval,
                std::function<void()> plan);
  ~PlanScheduler();
  PlanScheduler(const PlanScheduler&) = delete;
  PlanScheduler& operator=(const PlanScheduler&) = delete;

  /// Something has changed: plans as soon as `min_interval` permits.
  void Schedule();
  /// Plans no later than that time.
  void ScheduleAt(Instant when);

 private:
  TimerService& timers_;
  const Duration min_interval_;
  const std::function<void()> plan_;
  bool is_scheduled_ = false;
  /// Time of the scheduled plan.
  Instant due_at_{};
  /// Time of the latest plan.
  Instant planned_at_{};
  TimerId timer_ = 0;
};

}  // namespace pomelomill
