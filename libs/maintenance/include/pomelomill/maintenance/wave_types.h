#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pomelomill/base/decision_log.h"
#include "pomelomill/base/ids.h"
#include "pomelomill/base/time.h"
#include "pomelomill/config/declarations.h"
#include "pomelomill/planner/pool_need.h"
#include "pomelomill/platform/region_state.h"

namespace pomelomill {

/// Maintenance window of a wave, relative to now. The caller converts wall
/// clock times such as "before 04:00".
struct WaveWindow {
  /// Zero or negative when the wave may run now.
  Duration until_start{};
  /// Absent when the wave has no deadline.
  std::optional<Duration> until_deadline;
};

/// One region as the holder of the control lease sees it.
struct WaveInput {
  std::shared_ptr<const Declarations> declarations;
  /// Contains the waves as the last step left them, and the open intents. A
  /// wave's intent whose step is `kDone` stays in the state until `Step` has
  /// returned it in `WaveStep::counted_intents`.
  std::shared_ptr<const RegionState> state;
  /// Measured demand; absent queues get the demand from their declaration.
  std::map<QueueId, QueueDemand> demand;
  /// VMs that do not answer although no operation has stopped them.
  std::set<VmId> lost_vms;
  /// Time since each VM's last maintenance; VMs that were never maintained are
  /// absent.
  std::map<VmId, Duration> time_since_maintenance;
  std::map<WaveId, WaveWindow> windows;
  /// Waves that have stopped by themselves and that an operator has resumed.
  std::set<WaveId> waves_to_resume;
};

enum class WaveActionKind {
  kStart,   ///< open an intent for `vm`
  kHold,    ///< no VM may be taken out of service now; see `reason`
  kStop,    ///< the wave has stopped because too many VMs have failed
  kResume,  ///< an operator has resumed the wave
  kDone,    ///< every VM of the wave is done or has failed
  kAtRisk,  ///< by the estimate, the wave will miss its deadline
};

struct WaveAction {
  WaveActionKind kind = WaveActionKind::kHold;
  WaveId wave;
  /// Set for `kStart` only, as is `intent_kind`.
  VmId vm;
  IntentKind intent_kind = IntentKind::kReboot;
  std::string reason;

  bool operator==(const WaveAction&) const = default;
};

/// Estimate of a wave's remaining duration.
struct WaveEstimate {
  /// Absent while the error budgets of some pool allow none of its VMs to be
  /// taken out of service.
  std::optional<Duration> remaining;
  /// Absent when the wave has no deadline.
  std::optional<bool> meets_deadline;
  /// Number of VMs that the error budgets allow to be out at a time, at
  /// present.
  std::uint32_t concurrency = 0;
  /// Number of successive batches of VMs in the pool that needs most of them.
  std::uint32_t rounds = 0;
};

/// Result of one step of the scheduler. In a single write, the caller replaces
/// the waves of the region state by `waves` and erases `counted_intents`, so
/// that no VM is counted or maintained twice when the control lease gets a new
/// holder.
struct WaveStep {
  std::vector<WaveAction> actions;
  std::map<WaveId, WaveState> waves;
  /// Completed intents whose VMs are counted in `waves`.
  std::vector<IntentId> counted_intents;
  std::map<WaveId, WaveEstimate> estimates;
  std::vector<Decision> decisions;
};

}  // namespace pomelomill
