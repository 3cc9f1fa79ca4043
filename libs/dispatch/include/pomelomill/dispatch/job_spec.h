#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/result.h"
#include "pomelomill/base/time.h"

namespace pomelomill {

/// What one task occupies on its worker.
struct TaskSize {
  std::uint32_t cpu_millis = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t gpus = 0;

  bool operator==(const TaskSize&) const = default;
};

/// Tasks of the same kind, which become ready together.
struct StepSpec {
  std::uint32_t tasks = 1;
  TaskSize size;
  /// Rough run time of one task, as declared by the caller.
  Duration estimate{};
  /// Indexes of earlier steps that must be finished first.
  std::vector<std::uint32_t> after;
  bool has_checkpoints = false;
  /// The tasks make progress only while all of them run.
  bool is_gang = false;
  /// Tasks on more than one rack run slower.
  bool prefers_one_rack = false;
  /// More than one copy of a task may run; the first that finishes counts.
  bool allows_copies = false;
  /// Runs until the job is cancelled and is restarted however it ends.
  bool is_long_running = false;
  /// Uses only cores that other tasks leave idle.
  bool fills_idle_cores = false;
  /// Label that the worker must have; empty when any worker will do.
  std::string required_label;
  /// Rack that holds the data; tasks elsewhere run slower.
  std::string data_rack;
  /// Most tasks of the step on one worker; 0 means no limit.
  std::uint32_t max_per_worker = 0;
  /// Tasks with the same image behave alike.
  std::string image;
  /// Bound on the tail latency of a task that serves requests; 0 means none.
  Duration latency_target{};
  /// Tasks of a long-running step that planned work may take away at a time.
  std::uint32_t max_unavailable = 0;

  bool operator==(const StepSpec&) const = default;
};

/// What a caller asked for.
struct JobSpec {
  /// Passed to the workers as it is.
  std::string payload;
  std::vector<StepSpec> steps;
  /// How often all steps run; 0 means once and at once.
  std::uint32_t occurrences = 0;
  /// Unix time at which occurrence 0 is due.
  std::int64_t first_due_ms = 0;
  Duration interval{};

  bool operator==(const JobSpec&) const = default;

  std::uint32_t total_occurrences() const {
    return occurrences == 0 ? 1 : occurrences;
  }
  bool is_timed() const { return occurrences != 0; }
};

/// One task of a job. The text form is "JOB.OCCURRENCE.STEP.INDEX".
struct TaskKey {
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  // clang-tidy 14 takes the zero of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const TaskKey&) const = default;
  bool operator==(const TaskKey&) const = default;
};

std::string ToText(const TaskKey& key);
/// DispatchError::kMalformedRecord when the text is not a task key.
Result<TaskKey> ParseTaskKey(std::string_view text);

/// Limits on one job, so that a single caller cannot fill an owner's memory.
inline constexpr std::size_t kMaxStepsOfJob = 64;
inline constexpr std::uint32_t kMaxTasksOfJob = 20'000;
inline constexpr std::uint32_t kMaxOccurrencesOfJob = 100'000;

/// DispatchError::kInvalidJob when there is no step or no task, a step waits
/// for a later one, or a limit is exceeded.
Status CheckJob(const JobSpec& spec);

/// Text of a job for the store, and back; kMalformedRecord.
std::string EncodeJobSpec(const JobSpec& spec);
Result<JobSpec> DecodeJobSpec(std::string_view text);

}  // namespace pomelomill
