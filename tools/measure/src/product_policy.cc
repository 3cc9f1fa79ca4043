#include "product_policy.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <string>

namespace pomelomill::measure {
namespace {

// The declared rates weigh as much as this many seconds of measurement.
constexpr double kPriorS = 600;
// One write of the region state, read back by the watches of all entries.
constexpr std::uint64_t kWritesPerStep = 1;
constexpr std::uint64_t kEntries = 9;
// Each entry renews its lease, has two long watches and reads the control key
// each 1 to 2 s.
constexpr double kLeaseRenewS = 3.3;
constexpr double kWatchS = 4;
constexpr double kControlReadS = 1.5;

Instant At(double seconds) {
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds)));
}

/// Processor time of this thread; other processes of the machine do not count.
double ThreadSeconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * 1e-9;
}

VmPhase PhaseOf(VmMode mode) {
  switch (mode) {
    case VmMode::kUp:
      return VmPhase::kActive;
    case VmMode::kDraining:
      return VmPhase::kDraining;
    case VmMode::kDown:
      return VmPhase::kReturning;
    case VmMode::kLost:
      return VmPhase::kLost;
    case VmMode::kStopped:
      return VmPhase::kStopped;
  }
  return VmPhase::kLost;
}

}  // namespace

ProductPolicy::ProductPolicy(const Model& model)
    : declarations_(
          std::make_shared<Declarations>(model.scenario().declarations)),
      state_(std::make_shared<RegionState>()) {
  state_->region = declarations_->fleet.regions.front();
  for (std::size_t i = 0; i < model.vms().size(); ++i) {
    const ModelVm& it = model.vms()[i];
    index_[it.id] = static_cast<int>(i);
    VmState& vm = state_->vms[it.id];
    vm.pool = model.pools()[it.pool];
    vm.rack = it.rack;
    vm.zone = it.zone;
  }
}

void ProductPolicy::Measure(const Model& model) {
  const Scenario& scenario = model.scenario();
  const RunResult& result = model.result();
  for (std::size_t i = 0; i < model.queues().size(); ++i) {
    const QueueId& id = model.queues()[i];
    const QueueDeclaration& declared = declarations_->queues.at(id);
    const auto arrived = static_cast<double>(result.queues[i].arrived);
    QueueDemand& demand = demand_[id];
    demand.mean_rate =
        (declared.mean_rate * kPriorS + arrived) / (kPriorS + model.now());
    demand.current_rate = model.recent_rate(static_cast<int>(i));
    demand.service_time = declared.service_time;
    demand.peak_factor = scenario.peak_factor;
    demand.peak_duration = At(scenario.peak_duration_s).time_since_epoch();
    demand.peak_interval = At(PeakInterval(scenario)).time_since_epoch();
    const double budget = (1 - declared.availability) * demand.mean_rate *
                          ToSeconds(declared.window);
    demand.budget_spent = static_cast<double>(result.queues[i].missed);
    demand.budget_left = std::max(0.0, budget - demand.budget_spent);
  }
}

void ProductPolicy::ReadVms(const Model& model) {
  lost_.clear();
  for (const ModelVm& it : model.vms()) {
    VmState& vm = state_->vms.at(it.id);
    vm.pool = model.pools()[it.pool];
    vm.phase = PhaseOf(it.mode);
    vm.generation = it.generation;
    if (it.mode == VmMode::kLost) lost_.insert(it.id);
  }
  std::vector<IntentId> closed;
  for (auto& [id, intent] : state_->intents) {
    const ModelVm& it = model.vms()[IndexOf(intent.vm)];
    switch (it.mode) {
      case VmMode::kDraining:
        intent.step = IntentStep::kDrain;
        break;
      case VmMode::kDown:
        intent.step = IntentStep::kRestart;
        break;
      case VmMode::kLost:
        break;
      case VmMode::kUp:
      case VmMode::kStopped:
        intent.step = IntentStep::kDone;
        if (intent.wave.empty()) closed.push_back(id);
        break;
    }
  }
  for (const IntentId& it : closed) state_->intents.erase(it);
}

void ProductPolicy::Open(Model& model, const VmId& vm, IntentKind kind,
                         const PoolId& pool, const WaveId& wave) {
  Intent intent;
  intent.id = IntentId(std::to_string(next_intent_++));
  intent.vm = vm;
  intent.kind = kind;
  intent.target_pool = pool;
  intent.wave = wave;
  state_->intents[intent.id] = intent;
  model.result().store_calls += kWritesPerStep * 4 + kEntries * 4;
  const int index = IndexOf(vm);
  const auto target =
      std::find(model.pools().begin(), model.pools().end(), pool) -
      model.pools().begin();
  switch (kind) {
    case IntentKind::kStart:
      return model.Start(index);
    case IntentKind::kStop:
      return model.Drain(index, VmPurpose::kStop, model.vms()[index].pool);
    case IntentKind::kReboot:
      return model.Drain(index, VmPurpose::kReboot, model.vms()[index].pool);
    case IntentKind::kMove:
      return model.Drain(index, VmPurpose::kMove, static_cast<int>(target));
  }
}

void ProductPolicy::RunWaves(Model& model) {
  const Scenario& scenario = model.scenario();
  if (scenario.wave_at_s < 0 || model.now() < scenario.wave_at_s) return;
  WaveInput input;
  input.declarations = declarations_;
  input.state = state_;
  input.demand = demand_;
  input.lost_vms = lost_;
  const double start = ThreadSeconds();
  const WaveStep step = scheduler_.Step(input, At(model.now()));
  RunResult& result = model.result();
  result.longest_decision_s =
      std::max(result.longest_decision_s, ThreadSeconds() - start);
  for (const IntentId& it : step.counted_intents) state_->intents.erase(it);
  state_->waves = step.waves;
  if (result.first_estimate_s < 0 && !step.estimates.empty()) {
    const auto& remaining = step.estimates.begin()->second.remaining;
    if (remaining) result.first_estimate_s = ToSeconds(*remaining);
  }
  if (model.on_decision) {
    for (const Decision& it : step.decisions) model.on_decision(it);
  }
  for (const WaveAction& it : step.actions) {
    if (it.kind == WaveActionKind::kStart)
      Open(model, it.vm, it.intent_kind, PoolId(), it.wave);
    if (it.kind == WaveActionKind::kDone && result.wave_end_s < 0)
      result.wave_end_s = model.now() - scenario.wave_at_s;
  }
}

void ProductPolicy::RunPlanner(Model& model) {
  PlannerInput input;
  input.declarations = declarations_;
  input.state = state_;
  input.demand = demand_;
  input.lost = lost_;
  for (const auto& [id, intent] : state_->intents) {
    if (!intent.wave.empty()) input.in_maintenance.insert(intent.vm);
  }
  const double start = ThreadSeconds();
  const Plan plan = planner_.Plan(input, At(model.now()));
  RunResult& result = model.result();
  result.longest_decision_s =
      std::max(result.longest_decision_s, ThreadSeconds() - start);
  if (model.on_decision) {
    for (const Decision& it : plan.decisions) model.on_decision(it);
  }
  for (const VmId& it : plan.starts)
    Open(model, it, IntentKind::kStart, PoolId(), WaveId());
  for (const PoolMove& it : plan.moves)
    Open(model, it.vm, IntentKind::kMove, it.to, WaveId());
  for (const VmId& it : plan.stops)
    Open(model, it, IntentKind::kStop, PoolId(), WaveId());
}

void ProductPolicy::Act(Model& model) {
  const double per_tick = model.tick_interval_s * kEntries *
                          (1 / kLeaseRenewS + 2 / kWatchS + 1 / kControlReadS);
  model.result().store_calls += static_cast<std::uint64_t>(per_tick);
  Measure(model);
  ReadVms(model);
  // Without the store the control plane takes no action; VMs that are on
  // their way return all the same.
  if (!model.is_store_up()) return;
  RunWaves(model);
  RunPlanner(model);
  // The entries act on what is written now; drains that have just begun count.
  ReadVms(model);
  model.SetRegionState(*state_);
}

}  // namespace pomelomill::measure
