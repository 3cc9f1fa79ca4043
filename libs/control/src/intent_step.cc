#include "pomelomill/control/intent_step.h"

#include <algorithm>
#include <utility>

namespace pomelomill {
namespace {

IntentAction NextPlatformAction(const Intent& intent,
                                const IntentFacts& facts) {
  if (!facts.operation || !facts.generation) return IntentAction::kPollPlatform;
  const bool raises_generation = intent.kind != IntentKind::kStop;
  if (raises_generation && *facts.generation > intent.generation)
    return IntentAction::kAdvance;
  switch (*facts.operation) {
    case OperationState::kDone:
      return IntentAction::kAdvance;
    case OperationState::kRunning:
      return IntentAction::kPollPlatform;
    case OperationState::kNone:
    case OperationState::kFailed:
      return IntentAction::kCallPlatform;
  }
  return IntentAction::kNone;
}

IntentStep StepAfter(const Intent& intent) {
  switch (intent.step) {
    case IntentStep::kDrain:
      return IntentStep::kStop;
    case IntentStep::kStop:
      return intent.kind == IntentKind::kStop ? IntentStep::kDone
                                              : IntentStep::kVerify;
    case IntentStep::kRestart:
      return IntentStep::kVerify;
    case IntentStep::kVerify:
    case IntentStep::kDone:
      return IntentStep::kDone;
  }
  return IntentStep::kDone;
}

VmPhase PhaseForStep(const Intent& intent) {
  switch (intent.step) {
    case IntentStep::kDrain:
      return VmPhase::kDraining;
    case IntentStep::kStop:
      return VmPhase::kStopped;
    case IntentStep::kRestart:
    case IntentStep::kVerify:
      return VmPhase::kReturning;
    case IntentStep::kDone:
      return intent.kind == IntentKind::kStop ? VmPhase::kStopped
                                              : VmPhase::kActive;
  }
  return VmPhase::kActive;
}

bool HasOpenIntent(const RegionState& state, const VmId& vm) {
  return std::any_of(state.intents.begin(), state.intents.end(),
                     [&](const auto& it) { return it.second.vm == vm; });
}

}  // namespace

IntentAction NextAction(const Intent& intent, const IntentFacts& facts) {
  switch (intent.step) {
    case IntentStep::kDrain:
      if (!facts.is_drained) return IntentAction::kWaitForDrain;
      return facts.active_requests == 0U ? IntentAction::kAdvance
                                         : IntentAction::kCheckHealth;
    case IntentStep::kStop:
    case IntentStep::kRestart:
      return NextPlatformAction(intent, facts);
    case IntentStep::kVerify:
      return facts.is_healthy ? IntentAction::kAdvance
                              : IntentAction::kCheckHealth;
    case IntentStep::kDone:
      return IntentAction::kNone;
  }
  return IntentAction::kNone;
}

std::optional<VmOperation> PlatformOperation(const Intent& intent) {
  switch (intent.step) {
    case IntentStep::kDrain:
      return VmOperation::kDrain;
    case IntentStep::kStop:
      return intent.kind == IntentKind::kStop ? VmOperation::kStop
                                              : VmOperation::kReboot;
    case IntentStep::kRestart:
      return VmOperation::kStart;
    case IntentStep::kVerify:
    case IntentStep::kDone:
      return std::nullopt;
  }
  return std::nullopt;
}

IntentId OperationId(const Intent& intent) {
  switch (intent.step) {
    case IntentStep::kDrain:
      return IntentId(intent.id.value() + ".drain");
    case IntentStep::kRestart:
      return IntentId(intent.id.value() + ".start");
    default:
      return intent.id;
  }
}

void AdvanceIntent(RegionState* state, const IntentId& id,
                   Generation generation, Version next_version) {
  const auto it = state->intents.find(id);
  if (it == state->intents.end()) return;
  Intent& intent = it->second;
  const auto vm = state->vms.find(intent.vm);
  intent.step = StepAfter(intent);
  intent.since = next_version;
  if (vm == state->vms.end()) {
    intent.step = IntentStep::kDone;
    return;
  }
  if (intent.step == IntentStep::kStop && intent.kind == IntentKind::kMove)
    vm->second.pool = intent.target_pool;
  vm->second.generation = std::max(vm->second.generation, generation);
  vm->second.phase = PhaseForStep(intent);
}

bool OpenIntent(RegionState* state, Intent intent, Version next_version) {
  const auto vm = state->vms.find(intent.vm);
  if (vm == state->vms.end() || HasOpenIntent(*state, intent.vm)) return false;
  const bool is_start = intent.kind == IntentKind::kStart;
  const VmPhase expected = is_start ? VmPhase::kStopped : VmPhase::kActive;
  if (vm->second.phase != expected) return false;
  if (intent.kind == IntentKind::kMove && intent.target_pool == vm->second.pool)
    return false;
  intent.step = is_start ? IntentStep::kRestart : IntentStep::kDrain;
  intent.since = next_version;
  intent.generation = vm->second.generation;
  vm->second.phase = PhaseForStep(intent);
  const IntentId id = intent.id;
  return state->intents.emplace(id, std::move(intent)).second;
}

}  // namespace pomelomill
