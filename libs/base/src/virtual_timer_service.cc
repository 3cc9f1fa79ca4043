#include "pomelomill/base/virtual_timer_service.h"

#include <algorithm>

namespace pomelomill {

TimerId VirtualTimerService::ScheduleAt(Instant when,
                                        std::function<void()> callback) {
  const TimerId id = next_id_++;
  when = std::max(when, now_);
  timers_.emplace(Key{when, id}, std::move(callback));
  times_.emplace(id, when);
  return id;
}

void VirtualTimerService::Cancel(TimerId id) {
  const auto it = times_.find(id);
  if (it == times_.end()) return;
  timers_.erase(Key{it->second, id});
  times_.erase(it);
}

void VirtualTimerService::Advance(Duration delay) {
  const Instant end = now_ + delay;
  while (!timers_.empty() && timers_.begin()->first.first <= end) RunNext();
  now_ = std::max(now_, end);
}

bool VirtualTimerService::RunNext() {
  if (timers_.empty()) return false;
  auto node = timers_.extract(timers_.begin());
  times_.erase(node.key().second);
  now_ = node.key().first;
  node.mapped()();
  return true;
}

}  // namespace pomelomill
