#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/time.h"
#include "pomelomill/dispatch/job_spec.h"

namespace pomelomill {

/// Expected needs of a job of which nothing has run yet.
struct JobDemand {
  /// Run time of the longest chain of dependent steps.
  Duration critical_path{};
  std::uint64_t core_ms = 0;
};

/// Returns the demand of a job. `mean_run_time` is that of the queue's tasks,
/// or zero when unknown. nullopt for jobs that no backlog delays: those with a
/// long-running first step are served first, and timed ones become due later.
std::optional<JobDemand> DemandOf(const JobSpec& spec, Duration mean_run_time);

/// Unfinished work of a pool that ranks before a job that arrives now.
///
/// Jobs that can be in time are served by priority and then by their remaining
/// work, the smallest first (see job_rank.h), so a small newcomer waits for
/// much less than a large one: the work is given by size of the jobs.
struct PoolBacklog {
  /// Size classes of jobs. Class 0 is of at most one core-second, and each
  /// further class of up to four times the one before; the last is unlimited.
  static constexpr std::size_t kSizeClasses = 8;
  using SizeClasses = std::array<std::uint64_t, kSizeClasses>;

  /// Jobs of one priority that can still be in time.
  struct Level {
    std::uint32_t priority = 0;
    /// Core-milliseconds of the tasks that wait, by size of their jobs.
    SizeClasses core_ms{};

    bool operator==(const Level&) const = default;
  };

  /// Thousandths of the cores that tasks with an end can use; not 0.
  std::uint64_t cpu_millis = 1;
  /// Core-milliseconds by which the running tasks delay the waiting ones.
  std::uint64_t running_core_ms = 0;
  /// Core-milliseconds of waiting tasks that are served before any newcomer.
  std::uint64_t urgent_core_ms = 0;
  /// By ascending priority. Levels beyond the limit are omitted, which makes
  /// the delays of their newcomers too short.
  std::vector<Level> levels;
  /// Mean run times of the tasks of the queues that have unfinished jobs.
  std::map<QueueId, Duration> run_times;

  bool operator==(const PoolBacklog&) const = default;

  static std::size_t SizeClassOf(std::uint64_t core_ms);
  Duration MeanRunTimeOf(const QueueId& queue) const;
  /// Returns the delay until a job that arrives now gets cores.
  Duration DelayOf(std::uint32_t priority, std::uint64_t core_ms) const;
  /// Returns the delay of a newcomer that ranks behind all this work.
  Duration DrainTime() const;
  /// Returns the time that the pool needs for more work.
  Duration TimeFor(std::uint64_t core_ms) const;
};

/// Most levels of a PoolBacklog.
inline constexpr std::size_t kMaxBacklogLevels = 8;

/// A pool with a shorter drain time than this has no backlog: the delay is
/// short compared to the run times of tasks, a second or more.
inline constexpr Duration kMinBacklog = std::chrono::milliseconds(300);

}  // namespace pomelomill
