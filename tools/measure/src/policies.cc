#include "policies.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "product_policy.h"

namespace pomelomill::measure {
namespace {

constexpr std::size_t kFixedWaveSize = 4;
constexpr double kFixedDrainTimeoutS = 30;
// Reactive autoscaling by the share of slots in use, after the usual rules.
constexpr double kScaleUp = 0.7;
constexpr double kScaleDown = 0.3;
constexpr double kScaleDownAfterS = 300;

/// Places the VM with this number in a rack and a zone.
ModelVm PlaceVm(const Scenario& scenario, std::size_t number) {
  const auto& zones = scenario.declarations.fleet.zones.begin()->second;
  const std::size_t rack = number / scenario.declarations.fleet.rack_size;
  ModelVm vm;
  vm.rack = RackId("rack-" + std::to_string(rack));
  vm.zone = zones[rack % zones.size()];
  return vm;
}

/// A wave of fixed size: the next VMs go once the last ones have returned.
class FixedWave {
 public:
  void Act(Model& model) {
    const Scenario& scenario = model.scenario();
    if (scenario.wave_at_s < 0 || model.now() < scenario.wave_at_s) return;
    std::size_t out = 0;
    bool is_left = false;
    for (const ModelVm& it : model.vms())
      if (it.purpose == VmPurpose::kReboot) ++out;
    for (std::size_t i = 0; i < model.vms().size(); ++i) {
      const ModelVm& it = model.vms()[i];
      if (it.is_maintained || it.purpose != VmPurpose::kNone) continue;
      is_left |= it.mode != VmMode::kStopped;
      if (it.mode != VmMode::kUp || out >= kFixedWaveSize) continue;
      ++out;
      model.Drain(static_cast<int>(i), VmPurpose::kReboot, it.pool);
    }
    if (out == 0 && !is_left && model.result().wave_end_s < 0)
      model.result().wave_end_s = model.now() - scenario.wave_at_s;
  }
};

class Autoscaler {
 public:
  void Act(Model& model) {
    std::vector<ModelVm>& vms = model.vms();
    for (std::size_t p = 0; p < model.pools().size(); ++p) {
      const int pool = static_cast<int>(p);
      const PoolDeclaration& declared =
          model.scenario().declarations.pools.at(model.pools()[p]);
      int up = 0;
      int busy = 0;
      int coming = 0;
      for (const ModelVm& it : vms) {
        if (it.pool != pool) continue;
        if (it.mode == VmMode::kUp) {
          ++up;
          busy += it.busy + static_cast<int>(it.waiting.size());
        }
        if (it.mode == VmMode::kDown) ++coming;
      }
      const double use =
          up == 0 ? 1 : static_cast<double>(busy) / (up * declared.slots);
      if (use > kScaleUp && coming == 0) ScaleUp(model, pool);
      if (use >= kScaleDown) {
        low_since_.erase(pool);
        continue;
      }
      const double since =
          low_since_.try_emplace(pool, model.now()).first->second;
      if (model.now() - since < kScaleDownAfterS ||
          up <= static_cast<int>(declared.min_size))
        continue;
      low_since_.erase(pool);
      for (std::size_t i = 0; i < vms.size(); ++i) {
        if (vms[i].pool != pool || vms[i].mode != VmMode::kUp) continue;
        model.Drain(static_cast<int>(i), VmPurpose::kStop, pool);
        break;
      }
    }
  }

 private:
  static void ScaleUp(Model& model, int pool) {
    std::vector<ModelVm>& vms = model.vms();
    for (std::size_t i = 0; i < vms.size(); ++i) {
      if (vms[i].pool != pool || vms[i].mode != VmMode::kStopped) continue;
      return model.Start(static_cast<int>(i));
    }
    for (std::size_t i = 0; i < vms.size(); ++i) {
      if (vms[i].pool == pool || vms[i].mode != VmMode::kStopped) continue;
      vms[i].pool = pool;
      ++model.result().moves;
      return model.Start(static_cast<int>(i));
    }
  }

  std::map<int, double> low_since_;
};

}  // namespace

std::vector<ModelVm> DeclaredVms(const Scenario& scenario) {
  std::map<VmId, int> pool_of;
  int index = 0;
  for (const auto& [id, pool] : scenario.declarations.pools) {
    for (const VmId& it : pool.vms) pool_of[it] = index;
    ++index;
  }
  std::vector<ModelVm> vms;
  for (const auto& [id, pool] : pool_of) {
    vms.push_back(PlaceVm(scenario, vms.size()));
    vms.back().id = id;
    vms.back().pool = pool;
  }
  return vms;
}

std::vector<ModelVm> EqualVms(const Scenario& scenario, int count) {
  std::vector<ModelVm> vms;
  const int pools = static_cast<int>(scenario.declarations.pools.size());
  for (int n = 0; n < count * pools; ++n) {
    vms.push_back(PlaceVm(scenario, vms.size()));
    vms.back().id = VmId("static-" + std::to_string(n));
    vms.back().pool = n % pools;
  }
  return vms;
}

RunResult RunProduct(const Scenario& scenario,
                     const std::vector<Request>& workload, std::uint64_t seed,
                     std::function<void(const Decision&)> on_decision) {
  Model model(scenario, workload, Routing::kRouter, DeclaredVms(scenario),
              seed);
  model.on_decision = std::move(on_decision);
  ProductPolicy policy(model);
  model.on_tick = [&](Model& it) { policy.Act(it); };
  return model.Run();
}

RunResult RunStatic(const Scenario& scenario,
                    const std::vector<Request>& workload, std::uint64_t seed,
                    std::vector<ModelVm> vms) {
  Model model(scenario, workload, Routing::kRandom, std::move(vms), seed);
  model.drain_timeout_s = kFixedDrainTimeoutS;
  FixedWave wave;
  model.on_tick = [&](Model& it) { wave.Act(it); };
  return model.Run();
}

RunResult RunReactive(const Scenario& scenario,
                      const std::vector<Request>& workload,
                      std::uint64_t seed) {
  Model model(scenario, workload, Routing::kLeastConnections,
              DeclaredVms(scenario), seed);
  model.drain_timeout_s = kFixedDrainTimeoutS;
  FixedWave wave;
  Autoscaler autoscaler;
  model.on_tick = [&](Model& it) {
    autoscaler.Act(it);
    wave.Act(it);
  };
  return model.Run();
}

RunResult RunPooled(const Scenario& scenario,
                    const std::vector<Request>& workload, std::uint64_t seed,
                    std::vector<ModelVm> vms) {
  Scenario without_loss = scenario;
  without_loss.rack_lost_at_s = -1;
  without_loss.zone_lost_at_s = -1;
  Model model(without_loss, workload, Routing::kEarliestDeadline,
              std::move(vms), seed);
  return model.Run();
}

RunResult RunClairvoyant(const Scenario& scenario,
                         const std::vector<Request>& workload,
                         std::uint64_t seed) {
  Scenario merged = scenario;
  const PoolId only = merged.declarations.pools.begin()->first;
  for (auto& [id, service] : merged.declarations.services) service.pool = only;
  std::vector<ModelVm> vms = DeclaredVms(scenario);
  for (ModelVm& it : vms) it.pool = 0;
  Model model(merged, workload, Routing::kEarliestDeadline, std::move(vms),
              seed);
  return model.Run();
}

}  // namespace pomelomill::measure
