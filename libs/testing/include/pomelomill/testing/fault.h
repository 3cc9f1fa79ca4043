#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace pomelomill::testing {

/// The faults of section 11 of the design.
enum class Fault {
  kNone,
  // On one message.
  kLoseRequest,
  kLoseResponse,
  kLateRequest,
  kLateResponse,
  kDuplicate,
  kReorder,
  kStaleRead,
  kSlowWatch,
  // On the process at the step.
  kCrashBefore,
  kCrashAfter,
  kPauseBefore,
  kPauseAfter,
  kClockJump,
  kClockFast,
  kClockSlow,
  // On the surroundings, applied by the hook of the FaultInjector.
  kStoreDown,
  kStoreUnreachable,
  kStoreSlow,
  kConflictingWrite,
  kPartitionOut,
  kPartitionIn,
  kPartitionBoth,
  kVmListStale,
  kVmListWrong,
  kVmLost,
  kRackLost,
  kZoneLost,
  // On the response of an endpoint.
  kEndpointRefuses,
  kEndpointFails,
  kEndpointClosesEarly,
  kEndpointClosesLate,
  kEndpointTruncates,
  kEndpointAnswersLate,
};

/// Name for the command line and for reports, such as "lose-response".
std::string_view FaultName(Fault fault);

/// The fault with this name, if there is one.
std::optional<Fault> FaultByName(std::string_view name);

/// All faults except kNone, in order.
const std::vector<Fault>& AllFaults();

}  // namespace pomelomill::testing
