#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "pomelomill/base/ids.h"
#include "pomelomill/jobserver/fleet_config.h"

namespace pomelomill {

/// Parsed request of a caller to the job API.
struct JobApiRequest {
  enum class Kind {
    kSubmit,
    kGetState,
    kCancel,
    /// Asks for the number of waiting jobs of the queue.
    kGetWaitingCount
  };

  Kind kind = Kind::kGetState;
  /// Owned by the configuration that the request was routed by.
  const QueueConfig* queue = nullptr;
  /// Empty for kGetWaitingCount.
  JobId job;
};

/// Result of routing a request to a queue.
struct JobApiRoute {
  /// 200, or the HTTP status with which to reject the request.
  int status = 200;
  /// Complete only with status 200; `queue` is also set with 400, 405 and 410.
  JobApiRequest request;
};

/// Routes a request to the queue with the same host and the longest matching
/// path prefix, and parses the rest of the path. Rejects it with 404 when no
/// queue matches, 405 for a method that the path does not support, and 400
/// (POST) or 410 (other methods) for a job id that is not 16 hexadecimal
/// digits.
JobApiRoute RouteJobApiRequest(const FleetConfig& config,
                               std::string_view method, std::string_view host,
                               std::string_view target);

}  // namespace pomelomill
