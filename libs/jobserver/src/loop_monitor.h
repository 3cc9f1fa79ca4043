#pragma once

#include <functional>
#include <memory>

#include "pomelomill/base/event_log.h"
#include "pomelomill/base/timer_service.h"

namespace pomelomill {

struct LoopMonitorHooks {
  /// How late a timer of this process ran; called ten times a second.
  std::function<void(Duration)> on_sample;
  EventHook event;
};

/// Measures how far this process is behind: the delay between the time for
/// which a timer was set and the time at which it ran. Writes "process delayed"
/// at most once a second while the delay is long.
class LoopMonitor {
 public:
  LoopMonitor(TimerService& timers, LoopMonitorHooks hooks);
  ~LoopMonitor();
  LoopMonitor(const LoopMonitor&) = delete;
  LoopMonitor& operator=(const LoopMonitor&) = delete;

  void Start();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
