#include <doctest/doctest.h>

#include <cmath>
#include <cstdlib>
#include <vector>

#include "policies.h"

namespace pomelomill::measure {
namespace {

Scenario SmallScenario() {
  Scenario scenario;
  scenario.duration_s = 1200;
  Declarations& it = scenario.declarations;
  it.fleet.regions = {RegionId("r")};
  it.fleet.zones[RegionId("r")] = {ZoneId("a"), ZoneId("b"), ZoneId("c")};
  for (const char* name : {"x", "y"}) {
    PoolDeclaration& pool = it.pools[PoolId(name)];
    pool.id = PoolId(name);
    pool.region = RegionId("r");
    for (int v = 0; v < 6; ++v)
      pool.vms.emplace_back(std::string("vm-") + std::to_string(v) + name);
    ServiceDeclaration& service = it.services[ServiceId(name)];
    service.id = ServiceId(name);
    service.pool = pool.id;
    const QueueId id(std::string(name) + "/q");
    QueueDeclaration& queue = it.queues[id];
    queue.id = id;
    queue.service = service.id;
    queue.mean_rate = 20;
  }
  it.maintenance[WaveId("w")].id = WaveId("w");
  return scenario;
}

// Guards against a workload whose mean is not the declared one, which would
// make every comparison with the mean demand wrong.
TEST_CASE("the workload keeps the declared mean rate and its peaks") {
  const Scenario scenario = SmallScenario();
  const auto workload = MakeWorkload(scenario, 1);
  const double expected = 2 * 20 * scenario.duration_s;
  CHECK(std::abs(static_cast<double>(workload.size()) - expected) <
        0.05 * expected);
  double in_peak = 0;
  for (const Request& it : workload) {
    if (it.queue == 0 && it.at >= 25 && it.at < 33) ++in_peak;
  }
  CHECK(in_peak > 4 * 20 * 8);
  CHECK(in_peak < 6 * 20 * 8);
}

// Guards against a model whose runs differ for the same seed.
TEST_CASE("a run repeats from its seed") {
  Scenario scenario = SmallScenario();
  scenario.duration_s = 600;
  scenario.wave_at_s = 60;
  const auto workload = MakeWorkload(scenario, 3);
  const RunResult a = RunProduct(scenario, workload, 3);
  const RunResult b = RunProduct(scenario, workload, 3);
  CHECK(a.up_vm_s == b.up_vm_s);
  CHECK(a.wave_end_s == b.wave_end_s);
  CHECK(a.queues[0].missed == b.queues[0].missed);
}

void CheckEveryRequestIsCounted(const RunResult& result,
                                const std::vector<Request>& workload) {
  std::uint64_t arrived = 0;
  for (const QueueResult& it : result.queues) {
    CHECK(it.missed <= it.arrived);
    arrived += it.arrived;
  }
  CHECK(arrived == workload.size());
  CHECK(result.finished + result.open_at_end == arrived);
}

// Guards against requests that are lost or counted twice by the model, and
// against planned stops that cut requests.
TEST_CASE("every request is accounted for and none is cut") {
  Scenario scenario = SmallScenario();
  scenario.wave_at_s = 60;
  const auto workload = MakeWorkload(scenario, 2);
  const RunResult result = RunProduct(scenario, workload, 2);
  CheckEveryRequestIsCounted(result, workload);
  CHECK(result.cut == 0);
  CHECK(result.wave_end_s > 0);
}

// Guards against a loss of a zone that takes no capacity, or from which the
// VMs do not return, and against requests of lost VMs without an outcome.
TEST_CASE("the VMs of a lost zone serve nothing and return") {
  Scenario scenario = SmallScenario();
  scenario.duration_s = 600;
  scenario.zone_lost_at_s = 100;
  scenario.zone_lost_for_s = 200;
  const auto workload = MakeWorkload(scenario, 4);
  const RunResult result = RunProduct(scenario, workload, 4);
  CheckEveryRequestIsCounted(result, workload);
  const RunResult without_loss = RunClairvoyant(scenario, workload, 4);
  // The third of the VMs is out for the loss and a cold start.
  const auto vms = static_cast<double>(DeclaredVms(scenario).size());
  const double out_s =
      scenario.zone_lost_for_s +
      ToSeconds(scenario.declarations.pools.begin()->second.cold_start);
  CHECK(std::abs(without_loss.all_vm_s - without_loss.up_vm_s -
                 vms / 3 * out_s) <= vms / 3 * 2 * 5);
  Scenario whole = scenario;
  whole.zone_lost_at_s = -1;
  CHECK(result.up_vm_s < RunProduct(whole, workload, 4).up_vm_s);
}

// Guards against budgets that are missed by the model of the entries itself:
// one entry with all slots must serve as well as the ideal queue, of which
// every budget is met here.
TEST_CASE("one entry meets the budgets that the ideal queue meets") {
  Scenario scenario = SmallScenario();
  scenario.entries = 1;
  const auto workload = MakeWorkload(scenario, 5);
  const RunResult result = RunProduct(scenario, workload, 5);
  for (const QueueResult& it : result.queues)
    CHECK(static_cast<double>(it.missed) <=
          0.001 * static_cast<double>(it.arrived));
}

// Guards against a wave that begins after idle VMs were stopped and then takes
// far longer than its estimate.
TEST_CASE("a wave ends within 1.25 times its estimate") {
  Scenario scenario = SmallScenario();
  scenario.duration_s = 1100;
  scenario.wave_at_s = 600;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const auto workload = MakeWorkload(scenario, seed);
    const RunResult result = RunProduct(scenario, workload, seed);
    CAPTURE(seed);
    CHECK(result.first_estimate_s > 0);
    CHECK(result.wave_end_s > 0);
    CHECK(result.wave_end_s <= 1.25 * result.first_estimate_s);
    CHECK(result.first_estimate_s <= 1.25 * result.wave_end_s);
  }
}

}  // namespace
}  // namespace pomelomill::measure
