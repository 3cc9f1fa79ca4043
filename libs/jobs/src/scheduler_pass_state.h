#pragma once

#include <algorithm>
#include <map>
#include <vector>

#include "pomelomill/jobs/resource_math.h"
#include "scheduler_core.h"

namespace pomelomill {

/// What one pass remembers, so that it does not search twice for the same room.
struct SchedulerCore::PassState {
  /// Sizes that fitted nowhere.
  std::vector<Resources> blocked_sizes;
  /// Starts that the pass may still make.
  std::uint32_t starts_left = 0;

  /// Jobs of each team that did not get all they want.
  std::map<TeamId, std::vector<JobEntry*>> blocked;

  bool IsBlocked(const Resources& size) const {
    return std::any_of(blocked_sizes.begin(), blocked_sizes.end(),
                       [&](const Resources& it) { return Fits(it, size); });
  }

  void Block(const Resources& size) {
    std::erase_if(blocked_sizes,
                  [&](const Resources& it) { return Fits(size, it); });
    blocked_sizes.push_back(size);
  }
};

}  // namespace pomelomill
