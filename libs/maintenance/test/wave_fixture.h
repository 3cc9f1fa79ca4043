#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "pomelomill/base/random.h"
#include "pomelomill/maintenance/wave_scheduler.h"

namespace pomelomill {

/// One region whose maintenance intents are carried out in virtual time: each
/// VM is out for one cold start and then returns, unless it is in `broken_vms`.
struct WaveFixture {
  std::shared_ptr<Declarations> declarations = std::make_shared<Declarations>();
  std::shared_ptr<RegionState> state = std::make_shared<RegionState>();
  WaveInput input;
  std::set<VmId> broken_vms;
  /// Number of `kStart` actions for each VM.
  std::map<VmId, int> starts;
  std::map<VmId, Instant> returns_at;
  Instant now{};

  WaveFixture() {
    state->region = RegionId("r");
    input.declarations = declarations;
    input.state = state;
  }

  void AddPool(const std::string& name) {
    PoolDeclaration& pool = declarations->pools[PoolId(name)];
    pool.id = PoolId(name);
    pool.region = RegionId("r");
    ServiceDeclaration& service = declarations->services[ServiceId(name)];
    service.id = ServiceId(name);
    service.pool = pool.id;
  }

  /// Adds a queue with a demand that keeps `slots` slots busy on average.
  void AddQueue(const std::string& pool, const std::string& name,
                double slots) {
    const QueueId id(pool + "/" + name);
    QueueDeclaration& queue = declarations->queues[id];
    queue.id = id;
    queue.service = ServiceId(pool);
    queue.service_time = std::chrono::milliseconds(500);
    queue.mean_rate = slots * 2;
    queue.deadline = std::chrono::seconds(4);
    input.demand[id] = DeclaredDemand(queue);
  }

  VmId AddVm(const std::string& pool, int rack) {
    std::string name = std::to_string(state->vms.size());
    name.insert(0, 5 - std::min<std::size_t>(5, name.size()), '0');
    VmId id("vm-" + name);
    VmState& vm = state->vms[id];
    vm.pool = PoolId(pool);
    vm.rack = RackId("rack-" + std::to_string(rack));
    vm.zone = ZoneId("zone-" + std::to_string(rack % 3));
    return id;
  }

  MaintenanceDeclaration& AddWave(const std::string& name) {
    MaintenanceDeclaration& wave = declarations->maintenance[WaveId(name)];
    wave.id = WaveId(name);
    return wave;
  }

  /// Generates random pools, most of which can spare at least one VM.
  static WaveFixture Generate(std::uint64_t seed, int pools, int vms) {
    Random random(seed);
    WaveFixture fixture;
    for (int p = 0; p < pools; ++p) {
      const std::string name = "p" + std::to_string(p);
      fixture.AddPool(name);
      const int count = vms / pools;
      for (int v = 0; v < count; ++v)
        fixture.AddVm(name, static_cast<int>(random.Below(5)) + v % 2 * 5);
      // At most the load at which a peak can still be served without one VM.
      fixture.AddQueue(name, "q", (0.3 + 1.7 * random.Unit()) * (count - 1));
    }
    fixture.AddWave("w");
    return fixture;
  }

  /// Runs one step and writes its result to the state as the controller does.
  WaveStep Step(WaveScheduler& scheduler) {
    for (auto& [id, intent] : state->intents) {
      if (broken_vms.contains(intent.vm)) continue;
      if (returns_at.at(intent.vm) > now) continue;
      intent.step = IntentStep::kDone;
      state->vms.at(intent.vm).phase = VmPhase::kActive;
    }
    WaveStep step = scheduler.Step(input, now);
    for (const IntentId& it : step.counted_intents) state->intents.erase(it);
    state->waves = step.waves;
    for (const WaveAction& it : step.actions) {
      if (it.kind != WaveActionKind::kStart) continue;
      Intent intent;
      intent.id = IntentId(it.wave.value() + "/" + it.vm.value() + "/" +
                           std::to_string(++starts[it.vm]));
      intent.vm = it.vm;
      intent.wave = it.wave;
      intent.step = IntentStep::kRestart;
      state->intents[intent.id] = intent;
      returns_at[it.vm] = now + std::chrono::seconds(60);
    }
    return step;
  }

  const WaveState& wave(const std::string& name = "w") const {
    return state->waves.at(WaveId(name));
  }

  /// Runs a step every `interval` until the wave is done or stops by itself;
  /// returns the number of steps before that one, at most `max_steps`.
  int Run(WaveScheduler& scheduler, Duration interval, int max_steps) {
    for (int n = 0; n < max_steps; ++n, now += interval) {
      Step(scheduler);
      if (wave().phase == WavePhase::kDone ||
          wave().phase == WavePhase::kStoppedByItself)
        return n;
    }
    return max_steps;
  }
};

}  // namespace pomelomill
