#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/dispatch/dispatcher.h"

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

/// Fleet configuration as the operator wrote it.
struct FleetConfig {
  Revision revision;
  std::vector<QueueConfig> queues;
  std::vector<PoolConfig> pools;
  /// Larger submissions are rejected with status 413.
  std::size_t max_body_bytes = std::size_t{256} << 10;

  bool operator==(const FleetConfig&) const = default;
};

}  // namespace pomelomill
