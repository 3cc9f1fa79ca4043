#include "pomelomill/planner/pool_need.h"

#include <algorithm>
#include <cmath>

namespace pomelomill {
namespace {

/// Highest mean utilization of the slots that counts as stable. The backlog
/// grows without bound as the utilization approaches 1.
constexpr double kMaxUtilization = 0.95;

double LoadSlots(const PooledQueue& queue, double scale) {
  return queue.demand.mean_rate * scale * ToSeconds(queue.demand.service_time);
}

/// Seconds that a request of mean service time may wait and still meet its
/// deadline.
double SlackSeconds(const PooledQueue& queue) {
  return std::max(
      0.0, ToSeconds(queue.declaration->deadline - queue.demand.service_time));
}

/// Seconds that a request may wait during a peak. The deadline must leave room
/// for the service time, which is taken as exponentially distributed: it
/// exceeds k times its mean with probability exp(-k). k is chosen so that this
/// probability, times the share of requests that arrive in peaks, stays within
/// `NeedOptions::base_budget_share` of the budget.
double PeakSlackSeconds(const PooledQueue& queue, const NeedOptions& options) {
  const double interval = ToSeconds(queue.demand.peak_interval);
  const double peak_request_share =
      interval <= 0
          ? 1.0
          : std::min(1.0, queue.demand.peak_factor *
                              ToSeconds(queue.demand.peak_duration) / interval);
  const double allowed =
      options.base_budget_share * (1 - queue.declaration->availability);
  const double means = std::max(1.0, std::log(peak_request_share / allowed));
  return std::max(0.0, ToSeconds(queue.declaration->deadline) -
                           means * ToSeconds(queue.demand.service_time));
}

std::uint32_t VmsFor(double slots, std::uint32_t slots_per_vm) {
  const double per_vm = std::max<std::uint32_t>(1, slots_per_vm);
  return static_cast<std::uint32_t>(std::ceil(slots / per_vm - 1e-9));
}

/// Requests of this queue that may miss their deadline in each peak.
double AllowedMissesPerPeak(const PooledQueue& queue,
                            const NeedOptions& options) {
  const double interval = ToSeconds(queue.demand.peak_interval);
  const double window = ToSeconds(queue.declaration->window);
  const double peaks = interval > 0 ? std::max(1.0, window / interval) : 1.0;
  return std::max(0.0, queue.demand.budget_left) * options.peak_budget_share /
         peaks;
}

/// Work of the queue in its peak, in slot-seconds, that is due within `t`
/// seconds of the start of the peak.
double PeakWork(const PooledQueue& queue, double load, double t,
                const NeedOptions& options) {
  const double u = std::max(0.0, t - PeakSlackSeconds(queue, options));
  const double duration = ToSeconds(queue.demand.peak_duration);
  return load * (queue.demand.peak_factor * std::min(u, duration) +
                 options.trough_factor * std::max(0.0, u - duration));
}

/// Slots that serve a peak of queue `peaking` with at most `misses` requests
/// that miss their deadline, while the other queues stay at their mean.
double PeakSlots(const std::vector<PooledQueue>& queues, std::size_t peaking,
                 double misses, const NeedOptions& options) {
  const PooledQueue& peak = queues[peaking];
  const double allowed = misses * ToSeconds(peak.demand.service_time);
  const double duration = ToSeconds(peak.demand.peak_duration);
  // The work due within an interval is piecewise linear in the length of the
  // interval, so the ratio of the two is highest at a breakpoint: the duration
  // of the peak plus the slack of one of the queues.
  double slots = 0;
  for (const PooledQueue& edge : queues) {
    const double t = duration + PeakSlackSeconds(edge, options);
    if (t <= 0) continue;
    double work = -allowed;
    for (std::size_t i = 0; i < queues.size(); ++i) {
      const double load = LoadSlots(queues[i], options.demand_scale);
      work +=
          i == peaking
              ? PeakWork(queues[i], load, t, options)
              : load * std::max(0.0, t - PeakSlackSeconds(queues[i], options));
    }
    slots = std::max(slots, work / t);
  }
  return slots;
}

std::uint32_t BaseVms(const PoolDeclaration& pool,
                      const std::vector<PooledQueue>& queues, double load,
                      double rate, std::uint32_t stable,
                      const NeedOptions& options) {
  if (load <= 0) return stable;
  const double mean_service = load / rate;
  const std::uint32_t slots = std::max<std::uint32_t>(1, pool.slots);
  // Blocking probability (Erlang B), by its recursion over the servers.
  double erlang_b = 1;
  std::uint32_t servers = 0;
  for (std::uint32_t vms = 1;; ++vms) {
    for (; servers < vms * slots; ++servers)
      erlang_b = load * erlang_b / (servers + 1 + load * erlang_b);
    if (vms < stable) continue;
    const double c = servers;
    const double wait_probability = c * erlang_b / (c - load * (1 - erlang_b));
    const bool enough =
        std::all_of(queues.begin(), queues.end(), [&](const PooledQueue& it) {
          const double tail =
              wait_probability *
              std::exp(-(c - load) * SlackSeconds(it) / mean_service);
          return tail <=
                 options.base_budget_share * (1 - it.declaration->availability);
        });
    if (enough) return vms;
  }
}

}  // namespace

double ErlangWaitTail(std::uint32_t servers, double erlangs,
                      double wait_ratio) {
  if (erlangs <= 0) return 0;
  if (servers <= erlangs) return 1;
  double erlang_b = 1;
  for (std::uint32_t n = 1; n <= servers; ++n)
    erlang_b = erlangs * erlang_b / (n + erlangs * erlang_b);
  const double wait_probability =
      servers * erlang_b / (servers - erlangs * (1 - erlang_b));
  return wait_probability * std::exp(-(servers - erlangs) * wait_ratio);
}

PoolNeed ComputePoolNeed(const PoolDeclaration& pool,
                         const std::vector<PooledQueue>& queues,
                         const NeedOptions& options) {
  PoolNeed need;
  double rate = 0;
  for (const PooledQueue& it : queues) {
    need.load_slots += LoadSlots(it, options.demand_scale);
    rate += it.demand.mean_rate * options.demand_scale;
  }
  need.stable = VmsFor(need.load_slots / kMaxUtilization, pool.slots);
  need.base =
      BaseVms(pool, queues, need.load_slots, rate, need.stable, options);
  for (std::size_t i = 0; i < queues.size(); ++i) {
    const double single_peak_misses =
        std::max(0.0, queues[i].demand.budget_left) * options.single_peak_share;
    const double misses_per_peak = AllowedMissesPerPeak(queues[i], options);
    const std::uint32_t peak = std::max(
        need.base,
        VmsFor(PeakSlots(queues, i, misses_per_peak, options), pool.slots));
    need.queues.push_back({queues[i].declaration->id, peak});
    need.peak = std::max(need.peak, peak);
    need.single_peak =
        std::max(need.single_peak,
                 VmsFor(PeakSlots(queues, i,
                                  std::max(single_peak_misses, misses_per_peak),
                                  options),
                        pool.slots));
  }
  need.peak = std::max(need.peak, need.base);
  need.single_peak = std::max(need.single_peak, need.base);
  return need;
}

QueueDemand DeclaredDemand(const QueueDeclaration& queue) {
  QueueDemand demand;
  demand.mean_rate = queue.mean_rate;
  demand.current_rate = queue.mean_rate;
  demand.service_time = queue.service_time;
  demand.budget_left =
      (1 - queue.availability) * queue.mean_rate * ToSeconds(queue.window);
  return demand;
}

std::map<PoolId, std::vector<PooledQueue>> CollectQueues(
    const Declarations& declarations, const RegionId& region,
    const std::map<QueueId, QueueDemand>& demand) {
  std::map<PoolId, std::vector<PooledQueue>> pools;
  for (const auto& [id, pool] : declarations.pools) {
    if (pool.region == region) pools[id];
  }
  for (const auto& [id, queue] : declarations.queues) {
    const auto service = declarations.services.find(queue.service);
    if (service == declarations.services.end()) continue;
    const auto pool = pools.find(service->second.pool);
    if (pool == pools.end()) continue;
    const auto measured = demand.find(id);
    pool->second.push_back({&queue, measured != demand.end()
                                        ? measured->second
                                        : DeclaredDemand(queue)});
  }
  return pools;
}

}  // namespace pomelomill
