#pragma once

#include <functional>
#include <map>
#include <memory>

#include "pomelomill/base/timer_service.h"

namespace pomelomill {

/// The timers of one process among several in one virtual time. While the
/// process is paused its callbacks are held back; its clock goes on, as the
/// clock that counts suspension does.
///
/// A process may also be short of processor time: then each callback occupies
/// it for a while, and those that fall due meanwhile wait in their order.
class PausableTimers : public TimerService {
 public:
  explicit PausableTimers(TimerService& base);
  /// No callback runs afterwards.
  ~PausableTimers() override;

  Instant Now() const override;
  TimerId ScheduleAt(Instant when, std::function<void()> callback) override;
  void Cancel(TimerId id) override;

  void Pause();
  /// Runs what was held back, in its order.
  void Resume();

  /// Time for which each callback occupies the process; 0 for none.
  void SetServiceTime(Duration time);
  /// Callbacks that are due and wait for the processor.
  std::size_t backlog() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace pomelomill
