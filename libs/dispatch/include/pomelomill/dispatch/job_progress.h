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

/// What the next owner of a job cannot learn from the workers.
struct JobProgress {
  struct Task {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    bool is_done = false;
    /// Run numbers that failed. An end may be reported to two owners; the
    /// numbers keep it from being counted twice.
    std::vector<std::uint32_t> failed_runs;
    /// Latest checkpoint; empty when there is none.
    std::string checkpoint;

    bool operator==(const Task&) const = default;
  };

  JobPhase phase = JobPhase::kQueued;
  /// Only tasks that are finished, have failed or have a checkpoint.
  std::vector<Task> tasks;
  /// Unix time of the change to a final phase; 0 before.
  std::int64_t ended_ms = 0;

  bool operator==(const JobProgress&) const = default;
};

/// Text of a progress for the store, and back;
/// DispatchError::kMalformedRecord.
std::string EncodeJobProgress(const JobProgress& progress);
Result<JobProgress> DecodeJobProgress(std::string_view text);

}  // namespace pomelomill
