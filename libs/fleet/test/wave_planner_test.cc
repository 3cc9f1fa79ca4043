#include <doctest/doctest.h>

#include "pomelomill/fleet.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;

Instant At(int ms) { return Instant(milliseconds(ms)); }

std::vector<FleetVm> Vms(int n, const std::string& pool) {
  std::vector<FleetVm> vms;
  for (int i = 0; i < n; ++i) {
    const std::string id = pool + std::to_string(i);
    vms.push_back(
        {.vm = VmId(id), .pool = PoolId(pool), .worker = WorkerId("w" + id)});
  }
  return vms;
}

MaintenanceWave WaveOf(const std::vector<FleetVm>& vms,
                       std::uint32_t max_down) {
  MaintenanceWave wave{.id = WaveId("1"), .max_down = max_down};
  for (const FleetVm& it : vms) wave.vms.push_back(it.vm);
  return wave;
}

}  // namespace

TEST_CASE("no VM is maintained before its worker is empty") {
  const auto vms = Vms(4, "p");
  WavePlanner planner;
  planner.AddWave(WaveOf(vms, 2), {});
  planner.SetVms(vms, {});
  const WavePlan plan = planner.Plan(At(0));
  REQUIRE(plan.workers_to_close.size() == 1);
  CHECK(plan.maintenance_calls.empty());
  planner.OnWorkerEmptied(plan.workers_to_close[0].worker);
  CHECK(planner.Plan(At(0)).maintenance_calls.size() == 1);
}

TEST_CASE("a VM with an unanswered maintenance call counts as down") {
  // Guards against exceeding max_down: the VM may still go down later, so no
  // other VM may be maintained meanwhile.
  const auto vms = Vms(12, "p");
  WavePlanner planner;
  planner.AddWave(WaveOf(vms, 1), {});
  planner.SetVms(vms, {});
  for (const auto& it : planner.Plan(At(0)).workers_to_close)
    planner.OnWorkerEmptied(it.worker);
  auto plan = planner.Plan(At(0));
  REQUIRE(plan.maintenance_calls.size() == 1);
  const VmId requested = plan.maintenance_calls[0].vm;
  planner.OnMaintenanceAnswer(WaveId("1"), requested, VmCallOutcome::kUnknown,
                              At(10));
  CHECK(planner.Plan(At(20)).maintenance_calls.empty());
  plan = planner.Plan(At(2'000));
  REQUIRE(plan.maintenance_calls.size() == 1);
  CHECK(plan.maintenance_calls[0].vm == requested);
}

TEST_CASE("a VM that was busy counts as down once its call is accepted") {
  // Guards against exceeding max_down: a new owner of the fleet finds VMs that
  // its predecessor is moving. They are busy at the first call and have another
  // worker at the next one, which is the first that takes effect.
  auto vms = Vms(2, "p");
  WavePlanner planner({.max_pool_share = 1});
  planner.AddWave(WaveOf(vms, 1), {});
  planner.SetVms(vms, {});
  planner.Plan(At(0));
  planner.OnWorkerEmptied(vms[0].worker);
  REQUIRE(planner.Plan(At(0)).maintenance_calls.size() == 1);
  planner.OnMaintenanceAnswer(WaveId("1"), vms[0].vm, VmCallOutcome::kBusy,
                              At(10));
  vms[0].worker = WorkerId("next");
  planner.SetVms(vms, {});
  planner.Plan(At(2'000));
  planner.OnWorkerEmptied(vms[0].worker);
  const auto calls = planner.Plan(At(2'100)).maintenance_calls;
  REQUIRE(calls.size() == 1);
  REQUIRE(calls[0].vm == vms[0].vm);
  planner.OnMaintenanceAnswer(WaveId("1"), vms[0].vm, VmCallOutcome::kAccepted,
                              At(2'110));
  planner.OnWorkerEmptied(vms[1].worker);
  CHECK(planner.Plan(At(2'120)).maintenance_calls.empty());
  vms[0].worker = WorkerId("after");
  planner.SetVms(vms, {});
  CHECK(planner.Plan(At(4'200)).maintenance_calls.size() == 1);
}

TEST_CASE("VMs of a spare pool are maintained without being emptied") {
  const auto vms = Vms(3, "spare");
  WavePlanner planner;
  planner.AddWave(WaveOf(vms, 3), {});
  planner.SetVms(vms, {PoolId("spare")});
  CHECK(planner.Plan(At(0)).maintenance_calls.size() == 3);
}

TEST_CASE(
    "a wave is not complete before each existing VM's maintenance is "
    "accepted") {
  auto vms = Vms(2, "p");
  WavePlanner planner({.max_pool_share = 1});
  planner.AddWave(WaveOf(vms, 2), {VmId("p0")});
  planner.SetVms(vms, {});
  auto plan = planner.Plan(At(0));
  CHECK(plan.completed_waves.empty());
  SUBCASE("the last VM's maintenance is accepted") {
    planner.OnWorkerEmptied(WorkerId("wp1"));
    CHECK(planner.Plan(At(0)).maintenance_calls.size() == 1);
    planner.OnMaintenanceAnswer(WaveId("1"), VmId("p1"),
                                VmCallOutcome::kAccepted, At(5));
    CHECK(planner.Plan(At(6)).completed_waves.size() == 1);
    CHECK(planner.MaintainedVms(WaveId("1")).size() == 2);
    CHECK_FALSE(planner.has_open_waves());
  }
  SUBCASE("the last VM no longer exists") {
    vms.pop_back();
    planner.SetVms(vms, {});
    CHECK(planner.Plan(At(6)).completed_waves.size() == 1);
  }
}

TEST_CASE("a wave closes at most max_pool_share of a pool at a time") {
  const auto vms = Vms(12, "p");
  WavePlanner planner({.max_pool_share = 0.25});
  planner.AddWave(WaveOf(vms, 8), {});
  planner.SetVms(vms, {});
  CHECK(planner.Plan(At(0)).workers_to_close.size() == 3);
  CHECK(planner.Plan(At(1)).workers_to_close.empty());
}

TEST_CASE("moving VMs do not hold up a wave that is behind schedule") {
  // Load pattern: a peak moves many VMs while a wave is due. Guards against a
  // wave that makes no progress because moving VMs count as unavailable.
  auto vms = Vms(12, "p");
  for (std::size_t i = 8; i < vms.size(); ++i)
    vms[i].state = FleetVmState::kMoving;
  WavePlanner planner({.max_pool_share = 0.25});
  auto wave = WaveOf(Vms(8, "p"), 8);
  SUBCASE("a wave behind schedule closes VMs") {
    planner.AddWave(wave, {});
    planner.SetVms(vms, {});
    CHECK(planner.Plan(At(0)).workers_to_close.size() == 2);
  }
  SUBCASE("a wave ahead of schedule waits") {
    wave.duration = std::chrono::seconds(30);
    planner.AddWave(wave, {});
    planner.SetVms(vms, {});
    // The first VM is due at once.
    const auto first = planner.Plan(At(0)).workers_to_close;
    CHECK(planner.Plan(At(1'000)).workers_to_close.empty());
    CHECK(planner.Plan(At(9'000)).workers_to_close.size() + first.size() == 2);
  }
}

}  // namespace pomelomill
