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

// Guards against stopping a VM to which entries may still send requests:
// whatever else is known about the VM, the intent stays in the drain step and
// the platform is not asked to stop the VM until the drain is confirmed.
TEST_CASE("an intent leaves the drain step only after a confirmed drain") {
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

// Guards against stopping a VM that still runs requests of an entry that has
// fenced itself: only the endpoint can report these requests.
TEST_CASE("a VM whose endpoint still runs requests is not stopped") {
  const Intent intent = IntentFor(IntentKind::kReboot);
  IntentFacts facts{.is_drained = true};
  CHECK(NextAction(intent, facts) == IntentAction::kCheckHealth);
  facts.active_requests = 1;
  CHECK(NextAction(intent, facts) == IntentAction::kCheckHealth);
  facts.active_requests = 0;
  CHECK(NextAction(intent, facts) == IntentAction::kAdvance);
}

// Guards against a second reboot: a higher generation proves that the first
// reboot took effect, whatever state the platform reports for the operation.
TEST_CASE("a VM with a higher generation is not rebooted again") {
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

// Guards against intents that skip a step, do not update the VM's phase, or end
// with the VM in the wrong pool.
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

// Guards against two intents for one VM, intents for unknown VMs, and start
// intents for running VMs.
TEST_CASE("an intent opens only for a VM in a suitable phase without intent") {
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

// Guards against two operations of one intent with the same id: the platform
// would take the second operation for a retry of the first and ignore it.
TEST_CASE("each step of an intent has its own operation id") {
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

// Guards against VMs without a pool, VMs that are adopted twice when they are
// listed again, and pools that exceed their size while others have a deficit.
TEST_CASE("a listed VM joins its declared pool or that of largest deficit") {
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

// Guards against a window that crosses midnight and is taken for closed after
// midnight.
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
