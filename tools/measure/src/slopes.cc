#include "slopes.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

#include "pomelomill/base/random.h"
#include "pomelomill/maintenance/wave_scheduler.h"
#include "pomelomill/planner/planner.h"
#include "pomelomill/platform/region_state_json.h"

namespace pomelomill::measure {
namespace {

struct Region {
  std::shared_ptr<Declarations> declarations = std::make_shared<Declarations>();
  std::shared_ptr<RegionState> state = std::make_shared<RegionState>();
};

std::string Numbered(const char* prefix, std::uint64_t number) {
  std::string name = prefix;
  name += std::to_string(number);
  return name;
}

/// About 5.4 VMs and three queues for each pool, as in the target deployment.
/// VMs are in random pools, so that many moves are wanted.
Region MakeRegion(int vms, int pools) {
  Random random(static_cast<std::uint64_t>(vms));
  Region region;
  region.state->region = RegionId("r");
  for (int p = 0; p < pools; ++p) {
    const std::string name = Numbered("p", p);
    PoolDeclaration& pool = region.declarations->pools[PoolId(name)];
    pool.id = PoolId(name);
    pool.region = RegionId("r");
    pool.size = static_cast<std::uint32_t>(vms / pools);
    ServiceDeclaration& service =
        region.declarations->services[ServiceId(name)];
    service.id = ServiceId(name);
    service.pool = pool.id;
    for (int q = 0; q < 3; ++q) {
      const QueueId id(name + "/q" + std::to_string(q));
      QueueDeclaration& queue = region.declarations->queues[id];
      queue.id = id;
      queue.service = service.id;
      queue.service_time = std::chrono::milliseconds(500);
      queue.mean_rate = 2 + 6 * random.Unit();
    }
  }
  for (int v = 0; v < vms; ++v) {
    VmState& vm = region.state->vms[VmId(Numbered("vm-", v))];
    vm.pool = PoolId(Numbered("p", random.Below(pools)));
    vm.rack = RackId(Numbered("rack-", v / 4));
    vm.zone = ZoneId(Numbered("zone-", v / 4 % 4));
    vm.address = Numbered("10.12.1.", v % 250) + ":8080";
    vm.generation = Generation(40);
    vm.maintained_at_s = 1796300000 + v;
  }
  MaintenanceDeclaration& wave = region.declarations->maintenance[WaveId("w")];
  wave.id = WaveId("w");
  WaveState& running = region.state->waves[wave.id];
  running.id = wave.id;
  running.phase = WavePhase::kRunning;
  for (const auto& [id, vm] : region.state->vms) running.pending.push_back(id);
  return region;
}

// The interval at which the holder of the control lease plans.
constexpr double kPlanIntervalS = 2;

double ThreadSeconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * 1e-9;
}

Instant At(int seconds) { return Instant(std::chrono::seconds(seconds)); }

/// Processor time of `run`; other processes of the machine do not count.
template <typename Function>
double Seconds(Function run) {
  const double start = ThreadSeconds();
  run();
  return ThreadSeconds() - start;
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

struct Line {
  double slope = 0;
  double start = 0;
  /// Largest relative error at a point of the fit.
  double error = 0;

  double At(double x) const { return start + slope * x; }
};

/// Least squares line through the points.
Line Fit(const std::vector<double>& x, const std::vector<double>& y) {
  const auto n = static_cast<double>(x.size());
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    sx += x[i];
    sy += y[i];
    sxx += x[i] * x[i];
    sxy += x[i] * y[i];
  }
  Line line;
  line.slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  line.start = (sy - line.slope * sx) / n;
  for (std::size_t i = 0; i < x.size(); ++i) {
    if (y[i] != 0)
      line.error = std::max(line.error, std::abs(line.At(x[i]) - y[i]) / y[i]);
  }
  return line;
}

/// One decision of planner and wave scheduler.
struct DecisionCost {
  double steady_s = 0;
  double moving_s = 0;
  double scheduler_s = 0;
  double heap_bytes = 0;
  /// Of the region state in the store, with a wave over all VMs.
  double state_bytes = 0;

  /// Percent of a core for the costliest decision in each plan interval.
  double share() const {
    return 100 * (moving_s + scheduler_s) / kPlanIntervalS;
  }
};

/// Medians; `moving_s` is a plan with as many moves as are allowed, in a region
/// with a running wave over all VMs.
DecisionCost MeasureDecision(int vms, int pools) {
  constexpr int kRuns = 15;
  const std::size_t before = mallinfo2().uordblks;
  const Region region = MakeRegion(vms, pools);
  PlannerInput input;
  input.declarations = region.declarations;
  input.state = region.state;
  WaveInput wave;
  wave.declarations = region.declarations;
  wave.state = region.state;
  DecisionCost cost;
  cost.state_bytes = static_cast<double>(ToJson(*region.state).size());
  std::vector<double> steady;
  std::vector<double> moving;
  std::vector<double> schedule;
  for (int run = 0; run < kRuns; ++run) {
    Planner planner;
    steady.push_back(Seconds([&] { planner.Plan(input, At(0)); }));
    moving.push_back(Seconds([&] { planner.Plan(input, At(300)); }));
    WaveScheduler scheduler;
    schedule.push_back(Seconds([&] { scheduler.Step(wave, At(0)); }));
    cost.heap_bytes = static_cast<double>(mallinfo2().uordblks - before);
  }
  cost.steady_s = Median(steady);
  cost.moving_s = Median(moving);
  cost.scheduler_s = Median(schedule);
  return cost;
}

}  // namespace

void PrintSlopes() {
  struct Size {
    int vms;
    int pools;
  };
  std::vector<double> x;
  std::vector<DecisionCost> costs;
  std::printf(
      "vms,pools,planner_steady_s,planner_moving_s,scheduler_s,heap_bytes,"
      "state_bytes,"
      "control_percent_of_core,target,met\n");
  // The last one is the whole fleet of the target in one region. It bounds the
  // cost from above and is no part of the fit.
  const Size sizes[] = {{100, 19}, {200, 37}, {425, 79}, {1700, 317}};
  for (const Size& size : sizes) {
    const DecisionCost cost = MeasureDecision(size.vms, size.pools);
    std::printf("%d,%d,%.6f,%.6f,%.6f,%.0f,%.0f,%.3f,<=4,%s\n", size.vms,
                size.pools, cost.steady_s, cost.moving_s, cost.scheduler_s,
                cost.heap_bytes, cost.state_bytes, cost.share(),
                cost.share() <= 4 ? "yes" : "no");
    x.push_back(size.vms);
    costs.push_back(cost);
  }
  const auto print = [&](const char* name,
                         double (*value)(const DecisionCost&)) {
    std::vector<double> y;
    for (const DecisionCost& it : costs) y.push_back(value(it));
    const double largest = y.back();
    y.pop_back();
    const Line line = Fit({x.begin(), x.end() - 1}, y);
    std::printf(
        "fit,%s,slope_per_vm=%.4g,intercept=%.4g,largest_error=%.3f,"
        "measured_over_fit_at_%.0f=%.3f\n",
        name, line.slope, line.start, line.error, x.back(),
        largest / line.At(x.back()));
  };
  print("planner_moving_s", [](const DecisionCost& it) { return it.moving_s; });
  print("scheduler_s", [](const DecisionCost& it) { return it.scheduler_s; });
  print("heap_bytes", [](const DecisionCost& it) { return it.heap_bytes; });
  print("state_bytes", [](const DecisionCost& it) { return it.state_bytes; });
}

}  // namespace pomelomill::measure
