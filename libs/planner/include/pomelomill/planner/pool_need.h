#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/time.h"
#include "pomelomill/config/declarations.h"

namespace pomelomill {

/// Measured demand of one queue, summed over all entries of a region.
struct QueueDemand {
  /// Requests a second, averaged over several peaks.
  double mean_rate = 0;
  /// Requests a second over the last seconds.
  double current_rate = 0;
  /// Time that one request occupies a slot.
  Duration service_time{};
  /// Highest recent rate as a multiple of the mean rate.
  double peak_factor = 5;
  Duration peak_duration = std::chrono::seconds(8);
  /// Time between the starts of two peaks of this queue.
  Duration peak_interval = std::chrono::minutes(5);
  /// Requests of the current window that missed, and that may still miss.
  double budget_spent = 0;
  double budget_left = 0;
};

/// One queue with its declaration and its measured demand.
struct PooledQueue {
  const QueueDeclaration* declaration = nullptr;
  QueueDemand demand;
};

/// VMs that the peak of one queue needs in its pool.
struct QueueNeed {
  QueueId queue;
  std::uint32_t peak = 0;
};

/// What one pool needs to keep the budgets of its queues. Counts are VMs in
/// service.
struct PoolNeed {
  /// Slots busy on average.
  double load_slots = 0;
  /// Smallest count that does not fall behind the mean demand.
  std::uint32_t stable = 0;
  /// Mean demand with its random variation; must remain after the loss of
  /// the largest rack.
  std::uint32_t base = 0;
  /// A peak of any one queue while the others stay at their mean, for each
  /// peak of the window.
  std::uint32_t peak = 0;
  /// The same for one single peak, which may spend more of the budget; for the
  /// time that a VM is out for maintenance.
  std::uint32_t peak_once = 0;
  std::vector<QueueNeed> queues;
};

/// How the need is computed.
struct NeedOptions {
  /// Multiplies all rates; above 1 for the hysteresis of donors.
  double demand_scale = 1;
  /// Share of the remaining budget that peaks may spend.
  double peak_budget_share = 0.5;
  /// Share of the remaining budget that one single peak may spend while VMs
  /// are out for maintenance.
  double single_peak_share = 0.25;
  /// Share of the declared budget that random variation of the mean demand
  /// may spend.
  double base_budget_share = 0.25;
  /// Rate after a peak as a share of the mean rate.
  double trough_factor = 0.05;
};

/// The budgets' need of one pool.
///
/// `base` follows from the waiting time of an M/M/c queue, Erlang C:
/// P(W > t) = C(c, a) exp(-(c - a) t / s). `peak` follows from the processor
/// demand criterion of earliest-deadline-first scheduling (Baruah, Rosier and
/// Howell 1990): for each interval that starts with the peak, the work due
/// within it, less the work that the budget allows to miss, must fit.
PoolNeed ComputePoolNeed(const PoolDeclaration& pool,
                         const std::vector<PooledQueue>& queues,
                         const NeedOptions& options);

/// Probability that a request waits longer than `wait_ratio` service times in
/// an M/M/c queue with `servers` servers and the load `erlangs`.
double ErlangWaitTail(std::uint32_t servers, double erlangs, double wait_ratio);

/// The queues of each pool of one region. Queues without a measurement get
/// the declared prior and a full budget. Every pool of the region is present.
std::map<PoolId, std::vector<PooledQueue>> CollectQueues(
    const Declarations& declarations, const RegionId& region,
    const std::map<QueueId, QueueDemand>& demand);

/// The prior of a queue that has not been measured yet.
QueueDemand DeclaredDemand(const QueueDeclaration& queue);

}  // namespace pomelomill
