#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>

#include "pomelomill/dispatch/dispatcher.h"

namespace pomelomill {

/// State of a worker of the pool.
struct PoolWorker {
  WorkerSpec spec;
  bool is_listed = false;
  bool is_unresponsive = false;
  /// Closed by Dispatcher::CloseWorker(): gets no tasks and is evacuated.
  bool is_closed = false;
  /// The present incarnation has reported under this owner's fencing token.
  bool has_reported = false;
  /// This owner has received a report with an untruncated list of ends.
  bool has_reported_fully = false;
  /// From the latest report.
  std::int64_t started_ms = 0;
  std::int64_t clock_ms = 0;
  Instant reported_at{};
  TaskSize used;
  std::set<TaskKey> tasks;
  /// Number of long-running tasks in `tasks`.
  std::uint32_t long_running_tasks = 0;
  /// Reported runs that this owner does not track. Their sizes are unknown, so
  /// no task is started on the worker while there are any.
  std::set<std::pair<TaskKey, std::uint32_t>> untracked_runs;
  /// Highest number of an end that was processed.
  std::uint64_t last_end_number = 0;
  /// Numbers of ends, each with the number of the batch that must be stored
  /// before the end is acknowledged.
  std::deque<std::pair<std::uint64_t, std::uint64_t>> unstored_ends;
  /// Highest number of an end that may be acknowledged.
  std::uint64_t ack_limit = 0;
  /// Set after a refused start and by a suspension.
  Instant blocked_until{};
  std::uint32_t consecutive_failures = 0;
  std::set<JobId> failed_jobs;
  /// Task that is to run here alone; no other task is placed meanwhile.
  std::optional<TaskKey> reserved_for;
  /// Those of `tasks` that were on a worker that crashed.
  std::set<TaskKey> crash_suspects;

  /// Whether `spec` describes the incarnation that has reported.
  bool IsSpecCurrent() const {
    return spec.started_ms == 0 || spec.started_ms == started_ms;
  }
  /// Whether the worker can run further tasks.
  bool CanRunTasks(Instant now) const {
    return is_listed && IsSpecCurrent() && has_reported_fully &&
           !is_unresponsive && !spec.is_draining && !is_closed &&
           untracked_runs.empty() && now >= blocked_until;
  }
  /// Whether any task may be placed on the worker.
  bool IsUsable(Instant now) const { return CanRunTasks(now) && !reserved_for; }
  bool HasLabel(const std::string& label) const;
  /// Whether the worker has free capacity for the task.
  bool Fits(const TaskSize& size) const;
  /// Whether the task would fit on the worker if it ran nothing else.
  bool CanEverFit(const TaskSize& size) const;
};

/// Returns the part of a task's size that counts against the capacity of its
/// worker: no cores for tasks that fill idle cores.
TaskSize CountedSize(const StepSpec& step);

/// The workers of one pool and the capacity that their tasks use.
class WorkerTable {
 public:
  std::map<WorkerId, PoolWorker>& all() { return workers_; }
  const std::map<WorkerId, PoolWorker>& all() const { return workers_; }
  PoolWorker* Find(const WorkerId& id);
  const PoolWorker* Find(const WorkerId& id) const;
  /// Returns the worker, which is added when it is unknown.
  PoolWorker& GetOrAdd(const WorkerId& id) { return workers_[id]; }

  void ReserveCapacity(PoolWorker& worker, const TaskKey& key,
                       const StepSpec& step);
  void ReleaseCapacity(const WorkerId& id, const TaskKey& key,
                       const StepSpec& step);

 private:
  std::map<WorkerId, PoolWorker> workers_;
};

}  // namespace pomelomill
