#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "model.h"

namespace pomelomill::measure {

/// VMs of the deployment as declared: numbered racks of `rack_size` VMs, racks
/// in turn over the zones.
std::vector<ModelVm> DeclaredVms(const Scenario& scenario);

/// `count` VMs in each pool, spread over racks and zones.
std::vector<ModelVm> EqualVms(const Scenario& scenario, int count);

/// Planner, maintenance and routing of the product.
/// `on_decision` receives every decision.
RunResult RunProduct(
    const Scenario& scenario, const std::vector<Request>& workload,
    std::uint64_t seed,
    std::function<void(const Decision&)> on_decision = nullptr);

/// Static pools, random routing, a wave of fixed size.
RunResult RunStatic(const Scenario& scenario,
                    const std::vector<Request>& workload, std::uint64_t seed,
                    std::vector<ModelVm> vms);

/// Least connections, a reactive autoscaler, a wave of fixed size.
RunResult RunReactive(const Scenario& scenario,
                      const std::vector<Request>& workload, std::uint64_t seed);

/// Static pools, earliest deadline first, no wave and nothing lost.
RunResult RunPooled(const Scenario& scenario,
                    const std::vector<Request>& workload, std::uint64_t seed,
                    std::vector<ModelVm> vms);

/// What could be served at best: every VM that is not lost serves any queue,
/// earliest deadline first, and no VM is ever moved, stopped or maintained.
RunResult RunClairvoyant(const Scenario& scenario,
                         const std::vector<Request>& workload,
                         std::uint64_t seed);

}  // namespace pomelomill::measure
