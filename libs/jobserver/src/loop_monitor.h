#pragma once

#include <functional>
#include <memory>

#include "pomelomill/base/event_log.h"
#include "pomelomill/base/timer_service.h"

namespace pomelomill {

struct LoopMonitorHooks {
  /// Receives by how much the sampling timer fired late, ten times a second.
  std::function<void(Duration)> on_sample;
  EventHook event;
};

/// Measures the event loop delay of this process: the time between the due time
/// of a timer and the time at which it fires. Logs the event "process delayed"
/// at most once a second while the delay is 250 ms or more.
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
