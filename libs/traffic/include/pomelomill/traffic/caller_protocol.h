#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "pomelomill/config.h"
#include "pomelomill/http/http_listener.h"
#include "pomelomill/routing.h"

namespace pomelomill {

/// What the headers and the path of a caller's request ask for (section 9 of
/// the design page).
struct CallerRequest {
  QueueId queue;
  TeamId team;
  /// Time from arrival within which the response counts.
  Duration timeout{};
  /// Idempotency-Key; empty when there is none.
  std::string key;
};

/// Longest Idempotency-Key. Letters, digits and "._:-" are allowed.
inline constexpr std::size_t kMaxKeyBytes = 128;

/// The request, or the status of the error (400, 404, 405). The caller's
/// deadline may shorten the one of the queue and never extends it.
tl::expected<CallerRequest, OutgoingResponse> ParseCallerRequest(
    const IncomingRequest& request, const Declarations& declarations);

/// Response for an outcome without a response of an endpoint: 429 or 503 with
/// Retry-After when not run, 404 for an unknown queue, 504 when unknown.
OutgoingResponse ResponseForOutcome(const Respond& respond);

/// An endpoint's response, to be passed on: without hop-by-hop headers (RFC
/// 9110, 7.6.1), with Pomelomill-Outcome: answered.
OutgoingResponse ForwardedResponse(HttpResponse response);

/// Headers of a caller's request that are passed to the endpoint.
std::vector<HttpHeader> HeadersForEndpoint(const IncomingRequest& request,
                                           Duration time_left);

/// Response for a key that may not run now: 409 with the first outcome when
/// it is known, 504 when it never will be, 503 when the claim was refused.
OutgoingResponse ResponseForKey(KeyState state,
                                const std::optional<KeyOutcome>& first);
OutgoingResponse ResponseForClaim(const ClaimResult& claim);

/// The outcome that a response told its caller.
KeyOutcome OutcomeOf(const OutgoingResponse& response);

/// Keys that one call may issue.
inline constexpr std::uint32_t kMaxKeysPerCall = 1000;

/// N of "/-/keys?n=N", 1 without a query; none when the target is another or
/// N is out of range.
std::optional<std::uint32_t> ParseKeyCount(std::string_view target);

/// "SERVICE/QUEUE" of "/SERVICE/QUEUE/REST"; empty when there is none.
std::string_view QueueOfTarget(std::string_view target);

/// A response made by the entry itself, with a JSON body {"error": reason}.
OutgoingResponse ErrorResponse(int status, const std::string& reason);

}  // namespace pomelomill
