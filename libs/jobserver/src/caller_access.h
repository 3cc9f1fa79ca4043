#pragma once

#include <optional>
#include <string_view>

#include "pomelomill/jobserver/fleet_config.h"

namespace pomelomill {

/// Returns the workspace on whose behalf a call to the queue is made, empty for
/// a queue that needs no key; nullopt when the call must be rejected with 401.
/// `authorization` is the value of the call's Authorization header, which has
/// the form "Bearer KEY".
std::optional<WorkspaceId> FindCaller(const FleetConfig& config,
                                      const QueueConfig& queue,
                                      std::string_view authorization);

}  // namespace pomelomill
