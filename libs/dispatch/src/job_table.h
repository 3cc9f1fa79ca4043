#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pomelomill/dispatch/dispatcher.h"

namespace pomelomill {

/// Phase of a task's latest run.
enum class RunPhase {
  kWaiting,
  /// A start was sent and is not answered yet.
  kStarting,
  kRunning,
  /// A stop was sent or is due. The task keeps its capacity on the worker until
  /// the worker has confirmed that the run is over.
  kStopping,
  kDone,
};

/// State of a task, its latest run and its failed runs.
struct TaskState {
  RunPhase phase = RunPhase::kWaiting;
  std::uint32_t run = 0;
  std::set<std::uint32_t> failed_runs;
  /// Runs that were lost because their worker crashed.
  std::set<std::uint32_t> crashed_runs;
  /// How many of these crashes were part of the crash of several workers, so
  /// that the task is hardly their cause. Not known of earlier owners.
  std::uint32_t excused_crashes = 0;
  /// A run of an earlier owner that no worker has listed yet; 0 for none. See
  /// JobProgress::Task::unfinished_run.
  std::uint32_t unfinished_run = 0;
  /// The present run shares its worker with long-running tasks at most.
  bool runs_alone = false;
  /// As last reported; a long-running task serves requests once it reports 100.
  std::uint32_t speed_percent = 0;
  /// Set while the task is starting, running or stopping.
  WorkerId worker;
  std::string checkpoint;
  /// Worker on which the latest failed run ended.
  WorkerId failed_on;
  Instant avoid_until{};
  Instant retry_at{};
  /// Worker whose next incarnation may carry out a start of the task, which is
  /// held back until `retry_at` for that reason.
  WorkerId held_for;
  /// When the latest run was placed; unset for gang members and adopted runs.
  Instant started_at{};
  /// Latest time on the worker's clock at which the run was known to be on the
  /// worker, or at which the worker accepted its stop. A report with a later
  /// clock that does not list the run proves that the run is over.
  std::int64_t confirmed_clock_ms = 0;
  bool is_stop_accepted = false;
  /// The start was not answered; the worker's next report shows whether the run
  /// is in progress.
  bool is_start_unanswered = false;
  Instant resend_stop_at{};

  bool is_placed() const {
    return phase == RunPhase::kStarting || phase == RunPhase::kRunning ||
           phase == RunPhase::kStopping;
  }
};

/// State of a step in one occurrence of a job.
struct StepState {
  std::vector<TaskState> tasks;
  /// Numbers of finished tasks and of tasks that are placed on a worker.
  std::uint32_t done = 0;
  std::uint32_t placed = 0;
  /// No task with a lower index is waiting.
  std::uint32_t first_waiting = 0;

  bool is_done() const { return done == tasks.size(); }
  std::size_t waiting() const { return tasks.size() - done - placed; }
};

/// State of one occurrence of a job.
struct OccurrenceState {
  std::vector<StepState> steps;
  std::uint32_t done_steps = 0;
};

/// A step that has waiting tasks and whose preceding steps are all finished.
struct ReadyStep {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  bool operator==(const ReadyStep&) const = default;
};

/// Inputs to the rank of a job that do not depend on the current time. All
/// other members are computed from `mean_run_time`, that of the tasks of the
/// job's queue, or 0 when it is unknown.
struct RankInputs {
  Duration mean_run_time{};
  Duration total_critical_path{};
  Duration remaining_critical_path{};
  /// Core-milliseconds of the unfinished tasks.
  std::int64_t remaining_core_ms = 0;

  bool operator==(const RankInputs&) const = default;
};

/// A job of the pool: active, or finished and retained.
struct TrackedJob {
  JobId id;
  QueueId queue;
  std::shared_ptr<const JobSpec> spec;
  /// See AddedJob::workspace.
  WorkspaceId workspace;
  /// See AddedJob::terms.
  std::optional<QueueTerms> terms;
  /// Phase when the job was added, or the final phase; `has_begun` tells
  /// whether any of its tasks has run.
  JobPhase phase = JobPhase::kQueued;
  /// Phase when the job was added, or the final phase once it is stored.
  JobPhase stored_phase = JobPhase::kQueued;
  bool is_inherited = false;
  bool is_dirty = false;
  /// A worker has begun a run of some task, by its answer to the start or its
  /// report. A start that was refused, or has no answer yet, does not count.
  bool has_begun = false;
  /// Some task was placed on a worker, see DispatchTiming::kStartDelay.
  bool was_placed = false;
  /// When this owner added the job; for an inherited job, later than its
  /// acceptance.
  Instant added_at{};
  std::int64_t ended_wall_ms = 0;
  Instant ended_at{};
  /// Occurrences that are due, or were started by an earlier owner, and are not
  /// finished, by number.
  std::map<std::uint32_t, OccurrenceState> occurrences;
  /// Number of the next occurrence to be created.
  std::uint32_t next_occurrence = 0;
  /// Number of occurrences that are due by this owner's clock. No task of a
  /// later one is started.
  std::uint32_t due_occurrences = 0;
  std::uint32_t done_occurrences = 0;
  /// Number of tasks that are placed on a worker.
  std::uint32_t placed = 0;
  /// Progress of the tasks of occurrences that are not created yet, and of
  /// finished occurrences. Entries of the occurrences in `occurrences` are out
  /// of date and ignored.
  std::vector<JobProgress::Task> restored;
  /// Computed from the tasks on demand; invalidated when a task changes.
  std::optional<std::vector<ReadyStep>> cached_ready_steps;
  std::optional<RankInputs> cached_rank_inputs;

  bool is_final() const { return IsFinal(phase); }
};

/// Returns the tasks of one occurrence with the restored progress applied.
OccurrenceState MakeOccurrence(const TrackedJob& job, std::uint32_t occurrence);

/// Returns the task, or null when its occurrence is not due, is finished, or
/// has no such task.
TaskState* FindTask(TrackedJob& job, const TaskKey& key);

/// Whether all steps on which `step` depends are finished.
bool IsReady(const TrackedJob& job, const OccurrenceState& occurrence,
             std::size_t step);

/// Returns the ready steps of the occurrences that are due, ordered by
/// occurrence and step. The result is cached in the job.
const std::vector<ReadyStep>& ReadySteps(TrackedJob& job);

/// Returns the progress of the job as it is to be stored.
JobProgress ProgressOf(const TrackedJob& job);

}  // namespace pomelomill
