#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "pomelomill/routing.h"

namespace pomelomill {

inline constexpr int kVmCount = 4;

/// Pool "main" with the service "proof" and its queues "proof/layout"
/// (repeatable) and "proof/order" (not repeatable), and an unused pool "spare".
/// The team "limited" may send two requests per second.
inline std::shared_ptr<const Declarations> TestDeclarations() {
  auto it = std::make_shared<Declarations>();
  for (const char* name : {"main", "spare"}) {
    PoolDeclaration pool;
    pool.id = PoolId(name);
    pool.slots = 4;
    pool.connections = 16;
    it->pools[pool.id] = pool;
  }
  it->services[ServiceId("proof")] = {
      .id = ServiceId("proof"), .pool = PoolId("main"), .title = "proof"};
  for (const char* name : {"proof/layout", "proof/order"}) {
    QueueDeclaration queue;
    queue.id = QueueId(name);
    queue.service = ServiceId("proof");
    queue.is_repeatable = queue.id == QueueId("proof/layout");
    queue.max_waiting = 16;
    it->queues[queue.id] = queue;
  }
  TeamDeclaration team;
  team.id = TeamId("limited");
  team.max_rate = 2;
  it->teams[team.id] = team;
  return it;
}

inline VmId TestVm(int i) { return VmId("vm-" + std::to_string(i)); }

/// A region with kVmCount VMs in pool "main" and the entries "a" and "b" with
/// equal weights.
inline RegionState TestRegion() {
  RegionState state;
  for (int i = 0; i < kVmCount; ++i) {
    VmState vm;
    vm.pool = PoolId("main");
    vm.address = "10.0.0." + std::to_string(i) + ":80";
    vm.generation = Generation(1);
    state.vms[TestVm(i)] = vm;
  }
  state.shares = {{EntryId("a"), IncarnationId("a1"), 1},
                  {EntryId("b"), IncarnationId("b1"), 1}};
  return state;
}

/// Options of entry "a".
inline RouterOptions TestRouterOptions() {
  RouterOptions options;
  options.entry = EntryId("a");
  options.incarnation = IncarnationId("a1");
  return options;
}

/// Returns the actions of type T, in order.
template <typename T>
std::vector<T> ActionsOf(const std::vector<RouterAction>& actions) {
  std::vector<T> found;
  for (const RouterAction& it : actions) {
    if (const T* action = std::get_if<T>(&it)) found.push_back(*action);
  }
  return found;
}

/// Returns a router that has applied TestDeclarations() and the region and
/// holds a permit without expiry.
inline Router MakeTestRouter(const RegionState& region, Instant now,
                             RouterOptions options = TestRouterOptions()) {
  Router router(std::move(options));
  router.Handle(DeclarationsChanged{TestDeclarations()}, now);
  router.Handle(
      RegionStateChanged{std::make_shared<RegionState>(region), Version(1)},
      now);
  router.Handle(SendPermitChanged{Instant::max()}, now);
  return router;
}

}  // namespace pomelomill
