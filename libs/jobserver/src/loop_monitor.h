#pragma once

#include <functional>
#include <memory>

#include "pomelomill/base/event_log.h"
#include "pomelomill/base/timer_service.h"

namespace pomelomill {

struct LoopMonitorHooks {
  /// Receives by how much the sampling timer fired late. The next sample is due
  /// 100 ms after each.
  std::function<void(Duration)> on_sample;
  EventHook event;
};

/// Measures the event loop delay of this process: the time between the due time
/// of a timer and the time at which it fires. When a timer was 250 ms late or
/// more, logs the event "process delayed" with the longest delay since the
/// previous such line, in milliseconds; at most once a second.
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
