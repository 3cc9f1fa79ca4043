#include "slopes.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "pomelomill/base/random.h"
#include "pomelomill/maintenance/wave_scheduler.h"
#include "pomelomill/planner/planner.h"

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
  }
  MaintenanceDeclaration& wave = region.declarations->maintenance[WaveId("w")];
  wave.id = WaveId("w");
  return region;
}

Instant At(int seconds) { return Instant(std::chrono::seconds(seconds)); }

template <typename Function>
double Seconds(Function run) {
  const auto start = std::chrono::steady_clock::now();
  run();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

/// Least squares line through the points, and its largest relative error.
void PrintFit(const char* measure, const std::vector<double>& x,
              const std::vector<double>& y) {
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
  const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  const double start = (sy - slope * sx) / n;
  double error = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    if (y[i] != 0)
      error = std::max(error, std::abs(start + slope * x[i] - y[i]) / y[i]);
  }
  std::printf("fit,%s,slope_per_vm=%.4g,intercept=%.4g,largest_error=%.3f\n",
              measure, slope, start, error);
}

}  // namespace

void PrintSlopes() {
  struct Size {
    int vms;
    int pools;
  };
  std::vector<double> x;
  std::vector<double> planner_s;
  std::vector<double> scheduler_s;
  std::vector<double> bytes;
  std::printf(
      "vms,pools,planner_steady_s,planner_moving_s,scheduler_s,heap_bytes\n");
  for (const Size size : {Size{53, 10}, Size{106, 20}, Size{212, 40},
                          Size{425, 79}, Size{850, 158}, Size{1700, 317}}) {
    const std::size_t before = mallinfo2().uordblks;
    const Region region = MakeRegion(size.vms, size.pools);
    PlannerInput input;
    input.declarations = region.declarations;
    input.state = region.state;
    WaveInput wave;
    wave.declarations = region.declarations;
    wave.state = region.state;
    std::vector<double> steady;
    std::vector<double> moving;
    std::vector<double> schedule;
    std::size_t used = 0;
    for (int run = 0; run < 5; ++run) {
      Planner planner;
      steady.push_back(Seconds([&] { planner.Plan(input, At(0)); }));
      moving.push_back(Seconds([&] { planner.Plan(input, At(300)); }));
      WaveScheduler scheduler;
      schedule.push_back(Seconds([&] { scheduler.Step(wave, At(0)); }));
      used = mallinfo2().uordblks - before;
    }
    x.push_back(size.vms);
    planner_s.push_back(Median(moving));
    scheduler_s.push_back(Median(schedule));
    bytes.push_back(static_cast<double>(used));
    std::printf("%d,%d,%.6f,%.6f,%.6f,%zu\n", size.vms, size.pools,
                Median(steady), Median(moving), Median(schedule), used);
  }
  PrintFit("planner_moving_s", x, planner_s);
  PrintFit("scheduler_s", x, scheduler_s);
  PrintFit("heap_bytes", x, bytes);
}

}  // namespace pomelomill::measure
