#pragma once

#include <cstddef>
#include <set>

#include "pomelomill/base/ids.h"

namespace pomelomill {

/// Finds workers that report many ended tasks for lack of acknowledgements.
class WorkerBacklogs {
 public:
  /// Returns whether the report with that many ends is the first of a backlog.
  bool Begins(const WorkerId& worker, std::size_t ends) {
    if (ends >= kThreshold) return workers_.insert(worker).second;
    workers_.erase(worker);
    return false;
  }

 private:
  /// About ten tasks a second end on a worker.
  static constexpr std::size_t kThreshold = 50;

  /// Workers whose latest report had at least kThreshold ends.
  std::set<WorkerId> workers_;
};

}  // namespace pomelomill
