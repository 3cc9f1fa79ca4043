#include "plan_scheduler.h"

#include <algorithm>
#include <utility>

namespace pomelomill {

PlanScheduler::PlanScheduler(TimerService& timers, Duration min_interval,
                             std::function<void()> plan)
    : timers_(timers), min_interval_(min_interval), plan_(std::move(plan)) {}

PlanScheduler::~PlanScheduler() { timers_.Cancel(timer_); }

void PlanScheduler::Schedule() {
  ScheduleAt(std::max(timers_.Now(), planned_at_ + min_interval_));
}

void PlanScheduler::ScheduleAt(Instant when) {
  if (is_scheduled_ && due_at_ <= when) return;
  timers_.Cancel(timer_);
  is_scheduled_ = true;
  due_at_ = when;
  timer_ = timers_.ScheduleAt(when, [this] {
    is_scheduled_ = false;
    planned_at_ = timers_.Now();
    plan_();
  });
}

}  // namespace pomelomill
