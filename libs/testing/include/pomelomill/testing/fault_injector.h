#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "pomelomill/base/time.h"
#include "pomelomill/testing/fake_process.h"
#include "pomelomill/testing/fault.h"

namespace pomelomill::testing {

/// A fault at the n-th passage of a step, counted over all processes.
struct ArmedFault {
  std::string step;
  Fault fault = Fault::kNone;
  std::uint32_t occurrence = 1;

  bool operator==(const ArmedFault&) const = default;
};

/// How long faults last.
struct FaultDurations {
  /// From a crash to the restart of the process.
  Duration restart = std::chrono::seconds(2);
  /// Longer than any lease of the scenarios, so that a holder wakes without
  /// its lease.
  Duration pause = std::chrono::seconds(25);
  /// Forward jump of a process clock.
  Duration clock_jump = std::chrono::seconds(25);
  /// Relative error of a drifting clock; the cores allow 1%.
  double clock_drift = 0.005;
};

/// One passage of a step.
struct StepPassage {
  Instant at;
  std::string step;
  std::string process;
  std::uint32_t occurrence = 0;
  Fault fault = Fault::kNone;
};

/// Decides at each named step whether a fault happens there. It carries out
/// faults of the process by itself, hands faults of the surroundings to
/// `on_environment`, and returns faults on one message to the fake that
/// transports the message.
class FaultInjector {
 public:
  explicit FaultInjector(VirtualTimerService& world) : world_(world) {}

  void Arm(ArmedFault fault) { armed_.push_back(std::move(fault)); }

  /// The process is about to pass `step`. When the fault is a crash before
  /// the step, the process is not running any more on return; when it is a
  /// pause, the process is paused and the step must wait until it wakes.
  Fault Before(const std::string& step, FakeProcess& process);

  /// The process has passed a step for which Before() returned `fault`.
  void After(Fault fault, FakeProcess& process);

  /// Carries out a fault of the surroundings at a step of this process.
  std::function<void(Fault, FakeProcess&)> on_environment;
  FaultDurations durations;

  /// All steps that were passed, in order.
  const std::vector<StepPassage>& passages() const { return passages_; }
  /// Number of armed faults that have happened.
  std::uint32_t fired() const { return fired_; }

 private:
  void CrashAndRestart(FakeProcess& process);
  void PauseAndWake(FakeProcess& process);

  VirtualTimerService& world_;
  std::vector<ArmedFault> armed_;
  std::map<std::string, std::uint32_t> counts_;
  std::vector<StepPassage> passages_;
  std::uint32_t fired_ = 0;
};

}  // namespace pomelomill::testing
