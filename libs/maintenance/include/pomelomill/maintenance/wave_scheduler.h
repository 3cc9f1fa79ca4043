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
  /// A queue above this multiple of its mean rate is in a peak.
  double peak_threshold = 2;
  /// A VM that has not returned after this many cold starts has failed.
  double return_timeout_cold_starts = 3;
  /// Time between two steps beyond this does not count against a VM that is
  /// out: its return cannot be seen while the store or the platform is away.
  Duration longest_step = std::chrono::seconds(5);
  /// Time to drain a VM before its cold start, for estimates.
  Duration drain_time = std::chrono::seconds(5);
  /// The wave's first VMs show whether VMs return from this maintenance: until
  /// one of them has, at most this share of the VMs that the budgets would let
  /// go are out, but always two, so that two failures can stop the wave.
  double first_share = 0.5;
  /// The smaller first batch costs up to one round, so it is used only by
  /// waves of at least this many rounds. The target for the roll-out is 1.25
  /// times the best schedule.
  std::uint32_t first_share_rounds = 5;
};

/// Turns maintenance declarations into waves and decides which VM is taken
/// when. Soft state (since when a VM is out, how long VMs take to return)
/// starts afresh with a new holder of the control lease; everything else is in
/// the region state.
class WaveScheduler {
 public:
  explicit WaveScheduler(WaveOptions options = {});

  /// The actions to take now. `kStart` actions are safe together: with all of
  /// them out and the largest remaining rack lost, the mean demand is served
  /// within the budgets, and a peak of any one queue is served within
  /// `NeedOptions::single_peak_share` of what its budget has left. Empty when
  /// the input is incomplete.
  WaveStep Step(const WaveInput& input, Instant now);

 private:
  struct Context;

  WaveState OpenWave(const WaveInput& input,
                     const MaintenanceDeclaration& declared) const;
  void CountReturned(Context& context, WaveState& wave);
  void SkipUnobserved(Instant now);
  void CountFailed(Context& context, WaveState& wave);
  void JudgeEvidence(Context& context, WaveState& wave);
  void Resume(Context& context, WaveState& wave);
  void StartVms(Context& context, WaveState& wave);
  void Estimate(Context& context, const WaveState& wave);
  void Hold(Context& context, WaveState& wave, std::string reason);
  /// Time that one VM of this pool is out.
  Duration OutageOf(const PoolDeclaration& pool) const;

  WaveOptions options_;
  /// When an intent was first seen past its drain step.
  std::map<IntentId, Instant> out_since_;
  Instant last_step_{};
  /// Mean time out as a multiple of the declared cold start.
  double outage_factor_ = 1;
  std::set<WaveId> reported_at_risk_;
  std::map<WaveId, std::string> last_hold_;
};

}  // namespace pomelomill
