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
    TaskSize room;
    PoolWorker* worker = nullptr;
  };
  /// A size and a label for which there was no room.
  struct Miss {
    TaskSize size;
    std::string label;
  };
  /// Candidates in the order of their ids, and upper bounds of the room of any
  /// one of them.
  struct Group {
    std::vector<Candidate> candidates;
    TaskSize largest;
  };
  struct Memory {
    TaskSize largest_of_all;
    TaskSize largest_with_cores;
    std::vector<Miss> misses;
  };

  /// Those that a task of that size need be compared with.
  Group& GroupFor(const TaskSize& size) {
    return size.cpu_millis == 0 ? all_ : with_cores_;
  }
  const Group& GroupFor(const TaskSize& size) const {
    return size.cpu_millis == 0 ? all_ : with_cores_;
  }
  bool HasOthers(const StepSpec& step, const WorkerId& worker);
  void NoteMiss(const StepSpec& step);

  const WorkerTable& workers_;
  const Instant now_;
  Group all_;
  /// Without the workers whose cores are all in use: in a peak most are.
  Group with_cores_;
  std::vector<Miss> misses_;
  std::optional<Instant> unblocked_at_;
  Memory before_gang_;
  std::uint64_t examined_ = 0;
};

}  // namespace pomelomill
