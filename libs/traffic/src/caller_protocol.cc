#include "pomelomill/traffic/caller_protocol.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "header_names.h"

namespace pomelomill {
namespace {

bool IsAllowedMethod(std::string_view method) {
  static constexpr std::array<std::string_view, 5> kMethods = {
      "GET", "POST", "PUT", "PATCH", "DELETE"};
  return std::find(kMethods.begin(), kMethods.end(), method) != kMethods.end();
}

/// Returns whether the header belongs to the protocol between callers, entries
/// and endpoints, which is not forwarded.
bool IsPomelomillHeader(std::string_view name) {
  constexpr std::string_view kPrefix = "Pomelomill-";
  return name.size() >= kPrefix.size() &&
         IsSameHeaderName(name.substr(0, kPrefix.size()), kPrefix);
}

/// The allowed characters are restricted because a key becomes part of a store
/// key.
bool IsAllowedKey(std::string_view key) {
  return key.size() <= kMaxKeyBytes &&
         std::all_of(key.begin(), key.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '.' || c == '_' || c == ':' ||
                  c == '-';
         });
}

const char* ReasonText(OutcomeReason reason) {
  switch (reason) {
    case OutcomeReason::kComplete:
      return "complete";
    case OutcomeReason::kNoSuchQueue:
      return "no such queue";
    case OutcomeReason::kQuota:
      return "the quota of the team is used up";
    case OutcomeReason::kQueueFull:
      return "the queue is full";
    case OutcomeReason::kWouldMissDeadline:
      return "the deadline would be missed";
    case OutcomeReason::kNoEndpoint:
      return "no endpoint is available";
    case OutcomeReason::kNoSendPermit:
      return "this entry may not send work at present";
    case OutcomeReason::kRefused:
      return "endpoints refused the request";
    case OutcomeReason::kAttemptFailed:
      return "the endpoint failed";
    case OutcomeReason::kDeadlinePassed:
      return "the deadline has passed";
  }
  return "unknown";
}

}  // namespace

std::string_view QueueOfTarget(std::string_view target) {
  if (!target.starts_with('/')) return {};
  const std::string_view path = target.substr(1, target.find('?') - 1);
  const auto first = path.find('/');
  if (first == std::string_view::npos || first == 0) return {};
  const auto second = path.find('/', first + 1);
  const std::string_view queue = path.substr(0, second);
  return queue.size() == first + 1 ? std::string_view() : queue;
}

OutgoingResponse ErrorResponse(int status, const std::string& reason) {
  OutgoingResponse response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = nlohmann::json{{"error", reason}}.dump();
  return response;
}

tl::expected<CallerRequest, OutgoingResponse> ParseCallerRequest(
    const IncomingRequest& request, const Declarations& declarations) {
  const auto refuse = [](int status, const char* reason) {
    OutgoingResponse response = ErrorResponse(status, reason);
    response.headers.push_back({"Pomelomill-Outcome", "not-run"});
    return tl::unexpected<OutgoingResponse>(std::move(response));
  };
  if (!IsAllowedMethod(request.method)) return refuse(405, "method");
  CallerRequest parsed;
  parsed.queue = QueueId(std::string(QueueOfTarget(request.target)));
  const auto queue = declarations.queues.find(parsed.queue);
  if (queue == declarations.queues.end()) return refuse(404, "no such queue");
  parsed.timeout = queue->second.deadline;
  const std::string_view deadline = request.header("Pomelomill-Deadline-Ms");
  if (!deadline.empty()) {
    std::uint32_t ms = 0;
    const char* end = deadline.data() + deadline.size();
    const auto [rest, ec] = std::from_chars(deadline.data(), end, ms);
    if (ec != std::errc() || rest != end) {
      return refuse(400, "Pomelomill-Deadline-Ms is not a number");
    }
    parsed.timeout =
        std::min<Duration>(parsed.timeout, std::chrono::milliseconds(ms));
  }
  parsed.team = TeamId(std::string(request.header("Pomelomill-Team")));
  parsed.key = std::string(request.header("Idempotency-Key"));
  if (!IsAllowedKey(parsed.key)) {
    return refuse(400, "Idempotency-Key is malformed");
  }
  return parsed;
}

OutgoingResponse ResponseForOutcome(const Respond& respond) {
  int status = 503;
  if (respond.outcome == Outcome::kUnknown) {
    status = 504;
  } else if (respond.reason == OutcomeReason::kQuota) {
    status = 429;
  } else if (respond.reason == OutcomeReason::kNoSuchQueue) {
    status = 404;
  }
  OutgoingResponse response = ErrorResponse(status, ReasonText(respond.reason));
  if (respond.outcome == Outcome::kUnknown) {
    response.headers.push_back({"Pomelomill-Outcome", "unknown"});
    return response;
  }
  response.headers.push_back({"Pomelomill-Outcome", "not-run"});
  const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(respond.retry_after).count();
  response.headers.push_back(
      {"Retry-After", std::to_string(std::max<std::int64_t>(1, seconds))});
  return response;
}

OutgoingResponse ResponseForKey(KeyState state,
                                const std::optional<KeyOutcome>& first) {
  OutgoingResponse response;
  if (state == KeyState::kTooManyRunning) {
    response = ErrorResponse(503, "too many requests with keys");
    response.headers.push_back({"Retry-After", "1"});
    response.headers.push_back({"Pomelomill-Outcome", "not-run"});
    return response;
  }
  if (state == KeyState::kNotIssuedHere || state == KeyState::kExpired) {
    response = ErrorResponse(504, "the key is not known any more");
    response.headers.push_back({"Pomelomill-Outcome", "unknown"});
    return response;
  }
  response = ErrorResponse(409, "the key was accepted before");
  const bool is_answered = first && first->outcome == Outcome::kAnswered;
  response.headers.push_back(
      {"Pomelomill-Outcome", is_answered ? "answered" : "unknown"});
  if (first) {
    response.headers.push_back(
        {"Pomelomill-First-Status", std::to_string(first->status)});
  }
  return response;
}

OutgoingResponse ResponseForClaim(const ClaimResult& claim) {
  if (claim.state == ClaimState::kAlreadyClaimed) {
    return ResponseForKey(KeyState::kDone, claim.outcome);
  }
  OutgoingResponse response =
      ErrorResponse(503, "the key cannot be claimed at present");
  response.headers.push_back({"Retry-After", "1"});
  response.headers.push_back({"Pomelomill-Outcome", "not-run"});
  return response;
}

KeyOutcome OutcomeOf(const OutgoingResponse& response) {
  KeyOutcome outcome{.outcome = Outcome::kUnknown, .status = response.status};
  for (const HttpHeader& it : response.headers) {
    if (it.name != "Pomelomill-Outcome") continue;
    if (it.value == "answered") outcome.outcome = Outcome::kAnswered;
    if (it.value == "not-run") outcome.outcome = Outcome::kNotRun;
  }
  return outcome;
}

std::optional<std::uint32_t> ParseKeyCount(std::string_view target) {
  constexpr std::string_view kPath = "/-/keys";
  if (target == kPath) return 1;
  constexpr std::string_view kQuery = "/-/keys?n=";
  if (!target.starts_with(kQuery)) return std::nullopt;
  target.remove_prefix(kQuery.size());
  std::uint32_t n = 0;
  const char* end = target.data() + target.size();
  const auto [rest, ec] = std::from_chars(target.data(), end, n);
  if (ec != std::errc() || rest != end || n == 0 || n > kMaxKeysPerCall) {
    return std::nullopt;
  }
  return n;
}

OutgoingResponse ForwardedResponse(HttpResponse response) {
  OutgoingResponse out;
  out.status = response.status;
  out.body = std::move(response.body);
  for (HttpHeader& it : response.headers) {
    if (IsHopByHopHeader(it.name) || IsPomelomillHeader(it.name)) continue;
    out.headers.push_back(std::move(it));
  }
  out.headers.push_back({"Pomelomill-Outcome", "answered"});
  return out;
}

std::vector<HttpHeader> HeadersForEndpoint(const IncomingRequest& request,
                                           Duration time_left) {
  std::vector<HttpHeader> headers;
  for (const HttpHeader& it : request.headers) {
    if (IsHopByHopHeader(it.name) || IsPomelomillHeader(it.name) ||
        IsSameHeaderName(it.name, "Host") ||
        IsSameHeaderName(it.name, "Expect")) {
      continue;
    }
    headers.push_back(it);
  }
  headers.push_back(
      {"Pomelomill-Deadline-Ms",
       std::to_string(std::max<std::int64_t>(1, ToMillis(time_left)))});
  return headers;
}

}  // namespace pomelomill
