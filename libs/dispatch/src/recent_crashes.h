#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "pomelomill/dispatch/dispatcher.h"

namespace pomelomill {

/// A run that was lost in a crash of its worker.
struct LostRun {
  TaskKey key;
  std::uint32_t run = 0;
};

/// Recognises the crash of several workers of one rack at the same time, as
/// when it loses power: the cause lies outside of the tasks. Workers that crash
/// on different racks may as well have been given tasks that crash them.
class RecentCrashes {
 public:
  /// `workers` crashes on one rack within `window` have a common cause.
  RecentCrashes(Duration window, std::uint32_t workers)
      : window_(window), workers_(workers) {}

  /// Adds the crash of a worker on the rack. Returns the runs, of this and
  /// earlier crashes, that are now known to be lost by a common cause; each run
  /// is returned once.
  std::vector<LostRun> Add(const RackId& rack, std::vector<LostRun> lost,
                           Instant now);

 private:
  struct Crash {
    Instant at{};
    RackId rack;
    std::vector<LostRun> lost;
  };

  const Duration window_;
  const std::uint32_t workers_;
  std::deque<Crash> crashes_;
};

}  // namespace pomelomill
