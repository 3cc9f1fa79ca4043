#pragma once

#include <compare>
#include <cstdint>
#include <map>

#include "job_table.h"

namespace pomelomill {

/// Moving averages of the measured run times of each queue's tasks.
class RunTimes {
 public:
  void Add(const QueueId& queue, Duration run_time);
  /// Returns the mean run time of the queue's tasks, or zero when none was
  /// measured yet. The value follows the moving average only when they differ
  /// by more than a twentieth, so that cached values derived from it are not
  /// invalidated by every task; the callers' estimates are off by far more.
  Duration MeanOf(const QueueId& queue) const;

 private:
  struct Mean {
    Duration moving_average{};
    /// The value that MeanOf() returns.
    Duration stepped{};
  };

  std::map<QueueId, Mean> means_;
};

/// Returns the expected run time of a task of the step. `mean_run_time` is that
/// of the queue's tasks, or zero when unknown. The callers' estimates are
/// rough; the average of an estimate and the measured mean is closer to the
/// true run time than either.
Duration ExpectedTime(const StepSpec& step, Duration mean_run_time);

/// Returns the expected run time of the longest chain of unfinished dependent
/// steps. `mean_run_time` is that of the queue's tasks, or zero when unknown.
Duration RemainingCriticalPath(const TrackedJob& job, Duration mean_run_time);

/// Order in which jobs get free capacity; the lowest rank comes first.
struct JobRank {
  enum class Tier : std::uint8_t {
    kLongRunning,
    kOrdinary,
    kExpired,
  };

  enum class Class : std::uint8_t {
    /// Served first, because each second that a long-running task does not run
    /// is lost.
    kLongRunning,
    /// Must start now to finish while the result is of any use to the caller.
    kUrgent,
    /// Can meet its latency objective.
    kInTime,
    /// Cannot meet its objective any more; of little use to the caller.
    kLate,
    /// Too late to be of any use to the caller.
    kExpired,
  };

  Tier tier = Tier::kOrdinary;
  /// See WorkspaceUsage::Excess(); not set by RankJob(). Goes before the class:
  /// otherwise a workspace that sends more than its part would delay the jobs
  /// of all others that are late already.
  std::uint32_t excess = 0;
  Class job_class = Class::kInTime;
  /// Of the queue; 0 is served first.
  std::uint32_t priority = 0;
  /// Among jobs that can meet their objective, the remaining work: the job with
  /// the least work goes first, so that most callers are served in time when a
  /// load peak exceeds the pool's capacity. Among all others a time in
  /// milliseconds, of which the earliest goes first: that at which a
  /// long-running job was added, otherwise the time after which the job is of
  /// no use.
  std::int64_t key = 0;

  // clang-tidy 14 mistakes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const JobRank&) const = default;
};

RankInputs ComputeRankInputs(const TrackedJob& job, Duration mean_run_time);

/// Returns the rank of the job at the time `now`.
JobRank RankJob(const TrackedJob& job, const RankInputs& inputs,
                const QueuePolicy& policy, Instant now);
JobRank RankJob(const TrackedJob& job, const QueuePolicy& policy,
                Duration mean_run_time, Instant now);

}  // namespace pomelomill
