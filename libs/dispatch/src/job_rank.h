#pragma once

#include <compare>
#include <cstdint>
#include <map>

#include "job_table.h"

namespace pomelomill {

/// Mean run times of the queues' tasks. Callers' estimates are rough; the mean
/// of what was seen and the estimate together are closer than either.
class RunTimes {
 public:
  void Add(const QueueId& queue, Duration run_time);
  /// Nothing seen yet: zero. Follows the mean in steps of a twentieth, so that
  /// what is derived from it does not change with every task; callers'
  /// estimates are off by far more.
  Duration Expected(const QueueId& queue) const;

 private:
  struct Mean {
    Duration smoothed{};
    Duration expected{};
  };

  std::map<QueueId, Mean> means_;
};

/// Returns the expected run time of the longest chain of unfinished dependent
/// steps. `mean_run_time` is that of the queue's tasks, or zero when unknown.
Duration RemainingCriticalPath(const TrackedJob& job, Duration mean_run_time);

/// Order in which jobs get free places; lower comes first.
struct JobRank {
  enum class Class : std::uint8_t {
    /// Each second that a long-running task misses is lost.
    kLongRunning,
    /// Must start now to finish while the result is of any use to the caller.
    kUrgent,
    /// Can meet its latency objective.
    kInTime,
    /// Late, and of little use.
    kLate,
    /// Too late to be of any use to the caller.
    kExpired,
  };

  Class job_class = Class::kInTime;
  std::uint32_t priority = 0;
  /// Among jobs that can be in time the one with the least work goes first:
  /// when a peak asks for more than the pool holds, most callers are then
  /// served in time. Among the others the earliest moment goes first.
  std::int64_t key = 0;

  // clang-tidy 14 takes the zero of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const JobRank&) const = default;
};

RankInputs RankInputsOf(const TrackedJob& job, Duration mean_run_time);

/// Returns the rank of the job at the time `now`.
JobRank RankJob(const TrackedJob& job, const RankInputs& inputs,
                const QueuePolicy& policy, Instant now);
JobRank RankJob(const TrackedJob& job, const QueuePolicy& policy,
                Duration mean_run_time, Instant now);

}  // namespace pomelomill
