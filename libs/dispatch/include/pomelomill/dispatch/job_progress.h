#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "pomelomill/base/result.h"

namespace pomelomill {

enum class JobPhase { kQueued, kRunning, kComplete, kFailed, kCancelled };

inline bool IsFinal(JobPhase phase) {
  return phase != JobPhase::kQueued && phase != JobPhase::kRunning;
}

const char* ToText(JobPhase phase);

/// Stored state of a job: what a new owner cannot learn from the workers'
/// reports.
struct JobProgress {
  struct Task {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    bool is_done = false;
    /// Numbers of the failed runs. Stored as numbers rather than as a count
    /// because one end may be reported to two owners and must count once.
    std::vector<std::uint32_t> failed_runs;
    /// Numbers of the runs that were lost because their worker crashed.
    std::vector<std::uint32_t> crashed_runs;
    /// For a task with crashed runs, the run that was started and has not
    /// ended; 0 for none. When no worker lists it, its worker has crashed
    /// before an owner noticed.
    std::uint32_t unfinished_run = 0;
    /// Latest checkpoint; empty when there is none.
    std::string checkpoint;

    bool operator==(const Task&) const = default;
  };

  /// kRunning once a worker has begun a run of some task.
  JobPhase phase = JobPhase::kQueued;
  /// Only the tasks that are finished, have failed or crashed runs or have a
  /// checkpoint.
  /// Empty when the phase is final.
  std::vector<Task> tasks;
  /// Unix time of the change to a final phase; 0 until then.
  std::int64_t ended_ms = 0;

  bool operator==(const JobProgress&) const = default;
};

/// Returns the text form of the progress for the store.
std::string EncodeJobProgress(const JobProgress& progress);
/// Returns the progress, or DispatchError::kMalformedRecord when the text is
/// not the text form of a progress.
Result<JobProgress> DecodeJobProgress(std::string_view text);

}  // namespace pomelomill
