#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pomelomill/base/decision_log.h"
#include "pomelomill/base/ids.h"
#include "pomelomill/base/result.h"
#include "pomelomill/base/time.h"
#include "pomelomill/config/declarations.h"
#include "pomelomill/control/control_lease.h"
#include "pomelomill/control/intent_executor.h"
#include "pomelomill/maintenance/wave_types.h"
#include "pomelomill/planner/pool_need.h"
#include "pomelomill/platform/platform_client.h"
#include "pomelomill/platform/region_state.h"
#include "pomelomill/store/store_client.h"

namespace pomelomill {

class TimerService;

struct ControllerSettings {
  RegionId region;
  IncarnationId self;
  Duration tick = std::chrono::milliseconds(250);
  /// Pause between two reads of the VM list, and between two plans.
  Duration plan_interval = std::chrono::seconds(2);
  Duration call_timeout = std::chrono::seconds(2);
  /// The control lease must be certain for this long when the platform is
  /// called: the call's timeout and a margin for clock drift.
  Duration authority_margin = std::chrono::milliseconds(2500);
};

/// Shares to write next, with the reason for the decision log.
struct SharesProposal {
  std::vector<EntryShare> shares;
  std::string reason;
};

/// What the controller needs to know from the rest of the entry.
struct ControllerHooks {
  std::function<std::optional<HeldLease>()> entry_lease;
  std::function<double()> jitter;
  std::function<bool(const VmId& vm, Version since)> is_drained;
  std::function<void(const VmId& vm, const std::string& address,
                     std::function<void(Result<EndpointHealth>)>)>
      check_health;
  /// Measured demand of the region's queues, summed over all entries.
  std::function<std::map<QueueId, QueueDemand>()> demand;
  /// The next change of the slot shares, or nothing.
  std::function<std::optional<SharesProposal>(const RegionState&, Version)>
      next_shares;
  /// Seconds since the Unix epoch; used for maintenance cycles and windows
  /// only.
  std::function<std::int64_t()> wall_clock_s;
  /// Seconds that local time is ahead of UTC.
  std::function<std::int64_t()> utc_offset_s;
  /// A new region state was written.
  std::function<void(std::shared_ptr<const RegionState>, Version)> published;
};

/// Figures for status pages and measurements.
struct ControllerStats {
  std::uint64_t take_overs = 0;
  std::uint64_t plans = 0;
  std::uint64_t moves_opened = 0;
  std::size_t state_bytes = 0;
};

/// The control plane of one region as far as this entry takes part in it. It
/// competes for the control lease; while it holds it, it keeps the region
/// state up to date, plans, runs waves and carries out intents. Without the
/// lease it does nothing.
class Controller {
 public:
  Controller(ControllerSettings settings, StoreClient store,
             PlatformClient platform, TimerService& timers,
             ControllerHooks hooks, DecisionLog* decisions);
  ~Controller();

  void Start();

  /// Gives up the control lease and stops for good.
  void Stop();

  void set_declarations(std::shared_ptr<const Declarations> declarations,
                        Revision revision);

  /// Drains, reboots and returns one VM. kNotHolder or kUnknownVm.
  Status DrainVm(const VmId& vm);

  /// Lets a wave go on that has stopped by itself. kNotHolder.
  Status ResumeWave(const WaveId& wave);

  bool is_holder() const;
  /// The incarnation that holds the control lease, as last read.
  IncarnationId holder() const;
  const std::map<WaveId, WaveEstimate>& estimates() const;
  ControllerStats stats() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
