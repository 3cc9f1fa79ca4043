#include "pomelomill/control/intent_step.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "pomelomill/control/vm_adoption.h"
#include "pomelomill/control/wave_windows.h"

namespace pomelomill {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

RegionState OneVm() {
  RegionState state;
  state.vms[VmId("vm-1")] = {.pool = PoolId("a"), .generation = Generation(3)};
  return state;
}

Intent IntentFor(IntentKind kind) {
  return {.id = IntentId("i1"),
          .vm = VmId("vm-1"),
          .kind = kind,
          .target_pool = PoolId("b")};
}

// Guards against a stop of a VM that entries may still send work to: no fact
// but a confirmed drain may lead out of the drain step, and the platform is
// called in no step before it.
TEST_CASE("nothing but a confirmed drain leaves the drain step") {
  CHECK(rc::check([](bool is_healthy, std::uint32_t generation, int operation) {
    Intent intent = IntentFor(IntentKind::kReboot);
    IntentFacts facts{.operation = static_cast<OperationState>(operation & 3),
                      .generation = Generation(generation),
                      .is_healthy = is_healthy};
    RC_ASSERT(NextAction(intent, facts) == IntentAction::kWaitForDrain);
    facts.active_requests = 0;
    RC_ASSERT(NextAction(intent, facts) == IntentAction::kWaitForDrain);
    facts.is_drained = true;
    RC_ASSERT(NextAction(intent, facts) == IntentAction::kAdvance);
  }));
}

// Guards against a stop that cuts the requests of an entry that has fenced
// itself: only the endpoint can still tell that they are running.
TEST_CASE("a VM whose endpoint still runs requests is not stopped") {
  const Intent intent = IntentFor(IntentKind::kReboot);
  IntentFacts facts{.is_drained = true};
  CHECK(NextAction(intent, facts) == IntentAction::kCheckHealth);
  facts.active_requests = 1;
  CHECK(NextAction(intent, facts) == IntentAction::kCheckHealth);
  facts.active_requests = 0;
  CHECK(NextAction(intent, facts) == IntentAction::kAdvance);
}

// Guards against a second reboot: a raised generation proves that the first
// one took effect, whatever the platform says about the operation.
TEST_CASE("a raised generation counts as rebooted") {
  Intent intent = IntentFor(IntentKind::kReboot);
  intent.step = IntentStep::kStop;
  intent.generation = Generation(3);
  for (const auto state : {OperationState::kNone, OperationState::kRunning,
                           OperationState::kFailed}) {
    const IntentFacts facts{.operation = state, .generation = Generation(4)};
    CHECK(NextAction(intent, facts) == IntentAction::kAdvance);
  }
  CHECK(NextAction(intent, {}) == IntentAction::kPollPlatform);
  CHECK(NextAction(intent, {.operation = OperationState::kNone,
                            .generation = Generation(3)}) ==
        IntentAction::kCallPlatform);
}

// Guards against intents that skip a step, forget the VM's phase, or change
// the pool anywhere but in the write that marks the VM as stopped.
TEST_CASE("each kind of intent passes through its steps") {
  struct Case {
    IntentKind kind;
    std::vector<VmPhase> phases;
    std::string pool;
  };
  const std::vector<Case> cases = {
      {IntentKind::kReboot,
       {VmPhase::kDraining, VmPhase::kStopped, VmPhase::kReturning,
        VmPhase::kActive},
       "a"},
      {IntentKind::kMove,
       {VmPhase::kDraining, VmPhase::kStopped, VmPhase::kReturning,
        VmPhase::kActive},
       "b"},
      {IntentKind::kStop,
       {VmPhase::kDraining, VmPhase::kStopped, VmPhase::kStopped},
       "a"},
  };
  for (const Case& it : cases) {
    RegionState state = OneVm();
    REQUIRE(OpenIntent(&state, IntentFor(it.kind), Version(1)));
    std::vector<VmPhase> phases = {state.vms[VmId("vm-1")].phase};
    std::uint64_t version = 1;
    while (state.intents[IntentId("i1")].step != IntentStep::kDone) {
      AdvanceIntent(&state, IntentId("i1"), Generation(4), Version(++version));
      phases.push_back(state.vms[VmId("vm-1")].phase);
      CHECK(state.intents[IntentId("i1")].since == Version(version));
    }
    CHECK(phases == it.phases);
    CHECK(state.vms[VmId("vm-1")].pool == PoolId(it.pool));
  }
}

// Guards against two intents on one VM and against starts of running VMs.
TEST_CASE("an intent opens only on a VM in the right phase without another") {
  RegionState state = OneVm();
  CHECK_FALSE(OpenIntent(&state, IntentFor(IntentKind::kStart), Version(1)));
  CHECK(OpenIntent(&state, IntentFor(IntentKind::kReboot), Version(1)));
  Intent second = IntentFor(IntentKind::kStop);
  second.id = IntentId("i2");
  CHECK_FALSE(OpenIntent(&state, second, Version(2)));
  Intent unknown = IntentFor(IntentKind::kStop);
  unknown.vm = VmId("vm-9");
  CHECK_FALSE(OpenIntent(&state, unknown, Version(2)));
  CHECK(state.intents.size() == 1);
}

// Guards against one operation id for two calls of one intent: the platform
// would take the second for a repeat and ignore it.
TEST_CASE("each platform call of an intent has an id of its own") {
  Intent intent = IntentFor(IntentKind::kReboot);
  std::vector<std::string> ids;
  for (const auto step :
       {IntentStep::kDrain, IntentStep::kStop, IntentStep::kRestart}) {
    intent.step = step;
    ids.push_back(OperationId(intent).value());
  }
  CHECK(ids[0] != ids[1]);
  CHECK(ids[1] != ids[2]);
  CHECK(ids[0] != ids[2]);
}

// Guards against VMs without a pool, VMs that change pools by being listed
// again, and pools that fill up while others lack VMs.
TEST_CASE("listed VMs join the pool that names them or lacks most") {
  Declarations declarations;
  declarations.pools[PoolId("a")] = {.id = PoolId("a"),
                                     .region = RegionId("r"),
                                     .size = 1,
                                     .vms = {VmId("vm-9")}};
  declarations.pools[PoolId("b")] = {
      .id = PoolId("b"), .region = RegionId("r"), .size = 2};
  declarations.pools[PoolId("c")] = {
      .id = PoolId("c"), .region = RegionId("r"), .size = 0, .is_spare = true};
  declarations.pools[PoolId("x")] = {
      .id = PoolId("x"), .region = RegionId("other"), .size = 9};
  RegionState state;
  state.region = RegionId("r");
  std::vector<VmRecord> listed;
  for (int i = 1; i <= 4; ++i) {
    listed.push_back(
        {.id = VmId("vm-" + std::to_string(i)), .address = "127.0.0.1:1"});
  }
  listed.push_back({.id = VmId("vm-9")});
  listed.push_back({.id = VmId("vm-10"), .listing = VmListing::kLeaving});
  CHECK(AdoptVms(&state, declarations, listed).size() == 5);
  CHECK(AdoptVms(&state, declarations, listed).empty());
  std::map<PoolId, int> sizes;
  for (const auto& [id, vm] : state.vms) ++sizes[vm.pool];
  CHECK(state.vms[VmId("vm-9")].pool == PoolId("a"));
  CHECK(sizes[PoolId("a")] == 1);
  CHECK(sizes[PoolId("b")] == 2);
  CHECK(sizes[PoolId("c")] == 2);
  CHECK_FALSE(state.vms.contains(VmId("vm-10")));
}

// Guards against windows that cross midnight and are taken for closed.
TEST_CASE("maintenance windows are relative to the time of day") {
  Declarations declarations;
  declarations.maintenance[WaveId("w")] = {.id = WaveId("w"),
                                           .not_before_minute = 22 * 60,
                                           .deadline_minute = 4 * 60};
  const auto at = [&](int hour) {
    return WaveWindows(declarations, std::int64_t{hour} * 3600).at(WaveId("w"));
  };
  CHECK(at(21).until_start == hours(1));
  CHECK(at(21).until_deadline == hours(7));
  CHECK(at(23).until_start == -hours(1));
  CHECK(at(3).until_start == -hours(5));
  CHECK(at(3).until_deadline == hours(1));
  CHECK(at(5).until_start == hours(17));
  declarations.maintenance[WaveId("w")].deadline_minute.reset();
  CHECK(at(23).until_start == -hours(1));
  CHECK(at(1).until_start == hours(21));
  declarations.maintenance[WaveId("w")].not_before_minute.reset();
  CHECK(at(1).until_start == Duration(0));
  CHECK_FALSE(at(1).until_deadline.has_value());
}

}  // namespace
}  // namespace pomelomill
