#include "report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <numeric>
#include <optional>
#include <utility>
#include <vector>

#include "policies.h"
#include "pomelomill/planner/pool_need.h"

namespace pomelomill::measure {
namespace {

constexpr int kLargestStaticPool = 24;

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

/// One line; a negative baseline or value means that there is none.
void PrintRow(const Scenario& scenario, const std::string& measure,
              const std::string& baseline, double baseline_value, double value,
              const std::string& target, const std::string& met) {
  std::printf("%s,%s,%s,%.6g,%.6g,", scenario.name.c_str(), measure.c_str(),
              baseline.c_str(), baseline_value, value);
  if (baseline_value > 0) {
    std::printf("%.3f", value / baseline_value);
  } else {
    std::printf("-");
  }
  std::printf(",%s,%s\n", target.c_str(), met.c_str());
}

std::string YesNo(bool value) { return value ? "yes" : "no"; }

std::string ReasonName(OutcomeReason reason) {
  switch (reason) {
    case OutcomeReason::kComplete:
      return "answered-late";
    case OutcomeReason::kNoSuchQueue:
      return "no-such-queue";
    case OutcomeReason::kQuota:
      return "quota";
    case OutcomeReason::kQueueFull:
      return "queue-full";
    case OutcomeReason::kWouldMissDeadline:
      return "would-miss-deadline";
    case OutcomeReason::kNoEndpoint:
      return "no-endpoint";
    case OutcomeReason::kNoSendPermit:
      return "no-send-permit";
    case OutcomeReason::kRefused:
      return "refused";
    case OutcomeReason::kAttemptFailed:
      return "attempt-failed";
    case OutcomeReason::kDeadlinePassed:
      return "deadline-passed";
  }
  return "unknown";
}

/// Share of the queue's budget that was spent; above 1 is a broken budget.
double Spent(const Scenario& scenario, const RunResult& result, std::size_t i) {
  auto queue = scenario.declarations.queues.begin();
  std::advance(queue, static_cast<std::ptrdiff_t>(i));
  const double allowed = (1 - queue->second.availability) *
                         static_cast<double>(result.queues[i].arrived);
  return allowed > 0 ? static_cast<double>(result.queues[i].missed) / allowed
                     : 0;
}

/// VM-seconds up beyond the mean demand as a share of all VM-seconds of the
/// deployment.
double BufferCost(const Scenario& scenario, double up_vm_s, double all_vm_s) {
  double mean_vms = 0;
  for (const auto& [id, queue] : scenario.declarations.queues) {
    const PoolId& pool = scenario.declarations.services.at(queue.service).pool;
    mean_vms += queue.mean_rate * ToSeconds(queue.service_time) /
                scenario.declarations.pools.at(pool).slots;
  }
  return (up_vm_s - mean_vms * scenario.duration_s) / all_vm_s;
}

/// The smallest pools, found one by one, that keep what is asked for.
struct StaticSizes {
  std::vector<int> vms;
  bool is_complete = true;

  double total() const { return std::accumulate(vms.begin(), vms.end(), 0.0); }
};

/// `run` is called with more and more VMs in each pool; a pool is large enough
/// once each of its queues spends at most `allowed` of its budget.
StaticSizes FindSmallestPools(
    const Scenario& scenario, const std::function<RunResult(int)>& run,
    const std::function<double(std::size_t)>& allowed) {
  std::vector<PoolId> pools;
  for (const auto& [id, pool] : scenario.declarations.pools)
    pools.push_back(id);
  StaticSizes sizes;
  sizes.vms.assign(pools.size(), 0);
  for (int count = 2; count <= kLargestStaticPool; ++count) {
    const RunResult result = run(count);
    std::vector<bool> keeps(pools.size(), true);
    std::size_t i = 0;
    for (const auto& [id, queue] : scenario.declarations.queues) {
      const PoolId& pool =
          scenario.declarations.services.at(queue.service).pool;
      const auto p =
          std::find(pools.begin(), pools.end(), pool) - pools.begin();
      if (Spent(scenario, result, i) > allowed(i)) keeps[p] = false;
      ++i;
    }
    bool all = true;
    for (std::size_t p = 0; p < pools.size(); ++p) {
      if (sizes.vms[p] == 0 && keeps[p]) sizes.vms[p] = count;
      all &= sizes.vms[p] > 0;
    }
    if (all) return sizes;
  }
  sizes.is_complete = false;
  for (int& it : sizes.vms) {
    if (it == 0) it = kLargestStaticPool;
  }
  return sizes;
}

/// The smallest static pools that spend no more of each budget than the
/// product does, or than is declared if that is more.
StaticSizes FindStaticSizes(const Scenario& scenario,
                            const std::vector<Request>& workload,
                            std::uint64_t seed, const RunResult& product) {
  return FindSmallestPools(
      scenario,
      [&](int count) {
        return RunStatic(scenario, workload, seed, EqualVms(scenario, count));
      },
      [&](std::size_t i) {
        return std::max(1.0, Spent(scenario, product, i));
      });
}

/// The smallest pools that hold the demand of this run at their declared
/// budgets with the best routing, nothing lost and no VM in maintenance. A
/// plan that does not foresee when a queue peaks cannot have fewer VMs up,
/// because a VM serves one pool only and a start or a move takes longer than
/// a peak.
StaticSizes FindPeakSizes(const Scenario& scenario,
                          const std::vector<Request>& workload,
                          std::uint64_t seed) {
  return FindSmallestPools(
      scenario,
      [&](int count) {
        return RunPooled(scenario, workload, seed, EqualVms(scenario, count));
      },
      [](std::size_t) { return 1.0; });
}

/// Seconds that the best schedule needs which keeps a peak of any queue within
/// its budget, with every VM of the region in service: a lower bound, since it
/// counts neither peaks nor racks.
double BestRolloutSeconds(const Scenario& scenario) {
  const RegionId& region = scenario.declarations.fleet.regions.front();
  std::map<QueueId, QueueDemand> demand;
  for (const auto& [id, queue] : scenario.declarations.queues) {
    QueueDemand& it = demand[id] = DeclaredDemand(queue);
    it.peak_factor = scenario.peak_factor;
    it.peak_duration = FromSeconds(scenario.peak_duration_s);
    it.peak_interval = FromSeconds(PeakInterval(scenario));
  }
  double longest = 0;
  for (const auto& [id, queues] :
       CollectQueues(scenario.declarations, region, demand)) {
    const PoolDeclaration& pool = scenario.declarations.pools.at(id);
    const PoolNeed need = ComputePoolNeed(pool, queues, {});
    const double all = static_cast<double>(pool.vms.size());
    const double spare = all - need.single_peak;
    if (spare < 1) return -1;
    longest =
        std::max(longest, std::ceil(all / spare) * ToSeconds(pool.cold_start));
  }
  return longest;
}

}  // namespace

void PrintHeader() {
  std::printf(
      "scenario,measure,baseline,baseline_value,value,ratio,target,met\n");
}

bool MeasureScenario(const std::string& path, std::uint64_t seed) {
  const auto read = ReadScenario(path);
  if (!read) return false;
  const Scenario& scenario = *read;
  const std::vector<Request> workload = MakeWorkload(scenario, seed);
  const RunResult product = RunProduct(scenario, workload, seed);
  const RunResult fixed =
      RunStatic(scenario, workload, seed, DeclaredVms(scenario));
  const RunResult reactive = RunReactive(scenario, workload, seed);
  const RunResult best = RunClairvoyant(scenario, workload, seed);

  const StaticSizes sizes = FindStaticSizes(scenario, workload, seed, product);
  const double cost = BufferCost(scenario, product.up_vm_s, product.all_vm_s);
  const double static_cost = BufferCost(
      scenario, sizes.total() * scenario.duration_s, product.all_vm_s);
  PrintRow(scenario, "buffer_cost",
           sizes.is_complete ? "static_same_budget" : "static_24_per_pool",
           static_cost, cost, sizes.is_complete ? "ratio<=0.5" : "-",
           sizes.is_complete ? YesNo(cost <= static_cost * 0.5) : "-");
  // Static pools cannot change, so an operator sizes them for the worst case.
  Scenario worst = scenario;
  worst.wave_at_s = 600;
  worst.rack_lost_at_s = 1200;
  worst.zone_lost_at_s = -1;
  const RunResult worst_product = RunProduct(worst, workload, seed);
  const StaticSizes worst_sizes =
      FindStaticSizes(worst, workload, seed, worst_product);
  PrintRow(scenario, "buffer_cost", "static_sized_for_wave_and_rack",
           BufferCost(scenario, worst_sizes.total() * scenario.duration_s,
                      product.all_vm_s),
           cost, "-", "-");
  PrintRow(scenario, "buffer_cost", "reactive",
           BufferCost(scenario, reactive.up_vm_s, reactive.all_vm_s), cost, "-",
           "-");
  const StaticSizes peak = FindPeakSizes(scenario, workload, seed);
  PrintRow(scenario, "buffer_cost", "smallest_pools_for_peaks",
           BufferCost(scenario, peak.total() * scenario.duration_s,
                      product.all_vm_s),
           cost, "-", "-");

  std::size_t i = 0;
  for (const auto& [id, queue] : scenario.declarations.queues) {
    const double spent = Spent(scenario, product, i);
    const double possible = Spent(scenario, best, i);
    const std::string measure = "budget_spent:" + id.value();
    PrintRow(scenario, measure, "clairvoyant", possible, spent,
             "<=1 where clairvoyant is", YesNo(spent <= 1 || possible > 1));
    PrintRow(scenario, measure, "static", Spent(scenario, fixed, i), spent, "-",
             "-");
    PrintRow(scenario, measure, "reactive", Spent(scenario, reactive, i), spent,
             "-", "-");
    ++i;
  }
  if (scenario.wave_at_s >= 0) {
    PrintRow(scenario, "rollout_s", "static", fixed.wave_end_s,
             product.wave_end_s, "ends", YesNo(product.wave_end_s >= 0));
    PrintRow(scenario, "rollout_s", "reactive", reactive.wave_end_s,
             product.wave_end_s, "-", "-");
    const double estimate = product.first_estimate_s;
    const double end = product.wave_end_s;
    PrintRow(
        scenario, "rollout_s", "estimate_at_start", estimate, end,
        "within 1.25",
        YesNo(end >= 0 && end <= estimate * 1.25 && estimate <= end * 1.25));
    const double best_s = BestRolloutSeconds(scenario);
    PrintRow(scenario, "rollout_s", "best_schedule", best_s, end, "ratio<=1.25",
             YesNo(end >= 0 && end <= best_s * 1.25));
  }
  for (const auto& [reason, count] : product.missed_by_reason) {
    PrintRow(scenario, "missed:" + ReasonName(reason), "-", -1,
             static_cast<double>(count), "-", "-");
  }
  PrintRow(scenario, "moves", "reactive", reactive.moves, product.moves, "-",
           "-");
  const auto count = [&](const char* measure, std::uint64_t baseline,
                         std::uint64_t value) {
    PrintRow(scenario, measure, "static", static_cast<double>(baseline),
             static_cast<double>(value), "0", YesNo(value == 0));
  };
  count("requests_cut", fixed.cut, product.cut);
  count("duplicates", fixed.duplicates, product.duplicates);
  count("false_not_run", fixed.false_not_run, product.false_not_run);
  PrintRow(scenario, "store_calls_per_s", "-", -1,
           static_cast<double>(product.store_calls) / scenario.duration_s,
           "<=50",
           YesNo(static_cast<double>(product.store_calls) <=
                 50 * scenario.duration_s));
  // 4% of a core at one decision every 2 s.
  PrintRow(scenario, "decision_s", "-", -1, product.longest_decision_s,
           "<=0.08", YesNo(product.longest_decision_s <= 0.08));
  return true;
}

bool TraceScenario(const std::string& path, std::uint64_t seed) {
  const auto read = ReadScenario(path);
  if (!read) return false;
  const std::vector<Request> workload = MakeWorkload(*read, seed);
  const auto print = [](const Decision& it) {
    std::printf("%.0f,", ToSeconds(it.at.time_since_epoch()));
    for (const Subject& subject : it.subjects)
      std::printf("%s:%s ", subject.kind.c_str(), subject.name.c_str());
    std::printf(",%s,%s,", it.choice.c_str(), it.reason.c_str());
    for (const Fact& fact : it.facts)
      std::printf("%s=%s ", fact.name.c_str(), fact.value.c_str());
    std::printf("\n");
  };
  RunProduct(*read, workload, seed, print);
  return true;
}

}  // namespace pomelomill::measure
