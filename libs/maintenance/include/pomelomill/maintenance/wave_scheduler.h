#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/time.h"
#include "pomelomill/maintenance/wave_types.h"

namespace pomelomill {

struct WaveOptions {
  NeedOptions need;
  /// Share of the remaining budget that one wave may spend on peaks that
  /// begin while its VMs are out.
  double wave_budget_share = 0.25;
  /// A queue above this multiple of its mean rate is in a peak.
  double peak_threshold = 2;
  /// A VM that has not returned after this many cold starts has failed.
  double return_timeout_cold_starts = 3;
  /// Time to drain a VM before its cold start, for estimates.
  Duration drain_time = std::chrono::seconds(5);
  /// The wave's first VMs show whether VMs return: at most this many out at
  /// once, and this many more for each VM that has returned.
  std::uint32_t ramp = 2;
};

/// Turns maintenance declarations into waves and decides which VM is taken
/// when. Soft state (since when a VM is out) starts afresh with a new holder
/// of the control lease; everything else is in the region state.
class WaveScheduler {
 public:
  explicit WaveScheduler(WaveOptions options = {});

  /// The actions to take now. `kStart` actions are safe together: with all of
  /// them out and the largest remaining rack lost, the mean demand is served
  /// within the budgets, and a peak of any one queue is served within the
  /// wave's share of what its budget has left.
  WaveStep Step(const WaveInput& input, Instant now);

 private:
  WaveOptions options_;
  std::map<IntentId, Instant> out_since_;
  std::set<WaveId> reported_at_risk_;
  std::map<WaveId, std::string> last_hold_;
};

}  // namespace pomelomill
