#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "job_table.h"
#include "worker_table.h"

namespace pomelomill {

/// Finds workers for the tasks of one plan, and remembers the task sizes and
/// labels for which no worker was found, so that they are not searched for
/// again. The caller may place tasks on workers between calls, but may only
/// remove them again if RollBackGang() is called and they were placed since
/// BeginGang().
class PlacementSearch {
 public:
  PlacementSearch(WorkerTable& workers, Instant now);

  /// Returns when the first of the workers that are suspended or have refused a
  /// start may get tasks again; nullopt when there are none.
  std::optional<Instant> unblocked_at() const { return unblocked_at_; }

  /// Returns false when it is known without a search that no worker has
  /// capacity for a task of the step.
  bool MayFit(const StepSpec& step) const;
  /// Returns false when the workers certainly lack the capacity for `tasks`
  /// tasks of the step at the same time.
  bool MayFitAll(const StepSpec& step, std::size_t tasks);

  /// Returns the worker for one task of the step, or null when no worker can
  /// run it now. Never exceeds a worker's capacity or the step's
  /// `max_per_worker`. Until `task.avoid_until`, excludes the worker of the
  /// last failed run if the pool has alternatives. Prefers, in this order:
  /// for a task that was on a worker that crashed, the workers with the fewest
  /// other such tasks, so that the one that causes crashes is found soon;
  /// workers other than that of the last failed run; the rack that holds the
  /// data; for long-running tasks, the workers and then the racks with the
  /// fewest tasks of the step, so that the loss of a worker or rack affects few
  /// of them; for all others, if `prefers_one_rack` is set, the rack with the
  /// most tasks of the step; the worker with the smallest share of free cores,
  /// so that tasks that need many cores still find a worker. Tasks that fill
  /// idle cores are spread like long-running ones only if `max_per_worker` or
  /// `prefers_one_rack` is set; otherwise the tasks of their step are not
  /// counted.
  PoolWorker* Choose(const StepSpec& step, const StepState& state,
                     const TaskState& task);

  /// Saves the state to which RollBackGang() returns.
  void BeginGang();
  /// Restores the state of BeginGang(). The caller removes the tasks that were
  /// placed since then from their workers.
  void RollBackGang();

  /// Number of workers and tasks examined.
  std::uint64_t examined() const { return examined_; }

 private:
  /// A worker that may get tasks, and its free capacity when the search began,
  /// which is an upper bound on its present free capacity.
  struct Candidate {
    TaskSize free_capacity;
    PoolWorker* worker = nullptr;
  };
  /// A task size and required label for which no worker had capacity.
  struct FailedSearch {
    TaskSize size;
    std::string label;
  };
  /// Workers ordered by id, and an upper bound on the free capacity of any
  /// single one of them in each resource.
  struct CandidateList {
    std::vector<Candidate> candidates;
    TaskSize largest;
  };
  /// State that RollBackGang() restores.
  struct Snapshot {
    TaskSize largest_of_all;
    TaskSize largest_with_cores;
    std::vector<FailedSearch> failed_searches;
  };

  /// Returns the workers with which a task of this size must be compared.
  CandidateList& CandidatesFor(const TaskSize& size) {
    return size.cpu_millis == 0 ? all_ : with_cores_;
  }
  const CandidateList& CandidatesFor(const TaskSize& size) const {
    return size.cpu_millis == 0 ? all_ : with_cores_;
  }
  bool HasAlternative(const StepSpec& step, const WorkerId& worker);
  void RecordFailedSearch(const StepSpec& step);

  const WorkerTable& workers_;
  const Instant now_;
  CandidateList all_;
  /// The workers with free cores. A separate list, because during a load peak
  /// most workers have none.
  CandidateList with_cores_;
  std::vector<FailedSearch> failed_searches_;
  std::optional<Instant> unblocked_at_;
  Snapshot gang_snapshot_;
  std::uint64_t examined_ = 0;
};

}  // namespace pomelomill
