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

enum class RunPhase {
  kWaiting,
  /// A start was sent and not answered.
  kStarting,
  kRunning,
  /// A stop was sent or is due; the place counts as taken until the worker
  /// has confirmed that the run is over.
  kStopping,
  kDone,
};

struct TaskState {
  RunPhase phase = RunPhase::kWaiting;
  std::uint32_t run = 0;
  std::set<std::uint32_t> failed_runs;
  /// As last reported; a long-running task is at work at 100.
  std::uint32_t percent = 0;
  /// While starting, running or stopping.
  WorkerId worker;
  std::string saved;
  /// Where the latest run failed.
  WorkerId failed_on;
  Instant avoid_until{};
  Instant retry_at{};
  /// When the latest run was placed.
  Instant started_at{};
  /// The worker's clock at which the run was known to be there, or its stop to
  /// be accepted. Reports of a later clock that do not list the run prove that
  /// it is over.
  std::int64_t known_clock_ms = 0;
  bool is_stop_accepted = false;
  /// The start had no answer; the worker's next report decides.
  bool is_unanswered = false;
  Instant stop_again_at{};

  bool is_placed() const {
    return phase == RunPhase::kStarting || phase == RunPhase::kRunning ||
           phase == RunPhase::kStopping;
  }
};

struct StepState {
  std::vector<TaskState> tasks;
  std::uint32_t done = 0;
  std::uint32_t placed = 0;
  /// No task before this one waits.
  std::uint32_t first_waiting = 0;

  bool is_done() const { return done == tasks.size(); }
  std::size_t waiting() const { return tasks.size() - done - placed; }
};

struct OccurrenceState {
  std::vector<StepState> steps;
  std::uint32_t done_steps = 0;
};

/// A step with tasks that wait, all of whose predecessors are finished.
struct ReadyStep {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  bool operator==(const ReadyStep&) const = default;
};

/// What the rank of a job follows from besides the time. `seen` is the mean
/// run time for which the other values hold.
struct RankInputs {
  Duration seen{};
  Duration whole_chain{};
  Duration remaining_chain{};
  std::int64_t remaining_work = 0;

  bool operator==(const RankInputs&) const = default;
};

struct ActiveJob {
  JobId id;
  QueueId queue;
  std::shared_ptr<const JobSpec> spec;
  JobPhase phase = JobPhase::kQueued;
  JobPhase stored_phase = JobPhase::kQueued;
  bool is_inherited = false;
  bool is_dirty = false;
  bool has_started = false;
  Instant accepted_at{};
  std::int64_t ended_wall_ms = 0;
  Instant ended_at{};
  /// Occurrences that are due and not finished.
  std::map<std::uint32_t, OccurrenceState> occurrences;
  /// The next occurrence that becomes due.
  std::uint32_t next_occurrence = 0;
  std::uint32_t done_occurrences = 0;
  std::uint32_t placed = 0;
  /// Tasks that a previous owner reported, of occurrences not created yet.
  std::vector<JobProgress::Task> restored;
  /// Derived from the tasks when needed; dropped when a task changes.
  std::optional<std::vector<ReadyStep>> ready;
  std::optional<RankInputs> rank_inputs;

  bool is_final() const { return IsFinal(phase); }
};

/// Creates the tasks of one occurrence and applies the restored progress.
OccurrenceState MakeOccurrence(const ActiveJob& job, std::uint32_t occurrence);

/// The task, or null when the job has no such task now.
TaskState* FindTask(ActiveJob& job, const TaskKey& key);

/// Whether all steps that `step` waits for are finished.
bool IsReady(const ActiveJob& job, const OccurrenceState& occurrence,
             std::size_t step);

/// In the order of occurrences and steps; kept in the job.
const std::vector<ReadyStep>& ReadySteps(ActiveJob& job);

JobProgress ProgressOf(const ActiveJob& job);

}  // namespace pomelomill
