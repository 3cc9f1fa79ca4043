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

/// The permitted time of a wave relative to now. The caller converts wall
/// clock times such as "before 04:00".
struct WaveWindow {
  /// Negative or zero: may run now.
  Duration until_start{};
  /// Absent: no deadline.
  std::optional<Duration> until_deadline;
};

/// One region as the control lease holder sees it.
struct WaveInput {
  std::shared_ptr<const Declarations> declarations;
  /// Holds the waves so far and the open intents. An intent of a wave stays
  /// in the state with step `kDone` until a step has counted it.
  std::shared_ptr<const RegionState> state;
  /// Queues that are absent get the declared prior.
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
  /// For `kStart` only.
  VmId vm;
  IntentKind intent_kind = IntentKind::kReboot;
  std::string reason;

  bool operator==(const WaveAction&) const = default;
};

/// When a wave is expected to end.
struct WaveEstimate {
  /// Absent while the budgets let no VM of some pool go.
  std::optional<Duration> remaining;
  /// Absent when the wave has no deadline.
  std::optional<bool> meets_deadline;
  /// VMs that may be out at once, as far as the budgets allow now.
  std::uint32_t concurrency = 0;
  /// Times that VMs of one pool are taken one after another, at most.
  std::uint32_t rounds = 0;
};

/// Result of one step of the scheduler. The caller writes `waves` to the
/// region state and erases `finished` in the same write; so a VM cannot be
/// counted twice or maintained twice when the holder of the control lease
/// changes.
struct WaveStep {
  std::vector<WaveAction> actions;
  std::map<WaveId, WaveState> waves;
  /// Completed intents whose VMs are counted in `waves`.
  std::vector<IntentId> counted_intents;
  std::map<WaveId, WaveEstimate> estimates;
  std::vector<Decision> decisions;
};

}  // namespace pomelomill
