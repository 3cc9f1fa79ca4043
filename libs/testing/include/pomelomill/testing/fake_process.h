#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/base/virtual_timer_service.h"

namespace pomelomill::testing {

enum class ProcessChange { kCrash, kRestart, kPause, kWake };

/// When a process stopped or began to run code.
struct ProcessEvent {
  Instant at;
  ProcessChange change = ProcessChange::kCrash;
};

/// One process of a test: a clock of its own over the time of the world, and
/// everything that runs inside the process. A crash drops all timers and all
/// callbacks under way; a pause defers them until the process wakes.
class FakeProcess : public TimerService {
 public:
  FakeProcess(std::string name, VirtualTimerService& world);
  FakeProcess(const FakeProcess&) = delete;
  FakeProcess& operator=(const FakeProcess&) = delete;
  ~FakeProcess() override;

  /// Time of this process's clock.
  Instant Now() const override;
  TimerId ScheduleAt(Instant when, std::function<void()> callback) override;
  void Cancel(TimerId id) override;

  /// A function that runs `callback` inside the process: later if the process
  /// is paused, never if it has crashed since this call.
  std::function<void()> Bind(std::function<void()> callback);

  /// Runs `callback` inside run number `run`, under the conditions of Bind().
  void RunInside(std::uint64_t run, std::function<void()> callback);

  /// Runs `on_start` now and after every restart. It builds the state of the
  /// process anew; the state of the crashed run is destroyed there at the
  /// latest, so that a crash may be ordered from inside that state.
  void Start(std::function<void()> on_start);

  void Crash();
  /// Begins a new run; ignored while the process runs.
  void Restart();
  void Pause();
  void Wake();

  /// The clock runs at `rate` times the speed of the world from now on.
  void SetClockRate(double rate);
  /// Moves the clock forward, as after a suspension that timers did not see.
  void JumpClock(Duration by);

  const std::string& name() const { return name_; }
  bool is_running() const { return is_running_; }
  bool is_paused() const { return is_paused_; }
  /// Counts runs, starting with 1.
  std::uint64_t run() const { return run_; }
  VirtualTimerService& world() { return world_; }
  const std::vector<ProcessEvent>& events() const { return events_; }

 private:
  struct Timer {
    Instant when;
    TimerId world_id = 0;
    std::function<void()> callback;
  };

  void Arm(TimerId id, Timer& timer);
  void Rebase();
  void RearmAll();

  std::string name_;
  VirtualTimerService& world_;
  std::function<void()> on_start_;
  bool is_running_ = true;
  bool is_paused_ = false;
  std::uint64_t run_ = 1;
  double rate_ = 1;
  Instant world_base_;
  Instant local_base_;
  TimerId next_id_ = 1;
  std::map<TimerId, Timer> timers_;
  std::deque<std::function<void()>> deferred_;
  std::vector<ProcessEvent> events_;
};

}  // namespace pomelomill::testing
