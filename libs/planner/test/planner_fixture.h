#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "pomelomill/base/random.h"
#include "pomelomill/planner/planner.h"

namespace pomelomill {

/// Builds planner inputs for tests.
struct PlannerFixture {
  std::shared_ptr<Declarations> declarations = std::make_shared<Declarations>();
  std::shared_ptr<RegionState> state = std::make_shared<RegionState>();
  PlannerInput input;

  PlannerFixture() {
    state->region = RegionId("r");
    input.declarations = declarations;
    input.state = state;
  }

  PoolDeclaration& AddPool(const std::string& name, std::uint32_t size = 0) {
    PoolDeclaration& pool = declarations->pools[PoolId(name)];
    pool.id = PoolId(name);
    pool.region = RegionId("r");
    pool.size = size;
    ServiceDeclaration& service = declarations->services[ServiceId(name)];
    service.id = ServiceId(name);
    service.pool = pool.id;
    return pool;
  }

  QueueDeclaration& AddQueue(const std::string& pool, const std::string& name,
                             double rate, int service_ms = 500) {
    const QueueId id(pool + "/" + name);
    QueueDeclaration& queue = declarations->queues[id];
    queue.id = id;
    queue.service = ServiceId(pool);
    queue.mean_rate = rate;
    queue.service_time = std::chrono::milliseconds(service_ms);
    queue.deadline = std::chrono::milliseconds(4 * service_ms);
    input.demand[id] = DeclaredDemand(queue);
    return queue;
  }

  /// Adds a VM and returns its id; ids are numbered from 0.
  VmId AddVm(const std::string& pool, int rack, int zone) {
    std::string name = std::to_string(state->vms.size());
    name.insert(0, 5 - std::min<std::size_t>(5, name.size()), '0');
    VmId id("vm-" + name);
    VmState& vm = state->vms[id];
    vm.pool = PoolId(pool);
    vm.rack = RackId("rack-" + std::to_string(rack));
    vm.zone = ZoneId("zone-" + std::to_string(zone));
    return id;
  }

  /// Generates pools with random queues, and `vms` VMs in random pools, in
  /// racks of four VMs over three zones. The last pool is the spare pool.
  static PlannerFixture Generate(std::uint64_t seed, int pools, int vms,
                                 int max_queues = 3) {
    Random random(seed);
    PlannerFixture fixture;
    for (int p = 0; p < pools; ++p) {
      const std::string name = "p" + std::to_string(p);
      fixture.AddPool(name, vms / pools).is_spare = p + 1 == pools;
      const int queues = 1 + static_cast<int>(random.Below(max_queues));
      for (int q = 0; q < queues; ++q) {
        // The mean load of the pool is 0.5 to 4 slots per VM.
        const double slots = (0.5 + 3.5 * random.Unit()) * vms / pools / queues;
        fixture.AddQueue(name, "q" + std::to_string(q), slots * 2);
      }
    }
    for (int v = 0; v < vms; ++v) {
      const int rack = v / 4;
      fixture.AddVm("p" + std::to_string(random.Below(pools)), rack, rack % 3);
    }
    return fixture;
  }

  /// Updates the region state as if the moves, starts and stops were complete.
  void Apply(const Plan& plan) {
    for (const PoolMove& it : plan.moves) {
      state->vms.at(it.vm).pool = it.to;
      state->vms.at(it.vm).phase = VmPhase::kActive;
    }
    for (const VmId& it : plan.starts)
      state->vms.at(it).phase = VmPhase::kActive;
    for (const VmId& it : plan.stops)
      state->vms.at(it).phase = VmPhase::kStopped;
  }
};

}  // namespace pomelomill
