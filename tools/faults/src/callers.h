#pragma once

#include <functional>
#include <string>
#include <vector>

#include "world.h"

namespace pomelomill::faults {

/// One queue that callers use.
struct CallerLoad {
  QueueId queue;
  bool is_repeatable = true;
  /// Requests a second over all entries.
  double rate = 5;
  Duration service_time = std::chrono::milliseconds(100);
  /// Share of requests that the caller cancels after a short while.
  double cancelled_share = 0.02;
  Duration deadline = std::chrono::seconds(2);
  /// Each request carries a caller's own at-most-once key and is repeated at
  /// another entry shortly after, as by a caller that is impatient.
  bool is_keyed = false;
};

/// An entry as the load balancer sees it.
struct EntryDoor {
  testing::FakeProcess* process = nullptr;
  std::function<void(std::size_t request, Duration service_time)> accept;
  std::function<void(std::size_t request)> cancel;
  /// False while the entry reports itself not ready; may be empty.
  std::function<bool()> is_ready;
};

/// Schedules all requests between `from` and `to` of the world's time. The
/// load balancer sends each to a running and ready entry, in turn.
void ScheduleCallers(World& world, const std::vector<CallerLoad>& loads,
                     const std::vector<EntryDoor>& doors, Instant from,
                     Instant to);

}  // namespace pomelomill::faults
