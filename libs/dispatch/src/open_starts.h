#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "pomelomill/base/time.h"
#include "pomelomill/dispatch/job_spec.h"

namespace pomelomill {

/// Start orders of which some copy may still be carried out, whatever became of
/// the run since. A worker carries out a run once in each of its incarnations,
/// so such a copy matters when the worker starts again under its id.
class OpenStarts {
 public:
  explicit OpenStarts(Duration lifetime) : lifetime_(lifetime) {}

  /// A task with an open start, and the time until which a copy of the start
  /// may be carried out.
  struct OpenTask {
    TaskKey key;
    Instant until{};
  };

  /// A start of the run has been sent to the worker.
  void Add(const WorkerId& worker, const TaskKey& key, std::uint32_t run) {
    starts_[{key, run}] = {worker, Instant::max()};
  }
  /// No copy of the order is in transit any more. With `is_answered` each copy
  /// was answered and none can be carried out later.
  void Settle(const TaskKey& key, std::uint32_t run, bool is_answered,
              Instant now);
  /// The tasks of which the worker may still carry out a start of any run. A
  /// task is listed once for each such start.
  std::vector<OpenTask> OpenOn(const WorkerId& worker, Instant now) const;
  /// Forgets orders past their lifetime.
  void Purge(Instant now);

 private:
  struct OpenStart {
    WorkerId worker;
    /// Instant::max() while a copy is in transit.
    Instant until{};
  };

  const Duration lifetime_;
  std::map<std::pair<TaskKey, std::uint32_t>, OpenStart> starts_;
};

}  // namespace pomelomill
