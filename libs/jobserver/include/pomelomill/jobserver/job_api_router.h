#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "pomelomill/base/ids.h"
#include "pomelomill/jobserver/fleet_config.h"

namespace pomelomill {

/// What a request of a caller asks for.
struct JobApiRequest {
  enum class Kind { kSubmit, kGetState, kCancel, kGetWaitingCount };

  Kind kind = Kind::kGetState;
  const QueueConfig* queue = nullptr;
  /// Empty for kGetWaitingCount.
  JobId job;
};

/// Finds the queue of a request by host and longest path prefix, and what it
/// asks for. On failure `status` is the HTTP status to answer.
struct JobApiRoute {
  int status = 200;
  JobApiRequest request;
};

JobApiRoute RouteJobApiRequest(const FleetConfig& config, std::string_view method,
                             std::string_view host, std::string_view target);

}  // namespace pomelomill
