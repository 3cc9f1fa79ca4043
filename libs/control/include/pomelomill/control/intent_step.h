#pragma once

#include <cstdint>
#include <optional>

#include "pomelomill/base/ids.h"
#include "pomelomill/platform/platform_client.h"
#include "pomelomill/platform/region_state.h"

namespace pomelomill {

/// What is known about the VM of one intent at this moment. Absent means not
/// known yet.
struct IntentFacts {
  /// Every entry that could still send has confirmed that nothing is in
  /// flight, or is certain to have fenced itself.
  bool is_drained = false;
  /// Requests that the endpoint itself still runs. Entries that have fenced
  /// themselves confirm nothing, and their requests may still be running.
  std::optional<std::uint32_t> active_requests;
  /// State of the platform operation of the current step.
  std::optional<OperationState> operation;
  /// The VM's generation as the platform reports it.
  std::optional<Generation> generation;
  /// The endpoint answers its health check in the generation above and does
  /// not refuse work.
  bool is_healthy = false;
};

/// What the holder of the control lease does next for one intent.
enum class IntentAction {
  kWaitForDrain,
  /// Calls the platform with the operation of `PlatformOperation`.
  kCallPlatform,
  kPollPlatform,
  kCheckHealth,
  /// Writes the next step to the region state.
  kAdvance,
  kNone,
};

/// The next action for an intent. `kCallPlatform` is also the answer when the
/// platform does not know the operation, since a repeat with the same
/// operation id has no second effect.
IntentAction NextAction(const Intent& intent, const IntentFacts& facts);

/// The platform operation that carries out the intent's current step;
/// nullopt for steps that need none.
std::optional<VmOperation> PlatformOperation(const Intent& intent);

/// Id under which the platform sees the operation of the current step; differs
/// between the steps of one intent.
IntentId OperationId(const Intent& intent);

/// Moves the intent and its VM to the next step. `generation` is the VM's
/// generation as the platform reports it, `next` the version of the region
/// state that will hold the change. A move changes the pool in the same write
/// that marks the VM as stopped, so the VM is in one pool at any moment.
void AdvanceIntent(RegionState* state, const IntentId& id,
                   Generation generation, Version next);

/// Adds an intent in its first step, unless the VM is unknown, has an open
/// intent, or is in a phase that the kind does not fit; returns whether it was
/// added.
bool OpenIntent(RegionState* state, Intent intent, Version next);

}  // namespace pomelomill
