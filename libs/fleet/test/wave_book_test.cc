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

TEST_CASE("no VM is maintained before it is empty") {
  const auto vms = Vms(4, "p");
  WaveBook book;
  book.SetWave(WaveOf(vms, 2), {});
  book.SetVms(vms, {});
  const FleetPlan plan = book.Plan(At(0));
  REQUIRE(plan.closes.size() == 1);
  CHECK(plan.maintains.empty());
  book.OnEmptied(plan.closes[0].worker);
  CHECK(book.Plan(At(0)).maintains.size() == 1);
}

TEST_CASE("an unanswered call counts as a VM that is down") {
  // It may go down later; another one beside it would exceed the limit.
  const auto vms = Vms(12, "p");
  WaveBook book;
  book.SetWave(WaveOf(vms, 1), {});
  book.SetVms(vms, {});
  for (const auto& it : book.Plan(At(0)).closes) book.OnEmptied(it.worker);
  auto plan = book.Plan(At(0));
  REQUIRE(plan.maintains.size() == 1);
  const VmId asked = plan.maintains[0].vm;
  book.OnMaintained(WaveId("1"), asked, MaintainOutcome::kUnknown, At(10));
  CHECK(book.Plan(At(20)).maintains.empty());
  plan = book.Plan(At(2'000));
  REQUIRE(plan.maintains.size() == 1);
  CHECK(plan.maintains[0].vm == asked);
}

TEST_CASE("VMs of a spare pool need not be emptied") {
  const auto vms = Vms(3, "spare");
  WaveBook book;
  book.SetWave(WaveOf(vms, 3), {});
  book.SetVms(vms, {PoolId("spare")});
  CHECK(book.Plan(At(0)).maintains.size() == 3);
}

TEST_CASE("a wave is complete only when each VM left has begun") {
  auto vms = Vms(2, "p");
  WaveBook book({.max_pool_share = 1});
  book.SetWave(WaveOf(vms, 2), {VmId("p0")});
  book.SetVms(vms, {});
  auto plan = book.Plan(At(0));
  CHECK(plan.completed.empty());
  SUBCASE("the last one is accepted") {
    book.OnEmptied(WorkerId("wp1"));
    CHECK(book.Plan(At(0)).maintains.size() == 1);
    book.OnMaintained(WaveId("1"), VmId("p1"), MaintainOutcome::kAccepted,
                      At(5));
    CHECK(book.Plan(At(6)).completed.size() == 1);
    CHECK(book.Done(WaveId("1")).size() == 2);
    CHECK_FALSE(book.has_open_waves());
  }
  SUBCASE("the last one is taken away for good") {
    vms.pop_back();
    book.SetVms(vms, {});
    CHECK(book.Plan(At(6)).completed.size() == 1);
  }
}

TEST_CASE("a wave takes at most its share of one pool at a time") {
  const auto vms = Vms(12, "p");
  WaveBook book({.max_pool_share = 0.25});
  book.SetWave(WaveOf(vms, 8), {});
  book.SetVms(vms, {});
  CHECK(book.Plan(At(0)).closes.size() == 3);
  CHECK(book.Plan(At(1)).closes.empty());
}

TEST_CASE("VMs on their way to a pool do not hold up its wave") {
  // Load pattern: a peak moves many VMs while a wave is due. Guards against a
  // wave that stands still because moves count as losses.
  auto vms = Vms(12, "p");
  for (std::size_t i = 8; i < vms.size(); ++i)
    vms[i].state = FleetVmState::kMoving;
  WaveBook book({.max_pool_share = 0.25});
  auto wave = WaveOf(Vms(8, "p"), 8);
  SUBCASE("behind its plan it goes on") {
    book.SetWave(wave, {});
    book.SetVms(vms, {});
    CHECK(book.Plan(At(0)).closes.size() == 2);
  }
  SUBCASE("with time left it waits") {
    wave.duration = std::chrono::seconds(30);
    book.SetWave(wave, {});
    book.SetVms(vms, {});
    // The first VM is due at once.
    const auto first = book.Plan(At(0)).closes;
    CHECK(book.Plan(At(1'000)).closes.empty());
    CHECK(book.Plan(At(9'000)).closes.size() + first.size() == 2);
  }
}

}  // namespace pomelomill
