#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/time.h"
#include "pomelomill/maintenance/wave_types.h"

namespace pomelomill {

struct WaveOptions {
  NeedOptions need;
  /// A queue is in a peak while its current rate exceeds this multiple of its
  /// mean rate.
  double peak_threshold = 2;
  /// A VM counts as failed when it has been out for longer than this multiple
  /// of its pool's cold start time.
  double return_timeout_cold_starts = 3;
  /// Time between two steps in excess of this does not count towards a VM's
  /// return timeout, because the VM's return cannot be observed while the store
  /// or the platform is unavailable.
  Duration max_step_interval = std::chrono::seconds(5);
  /// Expected time to drain a VM before its cold start; used in estimates only.
  Duration drain_time = std::chrono::seconds(5);
  /// Size of the first batch of a long wave, as a share of the VMs that the
  /// error budgets allow to be out at a time; at least two VMs, so that two
  /// failures can stop the wave. No further VM is taken out of service before
  /// one VM of the first batch has returned, which shows that VMs survive this
  /// maintenance.
  double first_batch_share = 0.5;
  /// Waves of fewer rounds than this do not start with a smaller first batch:
  /// it costs up to one round, and a roll-out must take at most 1.25 times as
  /// long as the best schedule.
  std::uint32_t first_batch_min_rounds = 5;
};

/// Turns maintenance declarations into waves and decides when each VM is taken
/// out of service. Only soft state is kept here (since when each VM is out, how
/// long VMs take to return); it is lost when the control lease gets a new
/// holder. All other state is in the region state.
class WaveScheduler {
 public:
  explicit WaveScheduler(WaveOptions options = {});

  /// Returns the actions to take now; empty when `declarations` or `state` is
  /// absent. All `kStart` actions of a step may be carried out together: with
  /// these VMs out of service, the error budgets hold for the mean demand even
  /// if the largest remaining rack is lost, and a peak of any one queue spends
  /// at most `NeedOptions::single_peak_share` of the queue's remaining error
  /// budget.
  WaveStep Step(const WaveInput& input, Instant now);

 private:
  struct Context;

  /// The wave's stored state, updated for VMs that were removed or have become
  /// due.
  WaveState RefreshWave(const WaveInput& input,
                        const MaintenanceDeclaration& declared) const;
  void CountReturned(Context& context, WaveState& wave);
  /// Extends the return timeouts when the last step is longer ago than
  /// `WaveOptions::max_step_interval`.
  void ExcludeUnobservedTime(Instant now);
  void CountFailed(Context& context, WaveState& wave);
  void StopOnFailures(Context& context, WaveState& wave);
  void Resume(Context& context, WaveState& wave);
  void StartVms(Context& context, WaveState& wave);
  void Estimate(Context& context, const WaveState& wave);
  /// Reports that the wave cannot proceed, once for each new reason.
  void Hold(Context& context, WaveState& wave, std::string reason);
  /// Expected time that one VM of the pool is out of service.
  Duration ExpectedOutage(const PoolDeclaration& pool) const;

  WaveOptions options_;
  /// When each intent was first seen past its drain step.
  std::map<IntentId, Instant> out_since_;
  Instant last_step_at_{};
  /// Moving average of the time that VMs are out, as a multiple of the declared
  /// cold start time.
  double outage_factor_ = 1;
  std::set<WaveId> reported_at_risk_;
  std::map<WaveId, std::string> last_hold_reason_;
};

}  // namespace pomelomill
