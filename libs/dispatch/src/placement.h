#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "job_table.h"
#include "worker_table.h"

namespace pomelomill {

/// Finds workers for the tasks of one plan, and remembers what found none.
/// Between its calls tasks may be placed on workers; they may be taken away
/// again only between BeginGang and RollBackGang.
class PlacementSearch {
 public:
  PlacementSearch(WorkerTable& workers, Instant now);

  /// When the first worker that is blocked now may take tasks again.
  std::optional<Instant> unblocked_at() const { return unblocked_at_; }

  /// False when it is certain without a search that no worker can take a task
  /// of the step.
  bool MayFit(const StepSpec& step) const;
  /// The same for that many tasks at a time.
  bool MayFitAll(const StepSpec& step, std::size_t tasks);

  /// The worker for one task of the step, or null when none may take it now.
  /// Never exceeds a worker's capacity. Prefers the rack that holds the data;
  /// spreads long-running tasks over workers and racks, so that the loss of one
  /// takes few of them; packs all others, so that wide tasks still find room.
  PoolWorker* Choose(const StepSpec& step, const StepState& state,
                     const TaskState& task);

  void BeginGang();
  /// The tasks that were placed since BeginGang are placed no longer.
  void RollBackGang();

  /// Workers and tasks that were looked at.
  std::uint64_t examined() const { return examined_; }

 private:
  /// A worker that may take tasks, and its room when the search began: an upper
  /// bound of its room now.
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
