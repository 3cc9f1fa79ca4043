#pragma once

#include <string>
#include <variant>

#include "pomelomill/routing/events.h"

namespace pomelomill {

/// Send the request to the endpoint now.
struct SendAttempt {
  AttemptId attempt;
  RequestId request;
  VmId vm;
  std::string address;
  /// Time that the caller still waits, for the endpoint's deadline header.
  Instant deadline{};
  /// The exchange is broken off then and its connection closed.
  Instant abort_at{};
  /// True when a reused connection is not allowed, because the HTTP client
  /// may repeat a request by itself when a reused connection dies.
  bool needs_fresh_connection = false;
  bool is_hedge = false;
};

enum class Outcome { kAnswered, kNotRun, kUnknown };

enum class OutcomeReason {
  kComplete,
  /// The service or the queue is not declared.
  kNoSuchQueue,
  kQuota,
  kQueueFull,
  /// Shed because it would have missed its deadline.
  kWouldMissDeadline,
  /// No endpoint of the pool may receive work.
  kNoEndpoint,
  /// This entry may not send work at present.
  kNoSendPermit,
  /// Endpoints refused it with the refusal header.
  kRefused,
  /// Attempts failed.
  kAttemptFailed,
  /// The deadline passed while an attempt was in flight.
  kDeadlinePassed,
};

/// Final response to the caller; exactly one for each request that was not
/// cancelled. Nothing else about the request follows but DropResponse.
struct Respond {
  RequestId request;
  Outcome outcome = Outcome::kNotRun;
  OutcomeReason reason = OutcomeReason::kComplete;
  /// The attempt whose response is passed on, for kAnswered.
  AttemptId attempt;
  /// When to try again, for kNotRun; whole seconds, at least one.
  Duration retry_after{};
};

/// The response of this attempt came too late, lost against another attempt or
/// belongs to a cancelled request: discard it.
struct DropResponse {
  AttemptId attempt;
};

/// Ask the endpoint for GET /healthz and report by ProbeFinished.
struct ProbeEndpoint {
  VmId vm;
  std::string address;
};

/// Send TimerTick at this moment; replaces the earlier wish.
struct WakeAt {
  Instant when{};
};

using RouterAction =
    std::variant<SendAttempt, Respond, DropResponse, ProbeEndpoint, WakeAt>;

}  // namespace pomelomill
