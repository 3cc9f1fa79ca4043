#include "pomelomill/entry/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace pomelomill {
namespace {

constexpr Duration kMinInterval = std::chrono::milliseconds(100);

/// Weight of the past after `elapsed` for a time constant of `time`.
double Decay(Duration elapsed, Duration time) {
  return std::exp(-ToSeconds(elapsed) / ToSeconds(time));
}

double RoundToTwoDigits(double x) {
  if (x <= 0) return 0;
  const double scale = std::pow(10, 1 - std::floor(std::log10(x)));
  return std::round(x * scale) / scale;
}

}  // namespace

void DemandMeter::Observe(const std::vector<QueueTotals>& totals, Instant now) {
  for (const QueueTotals& it : totals) {
    const auto [found, is_new] = rates_.try_emplace(it.queue);
    Rates& r = found->second;
    // A lower total means that the counter has started again.
    if (is_new || it.arrived < r.totals.arrived) {
      r = {.totals = it, .since = now, .at = now};
      continue;
    }
    const Duration elapsed = now - r.at;
    if (elapsed < kMinInterval) continue;
    const auto n = static_cast<double>(it.arrived - r.totals.arrived);
    const double rate = n / ToSeconds(elapsed);
    // Until the time constant has passed, the mean is that of all time since
    // the start; a plain moving average would start from zero.
    const Duration age = std::min<Duration>(now - r.since, kMeanTime);
    const double keep = std::max(0.0, 1 - ToSeconds(elapsed) / ToSeconds(age));
    r.mean = keep * r.mean + (1 - keep) * rate;
    const double decay = Decay(elapsed, kCurrentTime);
    r.current = decay * r.current + (1 - decay) * rate;
    r.totals = it;
    r.at = now;
  }
}

std::vector<QueueLoad> DemandMeter::Loads() const {
  std::vector<QueueLoad> loads;
  for (const auto& [queue, r] : rates_) {
    const auto ms =
        std::chrono::round<std::chrono::milliseconds>(r.totals.service_time);
    loads.push_back({.queue = queue,
                     .mean_rate = RoundToTwoDigits(r.mean),
                     .current_rate = RoundToTwoDigits(r.current),
                     .service_time = ms,
                     .asked = r.totals.asked,
                     .missed = r.totals.missed});
  }
  return loads;
}

std::map<QueueId, QueueDemand> SumDemand(
    const std::vector<std::vector<QueueLoad>>& entries,
    const std::map<QueueId, QueueDeclaration>& queues) {
  struct Sum {
    QueueDemand demand;
    double asked = 0;
    double missed = 0;
    double weighted_time_s = 0;
  };
  std::map<QueueId, Sum> sums;
  for (const auto& loads : entries) {
    for (const QueueLoad& it : loads) {
      Sum& sum = sums[it.queue];
      sum.demand.mean_rate += it.mean_rate;
      sum.demand.current_rate += it.current_rate;
      sum.asked += static_cast<double>(it.asked);
      sum.missed += static_cast<double>(it.missed);
      sum.weighted_time_s += it.mean_rate * ToSeconds(it.service_time);
    }
  }
  std::map<QueueId, QueueDemand> demand;
  for (auto& [queue, sum] : sums) {
    const auto declared = queues.find(queue);
    if (declared == queues.end()) continue;
    const QueueDeclaration& q = declared->second;
    // A queue that was hardly used tells nothing about its demand yet.
    if (sum.demand.mean_rate <= 0 || sum.weighted_time_s <= 0) continue;
    sum.demand.service_time =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            sum.weighted_time_s / sum.demand.mean_rate));
    // Entries that have just started have seen too little: one trough would
    // let a wave take most of a pool. Requests counted against those of the
    // mean's time weigh the measurement, the declared rate fills the rest.
    const double seen = std::min(
        1.0,
        sum.asked / (sum.demand.mean_rate * ToSeconds(DemandMeter::kMeanTime)));
    sum.demand.mean_rate =
        seen * sum.demand.mean_rate + (1 - seen) * q.mean_rate;
    const double expected = q.mean_rate * ToSeconds(q.window);
    const double allowed = (1 - q.availability) * std::max(sum.asked, expected);
    sum.demand.budget_spent = sum.missed;
    sum.demand.budget_left = std::max(0.0, allowed - sum.missed);
    demand.emplace(queue, sum.demand);
  }
  return demand;
}

}  // namespace pomelomill
