#include "pomelomill/routing/endpoint_set.h"

#include <doctest/doctest.h>

namespace pomelomill {
namespace {

using std::chrono::seconds;

// An increased share applies after a delay. Guards against a share that never
// grows because each new region state, one per second during a maintenance
// wave, restarts the delay.
TEST_CASE("frequent region states do not defer a share increase") {
  const PoolId pool("p");
  const VmId vm("vm-1");
  Declarations declarations;
  declarations.pools[pool] = {.id = pool, .slots = 8};
  EndpointSet set(EntryId("a"), IncarnationId("a1"), SlotPolicy::kShare, {});
  RegionState state;
  state.vms[vm] = {.pool = pool};
  state.shares = {{.entry = EntryId("a"),
                   .incarnation = IncarnationId("a1"),
                   .phase = SharePhase::kJoining}};
  set.SetRegionState(state, Version(1), Instant(seconds(1)));
  set.SetDeclarations(declarations, Instant(seconds(1)));
  CHECK(set.Limit(vm, Instant(seconds(1))) == 0);
  state.shares[0].phase = SharePhase::kActive;
  for (int s = 2; s < 10; ++s) {
    set.SetRegionState(state, Version(static_cast<std::uint64_t>(s)),
                       Instant(seconds(s)));
  }
  CHECK(set.Limit(vm, Instant(seconds(10))) == 8);
}

}  // namespace
}  // namespace pomelomill
