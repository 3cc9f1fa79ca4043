#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/result.h"
#include "pomelomill/base/time.h"

namespace pomelomill {

/// Resources that one task needs, or that one worker has.
struct TaskSize {
  /// Thousandths of a core.
  std::uint32_t cpu_millis = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t gpus = 0;

  bool operator==(const TaskSize&) const = default;
};

/// A step of a job: tasks of the same kind, which become ready together.
struct StepSpec {
  std::uint32_t tasks = 1;
  TaskSize size;
  /// Approximate run time of one task, declared by the caller.
  Duration estimate{};
  /// Indexes of the earlier steps that must be finished before this step
  /// starts.
  std::vector<std::uint32_t> after;
  bool has_checkpoints = false;
  /// Gang scheduling: the tasks make progress only while all of them run.
  bool is_gang = false;
  /// The tasks run slower when they are spread over several racks.
  bool prefers_one_rack = false;
  /// Several copies of a task may run at the same time; the first copy that
  /// finishes provides the result.
  bool allows_copies = false;
  /// The tasks run until the job is cancelled; a task is restarted however its
  /// run ends.
  bool is_long_running = false;
  /// The tasks use only cores that other tasks leave idle.
  bool fills_idle_cores = false;
  /// Label that a worker must have; empty when any worker may be used.
  std::string required_label;
  /// Label of the rack that holds the input data; tasks on workers without this
  /// label run slower. Empty when there is no preference.
  std::string data_rack;
  /// Maximum number of tasks of the step on one worker; 0 means no limit.
  std::uint32_t max_per_worker = 0;
  /// Image that the tasks run; tasks with the same image behave alike.
  std::string image;
  /// Upper bound on the tail latency of a task that serves requests; 0 means no
  /// bound.
  Duration latency_target{};
  /// A long-running task is evacuated from a closed worker only while fewer
  /// other tasks of the step than this are unavailable, for whatever cause; 0
  /// counts as 1. Does not limit evacuations from draining workers.
  std::uint32_t max_unavailable = 0;

  bool operator==(const StepSpec&) const = default;
};

/// A job as its caller submitted it.
struct JobSpec {
  /// Passed to the workers unchanged.
  std::string payload;
  std::vector<StepSpec> steps;
  /// Number of times that all steps run; 0 means once, without a due time.
  std::uint32_t occurrences = 0;
  /// Unix time at which occurrence 0 is due.
  std::int64_t first_due_ms = 0;
  /// Time between the due times of consecutive occurrences.
  Duration interval{};

  bool operator==(const JobSpec&) const = default;

  std::uint32_t total_occurrences() const {
    return occurrences == 0 ? 1 : occurrences;
  }
  bool is_timed() const { return occurrences != 0; }
  /// Unix time in milliseconds at which the occurrence of a timed job is due.
  std::int64_t DueMs(std::uint32_t occurrence) const {
    return first_due_ms + occurrence * ToMillis(interval);
  }
};

/// Identifies a task of a job. The text form is "JOB.OCCURRENCE.STEP.INDEX".
struct TaskKey {
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  // clang-tidy 14 mistakes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const TaskKey&) const = default;
  bool operator==(const TaskKey&) const = default;
};

std::string ToText(const TaskKey& key);
/// Returns the key, or DispatchError::kMalformedRecord when the text is not the
/// text form of a task key.
Result<TaskKey> ParseTaskKey(std::string_view text);

/// Limits on the size of one job, so that a single caller cannot exhaust an
/// owner's memory.
inline constexpr std::size_t kMaxStepsOfJob = 64;
inline constexpr std::uint32_t kMaxTasksOfJob = 20'000;
inline constexpr std::uint32_t kMaxOccurrencesOfJob = 100'000;

/// Returns DispatchError::kInvalidJob when the job has no steps, a step has no
/// tasks, a step depends on itself or a later step, the interval is negative,
/// or a limit is exceeded.
Status CheckJob(const JobSpec& spec);

/// Returns the text form of the job for the store.
std::string EncodeJobSpec(const JobSpec& spec);
/// Returns the job, or DispatchError::kMalformedRecord when the text is not the
/// text form of a valid job.
Result<JobSpec> DecodeJobSpec(std::string_view text);

}  // namespace pomelomill
