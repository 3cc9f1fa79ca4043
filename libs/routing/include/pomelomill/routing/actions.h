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
  /// The request's deadline; the endpoint receives the remaining time in a
  /// header.
  Instant deadline{};
  /// At this time an unfinished exchange is aborted and its connection closed.
  Instant abort_at{};
  /// True when a reused connection is not allowed, because the HTTP client
  /// may resend a request by itself when a reused connection breaks.
  bool needs_fresh_connection = false;
  bool is_hedge = false;
};

/// What the caller is told about its request.
enum class Outcome {
  /// An endpoint responded completely.
  kAnswered,
  /// No endpoint has processed the request.
  kNotRun,
  /// An endpoint may have processed the request.
  kUnknown,
};

/// Why a request ended with its outcome.
enum class OutcomeReason {
  kComplete,
  /// The service or the queue is not declared.
  kNoSuchQueue,
  /// The team has used up its request quota.
  kQuota,
  kQueueFull,
  /// Shed because the request would have missed its deadline.
  kWouldMissDeadline,
  /// No endpoint of the pool may receive requests.
  kNoEndpoint,
  /// This entry holds no valid send permit.
  kNoSendPermit,
  /// The last attempt was refused with Pomelomill-Not-Processed: 1.
  kRefused,
  /// The last attempt ended without a complete response.
  kAttemptFailed,
  /// The deadline passed while an attempt was in flight.
  kDeadlinePassed,
};

/// Final response to the caller, issued exactly once for each request that was
/// not cancelled. The only later action for the request is DropResponse.
struct Respond {
  RequestId request;
  Outcome outcome = Outcome::kNotRun;
  OutcomeReason reason = OutcomeReason::kComplete;
  /// For kAnswered: the attempt whose response is forwarded to the caller.
  AttemptId attempt;
  /// For kNotRun: the delay before the caller may retry, in whole seconds, at
  /// least one.
  Duration retry_after{};
};

/// Discard the response of this attempt: the request was already answered by
/// another attempt, timed out or was cancelled.
struct DropResponse {
  AttemptId attempt;
};

/// Send GET /healthz to the endpoint and report the result by ProbeFinished.
struct ProbeEndpoint {
  VmId vm;
  std::string address;
};

/// Send TimerTick at this time; replaces any earlier WakeAt.
struct WakeAt {
  Instant when{};
};

using RouterAction =
    std::variant<SendAttempt, Respond, DropResponse, ProbeEndpoint, WakeAt>;

}  // namespace pomelomill
