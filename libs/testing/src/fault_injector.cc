#include "pomelomill/testing/fault_injector.h"

#include <utility>

namespace pomelomill::testing {

Fault FaultInjector::Before(const std::string& step, FakeProcess& process) {
  const std::uint32_t occurrence = ++counts_[step];
  Fault fault = Fault::kNone;
  for (const ArmedFault& it : armed_) {
    if (it.step == step && it.occurrence == occurrence) fault = it.fault;
  }
  passages_.push_back({world_.Now(), step, process.name(), occurrence, fault});
  if (fault == Fault::kNone) return fault;
  ++fired_;
  switch (fault) {
    case Fault::kCrashBefore:
      CrashAndRestart(process);
      break;
    case Fault::kPauseBefore:
      PauseAndWake(process);
      break;
    case Fault::kClockJump:
      process.JumpClock(durations.clock_jump);
      break;
    case Fault::kClockFast:
      process.SetClockRate(1 + durations.clock_drift);
      break;
    case Fault::kClockSlow:
      process.SetClockRate(1 - durations.clock_drift);
      break;
    case Fault::kStoreDown:
    case Fault::kStoreUnreachable:
    case Fault::kStoreSlow:
    case Fault::kConflictingWrite:
    case Fault::kPartitionOut:
    case Fault::kPartitionIn:
    case Fault::kPartitionBoth:
    case Fault::kVmListStale:
    case Fault::kVmListWrong:
    case Fault::kVmLost:
    case Fault::kRackLost:
    case Fault::kZoneLost:
      if (on_environment) on_environment(fault, process);
      break;
    default:
      break;
  }
  return fault;
}

void FaultInjector::After(Fault fault, FakeProcess& process) {
  if (fault == Fault::kCrashAfter) CrashAndRestart(process);
  if (fault == Fault::kPauseAfter) PauseAndWake(process);
}

void FaultInjector::CrashAndRestart(FakeProcess& process) {
  if (!process.is_running()) return;
  process.Crash();
  world_.ScheduleAfter(durations.restart, [&process] { process.Restart(); });
}

void FaultInjector::PauseAndWake(FakeProcess& process) {
  process.Pause();
  world_.ScheduleAfter(durations.pause, [&process] { process.Wake(); });
}

}  // namespace pomelomill::testing
