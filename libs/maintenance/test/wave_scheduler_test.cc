#include "pomelomill/maintenance/wave_scheduler.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdio>

#include "pomelomill/maintenance/schedule_search.h"
#include "wave_fixture.h"

namespace pomelomill {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

using Needs = std::map<PoolId, PoolNeed>;

Needs ComputeNeeds(const WaveInput& input) {
  Needs needs;
  for (const auto& [id, queues] :
       CollectQueues(*input.declarations, input.state->region, input.demand))
    needs[id] = ComputePoolNeed(input.declarations->pools.at(id), queues, {});
  return needs;
}

/// Reference for `CapacityView`: whether each pool keeps the VMs that it needs
/// for a peak, and after the loss of any rack, without the VMs that are out.
/// Counts all VMs of the state anew.
bool IsSafeByRecount(const WaveInput& input, const Needs& needs,
                     const std::set<VmId>& out) {
  for (const auto& [id, need] : needs) {
    std::uint32_t left = 0;
    std::set<RackId> racks;
    for (const auto& [vm_id, vm] : input.state->vms) {
      if (vm.pool != id || out.contains(vm_id) ||
          input.lost_vms.contains(vm_id))
        continue;
      ++left;
      racks.insert(vm.rack);
    }
    if (left < need.single_peak) return false;
    for (const RackId& rack : racks) {
      std::uint32_t without = 0;
      for (const auto& [vm_id, vm] : input.state->vms) {
        if (vm.pool == id && !out.contains(vm_id) &&
            !input.lost_vms.contains(vm_id) && vm.rack != rack)
          ++without;
      }
      if (without < need.base) return false;
    }
  }
  return true;
}

std::set<VmId> OutVms(const RegionState& state) {
  std::set<VmId> out;
  for (const auto& [id, intent] : state.intents) {
    if (intent.step != IntentStep::kDone) out.insert(intent.vm);
  }
  return out;
}

bool HasAction(const WaveStep& step, WaveActionKind kind) {
  return std::any_of(step.actions.begin(), step.actions.end(),
                     [&](const WaveAction& it) { return it.kind == kind; });
}

// Guards against a wave that takes a pool below the number of VMs that its
// error budgets need, maintains a VM twice, or never ends although it could.
TEST_CASE("a wave maintains each VM once within the error budgets") {
  CHECK(rc::check([](std::uint64_t seed) {
    WaveFixture fixture = WaveFixture::Generate(seed, 4, 24);
    const Needs needs = ComputeNeeds(fixture.input);
    Random random(seed);
    WaveScheduler scheduler;
    // Once no VM is out and no pending VM can be spared, only the peaks change.
    // Further steps must start no maintenance, through many peaks.
    const auto is_stuck = [&] {
      if (!fixture.state->intents.empty()) return false;
      const std::vector<VmId>& pending = fixture.wave().pending;
      return std::none_of(pending.begin(), pending.end(), [&](const VmId& it) {
        return IsSafeByRecount(fixture.input, needs, {it});
      });
    };
    int stuck_steps = 0;
    for (int n = 0; n < 2000 && stuck_steps < 200;
         ++n, fixture.now += seconds(5)) {
      for (auto& [id, demand] : fixture.input.demand) {
        // Peaks of 5 s in turn.
        demand.current_rate =
            demand.mean_rate * (random.Chance(0.05) ? 5 : 0.8);
      }
      const WaveStep step = fixture.Step(scheduler);
      for (const WaveAction& it : step.actions) {
        if (it.kind != WaveActionKind::kStart) continue;
        for (const auto& [id, demand] : fixture.input.demand) {
          if (fixture.state->vms.at(it.vm).pool.value() + "/q" == id.value())
            RC_ASSERT(demand.current_rate <= demand.mean_rate * 2);
        }
      }
      if (HasAction(step, WaveActionKind::kStart))
        RC_ASSERT(
            IsSafeByRecount(fixture.input, needs, OutVms(*fixture.state)));
      if (fixture.wave().phase == WavePhase::kDone) break;
      if (stuck_steps > 0) RC_ASSERT(fixture.state->intents.empty());
      if (stuck_steps > 0 || (n % 20 == 0 && is_stuck())) ++stuck_steps;
    }
    // The wave can end unless some pool cannot spare a single VM.
    bool can_end = true;
    for (const auto& [id, vm] : fixture.state->vms)
      can_end &= IsSafeByRecount(fixture.input, needs, {id});
    if (can_end) RC_ASSERT(fixture.wave().phase == WavePhase::kDone);
    for (const auto& [vm, count] : fixture.starts) RC_ASSERT(count == 1);
    if (fixture.wave().phase == WavePhase::kDone)
      RC_ASSERT(fixture.starts.size() == fixture.state->vms.size());
  }));
}

// Guards against a schedule that is needlessly slow: compares it with the
// optimal schedule on small instances. The bound is the target for roll-outs.
TEST_CASE("the roll-out stays within 1.25 times the best schedule") {
  int rounds = 0;
  std::uint32_t best = 0;
  int compared = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    WaveFixture fixture = WaveFixture::Generate(seed, 2, 12);
    const Needs needs = ComputeNeeds(fixture.input);
    std::vector<VmId> vms;
    for (const auto& [id, vm] : fixture.state->vms) vms.push_back(id);
    const auto fewest = FindFewestRounds(12, [&](std::uint32_t set) {
      std::set<VmId> out;
      for (std::size_t i = 0; i < vms.size(); ++i) {
        if ((set >> i & 1U) != 0) out.insert(vms[i]);
      }
      return IsSafeByRecount(fixture.input, needs, out);
    });
    WaveScheduler scheduler;
    const int steps = fixture.Run(scheduler, seconds(60), 100);
    CHECK((fixture.wave().phase == WavePhase::kDone) == fewest.has_value());
    if (!fewest) continue;
    ++compared;
    rounds += steps;
    best += *fewest;
  }
  std::printf("roll-out: %d rounds, best %u, ratio %.3f over %d instances\n",
              rounds, best, static_cast<double>(rounds) / best, compared);
  CHECK(rounds * 100 <= static_cast<int>(best) * 125);
}

// Guards against a wave that maintains stopped VMs last, although their
// maintenance costs no capacity, and therefore waits for spare VMs.
TEST_CASE("stopped VMs are maintained first and add capacity") {
  WaveFixture fixture;
  fixture.AddPool("p0");
  fixture.AddQueue("p0", "q", 16);
  for (int v = 0; v < 12; ++v) fixture.AddVm("p0", v);
  fixture.AddWave("w");
  const std::uint32_t needed =
      ComputeNeeds(fixture.input).at(PoolId("p0")).single_peak;
  REQUIRE(needed < 10);
  std::set<VmId> stopped;
  for (auto& [id, vm] : fixture.state->vms) {
    if (fixture.state->vms.size() - stopped.size() == needed) break;
    vm.phase = VmPhase::kStopped;
    stopped.insert(id);
  }
  WaveScheduler scheduler;
  const WaveStep first = fixture.Step(scheduler);
  const WaveEstimate& estimate = first.estimates.at(WaveId("w"));
  std::set<VmId> taken;
  for (const auto& [vm, count] : fixture.starts) taken.insert(vm);
  CHECK(taken == stopped);
  // The first round takes all stopped VMs; each later round takes as many VMs
  // at a time.
  const auto spare = static_cast<std::uint32_t>(stopped.size());
  const std::uint32_t best = 1 + (needed + spare - 1) / spare;
  CHECK(estimate.rounds == best);
  const int steps = fixture.Run(scheduler, seconds(60), 100);
  CHECK(fixture.wave().phase == WavePhase::kDone);
  CHECK(steps == static_cast<int>(best));
}

// Guards against a wave that continues although its first VMs do not return,
// and against a stopped wave that operators cannot resume.
TEST_CASE("a wave stops when VMs do not return, and can be resumed") {
  WaveFixture fixture = WaveFixture::Generate(1, 2, 12);
  for (const auto& [id, vm] : fixture.state->vms) fixture.broken_vms.insert(id);
  WaveScheduler scheduler;
  const WaveStep first = fixture.Step(scheduler);
  const std::uint32_t allowed = first.estimates.at(WaveId("w")).concurrency;
  fixture.Run(scheduler, seconds(5), 1000);
  CHECK(fixture.wave().phase == WavePhase::kStoppedByItself);
  CHECK(!fixture.wave().reason.empty());
  REQUIRE(allowed > 2);
  CHECK(fixture.starts.size() <= allowed);

  fixture.broken_vms.clear();
  fixture.input.waves_to_resume.insert(WaveId("w"));
  CHECK(HasAction(fixture.Step(scheduler), WaveActionKind::kResume));
  fixture.input.waves_to_resume.clear();
  fixture.Run(scheduler, seconds(5), 1000);
  CHECK(fixture.wave().phase == WavePhase::kDone);
  CHECK(fixture.wave().done.size() == 12);
}

// Guards against a wave that stops because its controller could not observe the
// return of VMs while the store was unavailable.
TEST_CASE("time without observations does not count VMs as failed") {
  WaveFixture fixture = WaveFixture::Generate(1, 2, 12);
  for (const auto& [id, vm] : fixture.state->vms) fixture.broken_vms.insert(id);
  WaveScheduler scheduler;
  fixture.Run(scheduler, seconds(5), 4);
  REQUIRE(fixture.state->intents.size() > 2);
  REQUIRE(fixture.wave().phase == WavePhase::kRunning);
  fixture.now += std::chrono::minutes(10);
  fixture.Step(scheduler);
  CHECK(fixture.wave().phase == WavePhase::kRunning);
  CHECK(fixture.wave().failed.empty());

  // Time that is observed still counts.
  fixture.Run(scheduler, seconds(5), 1000);
  CHECK(fixture.wave().phase == WavePhase::kStoppedByItself);
}

// Guards against taking out too many VMs while an entry is replaced: the slots
// of the leaving entry serve no requests until another entry has taken them
// over.
TEST_CASE("a wave takes out fewer VMs while the slots of an entry are unused") {
  WaveFixture fixture = WaveFixture::Generate(1, 2, 12);
  const auto share = [](const char* name, SharePhase phase) {
    return EntryShare{.entry = EntryId(name),
                      .incarnation = IncarnationId(name),
                      .weight = 1,
                      .phase = phase};
  };
  fixture.state->shares = {share("e1", SharePhase::kActive),
                           share("e2", SharePhase::kActive)};
  WaveScheduler whole;
  const std::size_t all = fixture.Step(whole).actions.size();
  REQUIRE(all > 0);

  fixture.state->intents.clear();
  fixture.state->waves.clear();
  fixture.state->shares[1].phase = SharePhase::kLeaving;
  WaveScheduler reduced;
  CHECK(fixture.Step(reduced).actions.size() < all);
}

// Guards against a long wave that takes out as many VMs as the error budgets
// allow before the first VM has returned.
TEST_CASE("the first batch of a long wave is smaller") {
  WaveFixture fixture;
  fixture.AddPool("p0");
  fixture.AddQueue("p0", "q", 33);
  for (int v = 0; v < 24; ++v) fixture.AddVm("p0", v / 2);
  fixture.AddWave("w");
  WaveScheduler scheduler;
  const WaveStep first = fixture.Step(scheduler);
  const WaveEstimate& estimate = first.estimates.at(WaveId("w"));
  REQUIRE(estimate.concurrency > 2);
  REQUIRE(estimate.rounds >= 5);
  CHECK(fixture.starts.size() == (estimate.concurrency + 1) / 2);
  fixture.now += seconds(60);
  fixture.Step(scheduler);
  CHECK(fixture.state->intents.size() == estimate.concurrency);
}

// Guards against a wave that stops because a single VM fails by chance.
TEST_CASE("one failed VM does not stop a wave") {
  WaveFixture fixture = WaveFixture::Generate(1, 2, 12);
  fixture.broken_vms.insert(fixture.state->vms.begin()->first);
  WaveScheduler scheduler;
  for (int n = 0; n < 400; ++n, fixture.now += seconds(5))
    fixture.Step(scheduler);
  CHECK(fixture.wave().failed.size() == 1);
  CHECK(fixture.wave().done.size() == 11);
}

// Guards against a wave that takes out VMs while a rack is lost, or that counts
// the VMs of the lost rack as failed by the maintenance.
TEST_CASE("a wave waits while a rack is lost") {
  WaveFixture fixture = WaveFixture::Generate(1, 2, 12);
  WaveScheduler scheduler;
  const RackId rack = fixture.state->vms.begin()->second.rack;
  for (int i = 0; i < 3; ++i) fixture.AddVm("p0", 99);
  fixture.Step(scheduler);
  for (const auto& [id, vm] : fixture.state->vms) {
    if (vm.rack != RackId("rack-99")) continue;
    fixture.input.lost_vms.insert(id);
    fixture.broken_vms.insert(id);
  }
  const auto before = fixture.starts.size();
  for (int n = 0; n < 100; ++n, fixture.now += seconds(5))
    fixture.Step(scheduler);
  CHECK(fixture.starts.size() == before);
  CHECK(fixture.wave().reason == "rack rack-99 is lost");
  CHECK(fixture.wave().failed.empty());
  fixture.input.lost_vms.clear();
  fixture.broken_vms.clear();
  fixture.Run(scheduler, seconds(5), 1000);
  CHECK(fixture.wave().phase == WavePhase::kDone);
}

// Guards against a second maintenance of a VM within one cycle, by its wave or
// by another wave with the same action.
TEST_CASE("maintained VMs are skipped, and overlapping waves count them once") {
  WaveFixture fixture = WaveFixture::Generate(1, 2, 12);
  fixture.AddWave("w").every = std::chrono::hours(24 * 42);
  fixture.AddWave("x").every = std::chrono::hours(24 * 42);
  const VmId recent = fixture.state->vms.begin()->first;
  fixture.input.time_since_maintenance[recent] = std::chrono::hours(24);
  WaveScheduler scheduler;
  fixture.Run(scheduler, seconds(5), 1000);
  fixture.Step(scheduler);
  CHECK(fixture.wave("w").phase == WavePhase::kDone);
  CHECK(fixture.wave("x").phase == WavePhase::kDone);
  CHECK(!fixture.starts.contains(recent));
  CHECK(fixture.starts.size() == 11);
  for (const auto& [vm, count] : fixture.starts) CHECK(count == 1);
}

// Guards against a missed deadline that is reported only when it passes, and
// against VMs that are taken out too late to return before it.
TEST_CASE("a wave that cannot meet its deadline reports this at the start") {
  WaveFixture fixture = WaveFixture::Generate(1, 2, 12);
  WaveScheduler scheduler;
  fixture.input.windows[WaveId("w")].until_deadline = seconds(30);
  const WaveStep late = fixture.Step(scheduler);
  CHECK(HasAction(late, WaveActionKind::kAtRisk));
  CHECK(!HasAction(late, WaveActionKind::kStart));

  WaveScheduler second;
  fixture.input.windows[WaveId("w")].until_deadline = std::chrono::hours(5);
  const WaveStep early = fixture.Step(second);
  CHECK(!HasAction(early, WaveActionKind::kAtRisk));
  CHECK(HasAction(early, WaveActionKind::kStart));
}

// Guards against a wave that stays in the running phase outside its maintenance
// window: the planner would keep idle VMs up for it until the next day.
TEST_CASE("a wave outside its window is waiting") {
  WaveFixture fixture = WaveFixture::Generate(1, 2, 12);
  WaveScheduler scheduler;
  fixture.Step(scheduler);
  CHECK(fixture.wave().phase == WavePhase::kRunning);
  const auto before = fixture.starts.size();
  fixture.input.windows[WaveId("w")].until_start = std::chrono::hours(20);
  fixture.now += seconds(60);
  fixture.Step(scheduler);
  CHECK(fixture.wave().phase == WavePhase::kWaiting);
  CHECK(fixture.starts.size() == before);
}

// Guards against a new holder of the control lease that maintains VMs again.
TEST_CASE("a new scheduler continues from the region state") {
  WaveFixture fixture = WaveFixture::Generate(2, 3, 18);
  for (int n = 0; n < 300; ++n, fixture.now += seconds(5)) {
    WaveScheduler fresh;
    fixture.Step(fresh);
  }
  CHECK(fixture.wave().phase == WavePhase::kDone);
  for (const auto& [vm, count] : fixture.starts) CHECK(count == 1);
}

// Guards against a wrong reference for the roll-out test: one VM at a time
// takes as many rounds as there are VMs, and two at a time take half as many.
TEST_CASE("the schedule search finds the fewest rounds") {
  const auto at_most = [](int limit) {
    return
        [limit](std::uint32_t set) { return __builtin_popcount(set) <= limit; };
  };
  CHECK(FindFewestRounds(7, at_most(1)) == 7);
  CHECK(FindFewestRounds(7, at_most(2)) == 4);
  CHECK(!FindFewestRounds(7, at_most(0)).has_value());
}

}  // namespace
}  // namespace pomelomill
