#include "pomelomill/jobtesting/pausable_timers.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace pomelomill {

struct PausableTimers::State : public std::enable_shared_from_this<State> {
  explicit State(TimerService& base_timers) : base(base_timers) {}

  TimerService& base;
  std::map<TimerId, std::function<void()>> callbacks;
  /// Due, in their order.
  std::deque<TimerId> held;
  TimerId next = 1;
  Duration service_time{};
  Instant free_at{};
  bool is_paused = false;
  /// A callback that lets virtual time pass is interrupted by no other.
  bool is_running = false;
  bool is_drain_due = false;

  void Fire(TimerId id) {
    if (!callbacks.contains(id)) return;
    const bool is_free = !is_paused && !is_running && held.empty() &&
                         !is_drain_due && base.Now() >= free_at;
    if (is_free) return Run(id);
    held.push_back(id);
    DrainLater();
  }

  void Run(TimerId id) {
    const auto it = callbacks.find(id);
    if (it == callbacks.end()) return;
    const auto callback = std::move(it->second);
    callbacks.erase(it);
    is_running = true;
    callback();
    is_running = false;
    free_at = base.Now() + service_time;
    if (!held.empty()) DrainLater();
  }

  void DrainLater() {
    if (is_drain_due || is_paused || is_running) return;
    is_drain_due = true;
    base.ScheduleAt(std::max(free_at, base.Now()), [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self == nullptr) return;
      self->is_drain_due = false;
      self->Drain();
    });
  }

  void Drain() {
    // A callback that lets time pass ends the loop, or whoever advances time
    // would not get it back while more callbacks fall due.
    const Instant begin = base.Now();
    while (!is_paused && !is_running && !held.empty() && begin >= free_at &&
           base.Now() == begin) {
      const TimerId id = held.front();
      held.pop_front();
      Run(id);
    }
    if (!held.empty()) DrainLater();
  }
};

PausableTimers::PausableTimers(TimerService& base)
    : state_(std::make_shared<State>(base)) {}

PausableTimers::~PausableTimers() { state_->callbacks.clear(); }

Instant PausableTimers::Now() const { return state_->base.Now(); }

TimerId PausableTimers::ScheduleAt(Instant when,
                                   std::function<void()> callback) {
  const TimerId id = state_->next++;
  state_->callbacks[id] = std::move(callback);
  state_->base.ScheduleAt(when, [weak = std::weak_ptr(state_), id] {
    if (const auto state = weak.lock()) state->Fire(id);
  });
  return id;
}

void PausableTimers::Cancel(TimerId id) { state_->callbacks.erase(id); }

void PausableTimers::Pause() { state_->is_paused = true; }

void PausableTimers::Resume() {
  state_->is_paused = false;
  const auto state = state_;
  state->Drain();
}

void PausableTimers::SetServiceTime(Duration time) {
  state_->service_time = time;
}

std::size_t PausableTimers::backlog() const { return state_->held.size(); }

}  // namespace pomelomill
