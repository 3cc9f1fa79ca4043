#pragma once

#include <cstdint>
#include <optional>

#include "pomelomill/base/ids.h"
#include "pomelomill/platform/platform_client.h"
#include "pomelomill/platform/region_state.h"

namespace pomelomill {

/// What is known about the VM of one intent. Optional fields are empty while
/// the value is unknown.
struct IntentFacts {
  /// Every entry that could send to the VM has either confirmed that it has no
  /// request in flight there, or has certainly fenced itself.
  bool is_drained = false;
  /// Requests that the endpoint is running, as it reports itself. Needed
  /// because an entry that has fenced itself confirms nothing and its requests
  /// may still be running.
  std::optional<std::uint32_t> active_requests;
  /// State of the platform operation of the current step.
  std::optional<OperationState> operation;
  /// The VM's generation as the platform reports it.
  std::optional<Generation> generation;
  /// The endpoint answers health checks in the VM's current generation or a
  /// later one and accepts requests.
  bool is_healthy = false;
};

/// What the holder of the control lease does next for one intent.
enum class IntentAction {
  kWaitForDrain,
  /// Calls the platform with the operation of `PlatformOperation`.
  kCallPlatform,
  kPollPlatform,
  kCheckHealth,
  /// Moves the intent to its next step in the region state.
  kAdvance,
  kNone,
};

/// The next action for an intent. Returns `kCallPlatform` also if the platform
/// does not know the operation or reports it as failed; a repeated call is
/// idempotent by its operation id.
IntentAction NextAction(const Intent& intent, const IntentFacts& facts);

/// The platform operation that executes the intent's current step; nullopt for
/// steps without a platform operation.
std::optional<VmOperation> PlatformOperation(const Intent& intent);

/// The idempotency id of the platform operation of the current step. Each step
/// of an intent has a different id.
IntentId OperationId(const Intent& intent);

/// Moves the intent and its VM to the next step. `generation` is the VM's
/// generation as last reported, `next_version` the version of the region state
/// that will contain the change. A move changes the pool in the same write that
/// marks the VM as stopped, so the VM is in exactly one pool at any time. An
/// intent whose VM is no longer in the region state is done; an unknown intent
/// is ignored.
void AdvanceIntent(RegionState* state, const IntentId& id,
                   Generation generation, Version next_version);

/// Adds an intent in its first step and returns true. Returns false, without
/// effect, if the VM is unknown, has an intent already, is in a phase in which
/// this kind of intent cannot start, or is in the target pool already.
bool OpenIntent(RegionState* state, Intent intent, Version next_version);

}  // namespace pomelomill
