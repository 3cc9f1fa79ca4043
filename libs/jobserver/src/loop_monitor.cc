#include "loop_monitor.h"

#include <algorithm>
#include <string>
#include <utility>

namespace pomelomill {
namespace {

constexpr Duration kSamplePeriod = std::chrono::milliseconds(100);
/// Timers normally fire within a few milliseconds of their due time; a process
/// whose timers are this late is overloaded or was suspended.
constexpr Duration kLogThreshold = std::chrono::milliseconds(250);
constexpr Duration kMinLogInterval = std::chrono::seconds(1);

}  // namespace

class LoopMonitor::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(TimerService& timers, LoopMonitorHooks hooks)
      : timers_(timers), hooks_(std::move(hooks)) {}

  void Start() {
    const Instant due = timers_.Now() + kSamplePeriod;
    timer_ = timers_.ScheduleAt(due, [weak = weak_from_this(), due] {
      const auto self = weak.lock();
      if (self != nullptr) self->OnSample(due);
    });
  }

  void Halt() {
    hooks_ = {};
    timers_.Cancel(timer_);
  }

 private:
  void OnSample(Instant due) {
    const Instant now = timers_.Now();
    const Duration delay = now - due;
    if (hooks_.on_sample) hooks_.on_sample(delay);
    max_delay_ = std::max(max_delay_, delay);
    if (max_delay_ >= kLogThreshold && now - logged_at_ >= kMinLogInterval) {
      logged_at_ = now;
      if (hooks_.event)
        hooks_.event("process", "delayed",
                     {{"ms", std::to_string(ToMillis(max_delay_))}});
      max_delay_ = Duration(0);
    }
    Start();
  }

  TimerService& timers_;
  LoopMonitorHooks hooks_;
  TimerId timer_ = 0;
  /// Longest delay since the last log line.
  Duration max_delay_{};
  Instant logged_at_{};
};

LoopMonitor::LoopMonitor(TimerService& timers, LoopMonitorHooks hooks)
    : impl_(std::make_shared<Impl>(timers, std::move(hooks))) {}

LoopMonitor::~LoopMonitor() { impl_->Halt(); }

void LoopMonitor::Start() { impl_->Start(); }

}  // namespace pomelomill
