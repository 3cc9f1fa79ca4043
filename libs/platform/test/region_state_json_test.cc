#include "pomelomill/platform/region_state_json.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

#include "pomelomill/base/random.h"
#include "pomelomill/platform/platform_error.h"

namespace pomelomill {
namespace {

/// A region state as at the target scale: four VMs to a rack, some of them in
/// a wave, nine entries.
RegionState MakeState(std::size_t vms, std::size_t pools, std::uint64_t seed) {
  Random random(seed);
  RegionState state;
  state.region = RegionId("moravia");
  state.epoch = Epoch(random.Below(100));
  state.writer = IncarnationId("entry-3-5f1c9a7e");
  state.sequence = random.Below(100000);
  state.config_revision = Revision(random.Below(1000));
  for (std::size_t i = 0; i < vms; ++i) {
    const std::string n = std::to_string(i);
    VmState vm;
    vm.pool = PoolId("pool-" + std::to_string(random.Below(pools)));
    vm.address = "10.12." + std::to_string(i / 250) + "." +
                 std::to_string(i % 250) + ":8080";
    vm.zone = ZoneId("moravia-" + std::to_string(i % 3));
    vm.rack = RackId("rack-" + std::to_string(i / 4));
    vm.generation = Generation(1 + random.Below(40));
    vm.phase = random.Chance(0.03) ? static_cast<VmPhase>(random.Below(5))
                                   : VmPhase::kActive;
    vm.maintained_at_s = static_cast<std::int64_t>(1796000000 + i);
    state.vms.emplace(VmId("vm-" + n), vm);
    if (!random.Chance(0.03)) continue;
    Intent intent;
    intent.id = IntentId("intent-" + n);
    intent.vm = VmId("vm-" + n);
    intent.kind = static_cast<IntentKind>(random.Below(4));
    intent.step = static_cast<IntentStep>(random.Below(5));
    intent.generation = vm.generation;
    intent.since = Version(random.Below(1000));
    state.intents.emplace(intent.id, intent);
    WaveState& wave = state.waves[WaveId("wave")];
    wave.id = WaveId("wave");
    wave.phase = WavePhase::kRunning;
    wave.pending.push_back(intent.vm);
  }
  for (int i = 0; i < 9; ++i) {
    const std::string entry = "entry-" + std::to_string(i);
    state.shares.push_back({.entry = EntryId(entry),
                            .incarnation = IncarnationId(entry + "-5f1c9a7e"),
                            .weight = 1,
                            .phase = static_cast<SharePhase>(random.Below(3))});
  }
  return state;
}

// Guards against a state that changes on its way through the store.
TEST_CASE("a region state survives its JSON form") {
  CHECK(rc::check([](std::uint64_t seed, std::uint8_t vms) {
    const RegionState state = MakeState(vms, 10, seed);
    const auto parsed = RegionStateFromJson(ToJson(state));
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(*parsed == state);
    RC_ASSERT(ToJson(*parsed) == ToJson(state));
  }));
}

// Guards against crashes, exceptions and silent defaults on damaged values.
TEST_CASE("a damaged text is refused or still a well-formed state") {
  const std::string text = ToJson(MakeState(12, 3, 1));
  CHECK(rc::check([&](std::uint64_t seed) {
    Random random(seed);
    std::string damaged = text;
    const std::uint64_t edits = 1 + random.Below(3);
    for (std::uint64_t i = 0; i < edits; ++i) {
      const std::size_t at = random.Below(damaged.size());
      switch (random.Below(3)) {
        case 0:
          damaged[at] = static_cast<char>(random.Below(256));
          break;
        case 1:
          damaged.erase(at, 1 + random.Below(9));
          break;
        default:
          damaged.resize(at + 1);
      }
    }
    const auto parsed = RegionStateFromJson(damaged);
    if (parsed) RC_ASSERT(RegionStateFromJson(ToJson(*parsed)).has_value());
  }));
}

// Guards against a VM in two pools through a repeated key, indexes outside
// the name lists, wrong types, and later forms read as this one.
TEST_CASE("texts of another form are refused") {
  const std::string text =
      R"({"format":1,"region":"r","epoch":1,"writer":"w","sequence":1,)"
      R"("config_revision":1,"pools":["p","q"],"zones":["z"],"racks":["k"],)"
      R"("vms":{"a":["h:1",0,0,0,1,0]},"intents":{},"waves":{},"shares":[]})";
  REQUIRE(RegionStateFromJson(text).has_value());
  const auto with = [&](const std::string& from, const std::string& to) {
    std::string changed = text;
    changed.replace(changed.find(from), from.size(), to);
    return RegionStateFromJson(changed);
  };
  CHECK(with(R"("a":["h:1",0)", R"("a":["h:1",1,0,0,1,0],"a":["h:1",0)")
            .error() == PlatformError::kBadRegionState);
  CHECK_FALSE(with(R"("h:1",0)", R"("h:1",2)").has_value());
  CHECK_FALSE(with(R"("h:1",0)", R"("h:1",-1)").has_value());
  CHECK_FALSE(with(R"("epoch":1)", R"("epoch":1.5)").has_value());
  CHECK_FALSE(with(R"("epoch":1)", R"("epoch":null)").has_value());
  CHECK_FALSE(with(R"("format":1)", R"("format":2)").has_value());
  CHECK_FALSE(with(R"(0,1,0])", R"(0,1,0,"asleep"])").has_value());
  CHECK_FALSE(with(R"("waves":{})", R"("waves":[])").has_value());
  CHECK_FALSE(RegionStateFromJson("").has_value());
  CHECK_FALSE(RegionStateFromJson(std::string(100000, '[')).has_value());
  CHECK_FALSE(RegionStateFromJson(std::string(kMaxRegionStateBytes + 1, ' ')));
}

// Guards against a value that outgrows the store. Design, section 8: a region
// of 425 VMs takes some tens of kilobytes; the whole fleet in one region must
// still fit into a value of a megabyte.
TEST_CASE("region states of the target scale are small") {
  const std::size_t region = ToJson(MakeState(425, 80, 1)).size();
  const std::size_t fleet = ToJson(MakeState(1700, 317, 1)).size();
  MESSAGE("425 VMs: ", region, " bytes; 1,700 VMs: ", fleet, " bytes");
  CHECK(region < 100 * 1024);
  CHECK(fleet < kMaxRegionStateBytes);
}

}  // namespace
}  // namespace pomelomill
