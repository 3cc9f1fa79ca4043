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

/// Settings of a `Controller`.
struct ControllerSettings {
  RegionId region;
  IncarnationId self;
  Duration tick_interval = std::chrono::milliseconds(250);
  /// Time between two reads of the VM list, and between two plans.
  Duration plan_interval = std::chrono::seconds(2);
  /// Timeout of each store and platform call.
  Duration call_timeout = std::chrono::seconds(2);
  /// The platform is called only while the control lease cannot expire within
  /// this time: the call's timeout and a margin for clock drift.
  Duration min_lease_remaining = std::chrono::milliseconds(2500);
};

/// Slot shares to write to the region state, with the reason for the decision
/// log.
struct SharesProposal {
  std::vector<EntryShare> shares;
  std::string reason;
};

/// Callbacks by which the controller uses the rest of the entry.
struct ControllerHooks {
  /// See `ControlLease`.
  std::function<std::optional<HeldLease>()> entry_lease;
  std::function<double()> jitter;
  /// See `IntentHooks`.
  std::function<bool(const VmId& vm, Version since)> is_drained;
  std::function<void(const VmId& vm, const std::string& address,
                     std::function<void(Result<EndpointHealth>)>)>
      check_health;
  /// Measured demand of the region's queues, summed over all entries.
  std::function<std::map<QueueId, QueueDemand>()> demand;
  /// The next change of the slot shares; nullopt if none is needed.
  std::function<std::optional<SharesProposal>(const RegionState&, Version)>
      next_shares;
  /// Seconds since the Unix epoch; used for maintenance cycles and windows
  /// only.
  std::function<std::int64_t()> wall_clock_s;
  /// Offset of local time from UTC, in seconds; positive east of Greenwich.
  std::function<std::int64_t()> utc_offset_s;
  /// Called with each region state that this controller has written.
  std::function<void(std::shared_ptr<const RegionState>, Version)>
      on_state_written;
};

/// Counters for status pages and measurements.
struct ControllerStats {
  std::uint64_t take_overs = 0;
  std::uint64_t plans = 0;
  std::uint64_t moves_opened = 0;
  /// Size of the region state that was written last.
  std::size_t state_bytes = 0;
};

/// This entry's part of the control plane of one region. It competes for the
/// control lease. While it holds the lease, it keeps the region state up to
/// date, plans pool sizes and moves, runs maintenance waves and executes
/// intents; without the lease it only competes for it.
class Controller {
 public:
  Controller(ControllerSettings settings, StoreClient store,
             PlatformClient platform, TimerService& timers,
             ControllerHooks hooks, DecisionLog* decisions);
  ~Controller();

  void Start();

  /// Releases the control lease and stops; the controller cannot be restarted.
  void Stop();

  /// Sets the declarations to plan by, and the configuration revision that they
  /// belong to.
  void set_declarations(std::shared_ptr<const Declarations> declarations,
                        Revision revision);

  /// Requests that one VM is drained, rebooted and returned to service. Returns
  /// kNotHolder without the control lease, kUnknownVm if the region state does
  /// not contain the VM.
  Status DrainVm(const VmId& vm);

  /// Resumes a wave that has stopped by itself. Returns kNotHolder without the
  /// control lease.
  Status ResumeWave(const WaveId& wave);

  /// Whether this entry controls the region.
  bool is_holder() const;
  /// The incarnation that held the control lease when it was last read; empty
  /// if unknown.
  IncarnationId holder() const;
  /// Estimates of the waves as of the last plan; empty without the control
  /// lease.
  const std::map<WaveId, WaveEstimate>& estimates() const;
  ControllerStats stats() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
