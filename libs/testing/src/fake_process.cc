#include "pomelomill/testing/fake_process.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace pomelomill::testing {

FakeProcess::FakeProcess(std::string name, VirtualTimerService& world)
    : name_(std::move(name)),
      world_(world),
      world_base_(world.Now()),
      local_base_(world.Now()) {}

FakeProcess::~FakeProcess() {
  for (auto& [id, timer] : timers_) world_.Cancel(timer.world_id);
}

Instant FakeProcess::Now() const {
  const Duration elapsed = world_.Now() - world_base_;
  if (rate_ == 1) return local_base_ + elapsed;
  return local_base_ + Duration(static_cast<Duration::rep>(std::floor(
                           static_cast<double>(elapsed.count()) * rate_)));
}

TimerId FakeProcess::ScheduleAt(Instant when, std::function<void()> callback) {
  const TimerId id = next_id_++;
  // A run that has crashed may still be on the stack; its timers are void.
  if (!is_running_) return id;
  Timer& timer = timers_[id];
  timer.when = when;
  timer.callback = std::move(callback);
  Arm(id, timer);
  return id;
}

void FakeProcess::Cancel(TimerId id) {
  const auto it = timers_.find(id);
  if (it == timers_.end()) return;
  world_.Cancel(it->second.world_id);
  timers_.erase(it);
}

void FakeProcess::Arm(TimerId id, Timer& timer) {
  Duration delay = std::max(timer.when - Now(), Duration(0));
  if (rate_ != 1 && delay > Duration(0)) {
    // One nanosecond more, so that the local clock has reached the time of
    // the timer in spite of rounding.
    delay = Duration(static_cast<Duration::rep>(
                std::ceil(static_cast<double>(delay.count()) / rate_))) +
            Duration(1);
  }
  timer.world_id = world_.ScheduleAfter(delay, [this, id] {
    const auto it = timers_.find(id);
    if (it == timers_.end()) return;
    if (is_paused_) {
      // It stays cancellable while it waits for the process to wake.
      deferred_.push_back([this, id] {
        const auto due = timers_.find(id);
        if (due == timers_.end()) return;
        auto late = std::move(due->second.callback);
        timers_.erase(due);
        late();
      });
      return;
    }
    auto due = std::move(it->second.callback);
    timers_.erase(it);
    due();
  });
}

std::function<void()> FakeProcess::Bind(std::function<void()> callback) {
  return [this, run = run_, callback = std::move(callback)]() mutable {
    RunInside(run, std::move(callback));
  };
}

void FakeProcess::RunInside(std::uint64_t run, std::function<void()> callback) {
  if (!is_running_ || run != run_) return;
  if (is_paused_) {
    deferred_.push_back([this, run, callback = std::move(callback)]() mutable {
      RunInside(run, std::move(callback));
    });
    return;
  }
  callback();
}

void FakeProcess::Start(std::function<void()> on_start) {
  on_start_ = std::move(on_start);
  on_start_();
}

void FakeProcess::Crash() {
  if (!is_running_) return;
  events_.push_back({world_.Now(), ProcessChange::kCrash});
  is_running_ = false;
  is_paused_ = false;
  for (auto& [id, timer] : timers_) world_.Cancel(timer.world_id);
  timers_.clear();
  deferred_.clear();
}

void FakeProcess::Restart() {
  if (is_running_) return;
  events_.push_back({world_.Now(), ProcessChange::kRestart});
  is_running_ = true;
  ++run_;
  if (on_start_) on_start_();
}

void FakeProcess::Pause() {
  if (!is_running_ || is_paused_) return;
  events_.push_back({world_.Now(), ProcessChange::kPause});
  is_paused_ = true;
}

void FakeProcess::Wake() {
  if (!is_paused_) return;
  events_.push_back({world_.Now(), ProcessChange::kWake});
  is_paused_ = false;
  while (!deferred_.empty() && is_running_ && !is_paused_) {
    auto next = std::move(deferred_.front());
    deferred_.pop_front();
    next();
  }
}

void FakeProcess::SetClockRate(double rate) {
  Rebase();
  rate_ = rate;
  RearmAll();
}

void FakeProcess::JumpClock(Duration by) {
  Rebase();
  local_base_ += by;
  RearmAll();
}

void FakeProcess::Rebase() {
  local_base_ = Now();
  world_base_ = world_.Now();
}

void FakeProcess::RearmAll() {
  std::vector<std::pair<Instant, TimerId>> order;
  for (auto& [id, timer] : timers_) {
    world_.Cancel(timer.world_id);
    order.emplace_back(timer.when, id);
  }
  std::sort(order.begin(), order.end());
  for (const auto& [when, id] : order) Arm(id, timers_.at(id));
}

}  // namespace pomelomill::testing
