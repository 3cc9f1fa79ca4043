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

/// "SERVICE/QUEUE" of "/SERVICE/QUEUE/REST"; empty when there is none.
std::string_view QueueOfTarget(std::string_view target) {
  if (!target.starts_with('/')) return {};
  const std::string_view path = target.substr(1, target.find('?') - 1);
  const auto first = path.find('/');
  if (first == std::string_view::npos || first == 0) return {};
  const auto second = path.find('/', first + 1);
  const std::string_view queue = path.substr(0, second);
  return queue.size() == first + 1 ? std::string_view() : queue;
}

/// Prefix of the headers that callers and entries exchange.
bool IsOwnHeader(std::string_view name) {
  constexpr std::string_view kPrefix = "Pomelomill-";
  return name.size() >= kPrefix.size() &&
         IsSameHeaderName(name.substr(0, kPrefix.size()), kPrefix);
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
  parsed.time_allowed = queue->second.deadline;
  const std::string_view deadline = request.header("Pomelomill-Deadline-Ms");
  if (!deadline.empty()) {
    std::uint32_t ms = 0;
    const char* end = deadline.data() + deadline.size();
    const auto [rest, ec] = std::from_chars(deadline.data(), end, ms);
    if (ec != std::errc() || rest != end) {
      return refuse(400, "Pomelomill-Deadline-Ms is not a number");
    }
    parsed.time_allowed =
        std::min<Duration>(parsed.time_allowed, std::chrono::milliseconds(ms));
  }
  parsed.team = TeamId(std::string(request.header("Pomelomill-Team")));
  parsed.key = std::string(request.header("Idempotency-Key"));
  if (parsed.key.size() > kMaxKeyBytes) {
    return refuse(400, "Idempotency-Key is longer than 128 bytes");
  }
  return parsed;
}

OutgoingResponse ResponseFor(const Respond& respond) {
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

OutgoingResponse PassedOn(HttpResponse response) {
  OutgoingResponse out;
  out.status = response.status;
  out.body = std::move(response.body);
  for (HttpHeader& it : response.headers) {
    if (IsHopByHopHeader(it.name) || IsOwnHeader(it.name)) continue;
    out.headers.push_back(std::move(it));
  }
  out.headers.push_back({"Pomelomill-Outcome", "answered"});
  return out;
}

std::vector<HttpHeader> HeadersForEndpoint(const IncomingRequest& request,
                                           Duration time_left) {
  std::vector<HttpHeader> headers;
  for (const HttpHeader& it : request.headers) {
    if (IsHopByHopHeader(it.name) || IsOwnHeader(it.name) ||
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
