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
  /// Requests per second, averaged over several peaks.
  double mean_rate = 0;
  /// Requests per second over the last few seconds.
  double current_rate = 0;
  /// Mean time that one request occupies a slot.
  Duration service_time{};
  /// Highest recent rate as a multiple of the mean rate.
  double peak_factor = 5;
  Duration peak_duration = std::chrono::seconds(8);
  /// Time between the starts of two peaks of this queue.
  Duration peak_interval = std::chrono::minutes(5);
  /// Requests of the current budget window that missed their deadline.
  double budget_spent = 0;
  /// Requests that may still miss their deadline in the current budget window.
  double budget_left = 0;
};

/// One queue with its declaration and its measured demand.
struct PooledQueue {
  const QueueDeclaration* declaration = nullptr;
  QueueDemand demand;
};

/// The need of one queue.
struct QueueNeed {
  QueueId queue;
  /// VMs that its pool needs in service during a peak of this queue.
  std::uint32_t peak = 0;
};

/// VMs in service that one pool needs to keep the error budgets of its queues.
struct PoolNeed {
  /// Mean number of busy slots.
  double load_slots = 0;
  /// Smallest number of VMs whose backlog does not grow at the mean demand.
  std::uint32_t stable = 0;
  /// VMs for the mean demand with its random variation. The pool must keep this
  /// many after the loss of its largest rack.
  std::uint32_t base = 0;
  /// VMs for a peak of any one queue while the other queues stay at their mean.
  /// The budget is shared by all peaks of the window.
  std::uint32_t peak = 0;
  /// VMs for one isolated peak, which may spend more of the budget. Applies
  /// while a VM is out of service for maintenance.
  std::uint32_t single_peak = 0;
  std::vector<QueueNeed> queues;
};

/// Parameters of `ComputePoolNeed`.
struct NeedOptions {
  /// Factor for all rates; above 1 for pools that release VMs, as hysteresis.
  double demand_scale = 1;
  /// Share of the remaining budget that all peaks of the window may spend.
  double peak_budget_share = 0.5;
  /// Share of the remaining budget that one peak may spend while VMs are out of
  /// service for maintenance.
  double single_peak_share = 0.25;
  /// Share of the declared budget that random variation of the mean demand
  /// may spend.
  double base_budget_share = 0.25;
  /// Rate after a peak as a share of the mean rate.
  double trough_factor = 0.05;
};

/// The VMs that `pool` needs to keep the error budgets of `queues`.
///
/// `base` follows from the waiting time of an M/M/c queue, Erlang C:
/// P(W > t) = C(c, a) exp(-(c - a) t / s). `peak` follows from the processor
/// demand criterion of earliest-deadline-first scheduling (Baruah, Rosier and
/// Howell 1990): for each interval that starts with the peak, the work due
/// within the interval, less the work that the budget allows to miss its
/// deadline, must not exceed the capacity of the pool.
PoolNeed ComputePoolNeed(const PoolDeclaration& pool,
                         const std::vector<PooledQueue>& queues,
                         const NeedOptions& options);

/// Probability that a request waits longer than `wait_ratio` mean service times
/// in an M/M/c queue with `servers` servers and an offered load of `erlangs`; 1
/// if the queue is unstable.
double ErlangWaitTail(std::uint32_t servers, double erlangs, double wait_ratio);

/// The queues of each pool of `region`; a pool without queues has an empty
/// list. A queue without an entry in `demand` gets `DeclaredDemand`.
std::map<PoolId, std::vector<PooledQueue>> CollectQueues(
    const Declarations& declarations, const RegionId& region,
    const std::map<QueueId, QueueDemand>& demand);

/// The demand of a queue without measurement: its declared rate and service
/// time, and its full budget.
QueueDemand DeclaredDemand(const QueueDeclaration& queue);

}  // namespace pomelomill
