#include "report.h"

#include <algorithm>
#include <cstdio>
#include <optional>
#include <utility>
#include <vector>

#include "policies.h"

namespace pomelomill::measure {
namespace {

constexpr int kLargestStaticPool = 24;

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

/// The smallest static pools that spend no more of each budget than the
/// product does, or than is declared if that is more.
struct StaticSizes {
  std::vector<int> vms;
  bool is_complete = true;
};

StaticSizes FindStaticSizes(const Scenario& scenario,
                            const std::vector<Request>& workload,
                            std::uint64_t seed, const RunResult& product) {
  std::vector<PoolId> pools;
  for (const auto& [id, pool] : scenario.declarations.pools)
    pools.push_back(id);
  StaticSizes sizes;
  sizes.vms.assign(pools.size(), 0);
  for (int count = 2; count <= kLargestStaticPool; ++count) {
    const RunResult result =
        RunStatic(scenario, workload, seed, EqualVms(scenario, count));
    std::vector<bool> keeps(pools.size(), true);
    std::size_t i = 0;
    for (const auto& [id, queue] : scenario.declarations.queues) {
      const PoolId& pool =
          scenario.declarations.services.at(queue.service).pool;
      const auto p =
          std::find(pools.begin(), pools.end(), pool) - pools.begin();
      if (Spent(scenario, result, i) >
          std::max(1.0, Spent(scenario, product, i)))
        keeps[p] = false;
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
  double static_vms = 0;
  for (int it : sizes.vms) static_vms += it;
  const double cost = BufferCost(scenario, product.up_vm_s, product.all_vm_s);
  const double static_cost =
      BufferCost(scenario, static_vms * scenario.duration_s, product.all_vm_s);
  PrintRow(scenario, "buffer_cost",
           sizes.is_complete ? "static_same_budget" : "static_24_per_pool",
           static_cost, cost, "ratio<=0.5", YesNo(cost <= static_cost * 0.5));
  // Static pools cannot change, so an operator sizes them for the worst case.
  Scenario worst = scenario;
  worst.wave_at_s = 600;
  worst.rack_lost_at_s = 1200;
  const RunResult worst_product = RunProduct(worst, workload, seed);
  const StaticSizes worst_sizes =
      FindStaticSizes(worst, workload, seed, worst_product);
  double worst_vms = 0;
  for (int it : worst_sizes.vms) worst_vms += it;
  PrintRow(
      scenario, "buffer_cost", "static_sized_for_wave_and_rack",
      BufferCost(scenario, worst_vms * scenario.duration_s, product.all_vm_s),
      cost, "-", "-");
  PrintRow(scenario, "buffer_cost", "reactive",
           BufferCost(scenario, reactive.up_vm_s, reactive.all_vm_s), cost, "-",
           "-");

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
    PrintRow(scenario, "rollout_s", "estimate_at_start",
             product.first_estimate_s, product.wave_end_s, "-", "-");
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
  // One decision every 5 s at 4% of a core.
  PrintRow(scenario, "decision_s", "-", -1, product.longest_decision_s, "<=0.2",
           YesNo(product.longest_decision_s <= 0.2));
  return true;
}

bool TraceScenario(const std::string& path, std::uint64_t seed) {
  const auto read = ReadScenario(path);
  if (!read) return false;
  const std::vector<Request> workload = MakeWorkload(*read, seed);
  RunProduct(*read, workload, seed, [](const Decision& it) {
    std::printf("%.0f,", ToSeconds(it.at.time_since_epoch()));
    for (const Subject& subject : it.subjects)
      std::printf("%s:%s ", subject.kind.c_str(), subject.name.c_str());
    std::printf(",%s,%s,", it.choice.c_str(), it.reason.c_str());
    for (const Fact& fact : it.facts)
      std::printf("%s=%s ", fact.name.c_str(), fact.value.c_str());
    std::printf("\n");
  });
  return true;
}

}  // namespace pomelomill::measure
