#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/dispatch/dispatcher.h"
#include "pomelomill/workspaces/resource_amount.h"

namespace pomelomill {

/// Queue of a fleet configuration.
struct QueueConfig {
  QueueId id;
  /// Requests are routed to the queue by Host header (without port) and path
  /// prefix; the longest matching prefix wins.
  std::string host;
  std::string prefix;
  /// Pool whose workers run the queue's jobs.
  PoolId pool;
  QueuePolicy policy;
  /// Calls need no key, and jobs belong to no workspace.
  bool is_public = false;

  bool operator==(const QueueConfig&) const = default;
};

/// Pool of a fleet configuration.
struct PoolConfig {
  PoolId id;
  /// The pool's VMs are switched off and serve as spare capacity for the other
  /// pools.
  bool is_spare = false;

  bool operator==(const PoolConfig&) const = default;
};

/// Workspace of a fleet configuration.
struct WorkspaceConfig {
  WorkspaceId id;
  /// Share of a pool when the pool is full, relative to other workspaces;
  /// greater than 0.
  double weight = 1;
  /// What may run of the workspace in all pools; 0 means no limit.
  ResourceAmount cap;

  bool operator==(const WorkspaceConfig&) const = default;
};

/// Fleet configuration as the operator wrote it.
struct FleetConfig {
  Revision revision;
  std::vector<QueueConfig> queues;
  std::vector<PoolConfig> pools;
  std::vector<WorkspaceConfig> workspaces;
  /// Workspace of each key.
  std::map<std::string, WorkspaceId, std::less<>> api_keys;
  /// Calls to queues that are not public need a key; false in deployments
  /// without workspaces.
  bool requires_keys = false;
  /// Larger submissions are rejected with status 413.
  std::size_t max_body_bytes = std::size_t{256} << 10;

  bool operator==(const FleetConfig&) const = default;
};

}  // namespace pomelomill
