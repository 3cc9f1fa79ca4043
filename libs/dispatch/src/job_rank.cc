#include "job_rank.h"

#include <algorithm>
#include <cmath>

namespace pomelomill {
namespace {

/// Weight of the latest run time in the exponential moving average, which
/// covers about the last 30 tasks.
constexpr double kSmoothingFactor = 0.03;
/// The mean run time follows the moving average when they differ by more than
/// the mean run time divided by this number.
constexpr int kMeanStepDivisor = 20;
/// A job is of little use to its caller once its latency objective has passed,
/// and of no use after this many times the objective.
constexpr int kExpiryFactor = 3;
/// A job becomes urgent this long before the latest time at which its remaining
/// steps can start and are still expected to finish before it expires: tasks
/// take longer than expected, and many jobs of a load peak become urgent at the
/// same time.
constexpr Duration kStartMargin = std::chrono::milliseconds(2000);

/// Longest time that is expected of a task, and longest objective: callers may
/// send any estimate, and sums of these do not overflow.
constexpr Duration kMaxTaskTime = std::chrono::hours(24 * 30);
constexpr Duration kMaxObjective = std::chrono::hours(24 * 365 * 10);
/// More work than any fleet does in the longest time of a task.
constexpr double kMaxCoreMs = 1e18;

/// Returns the expected core-milliseconds of the unfinished tasks.
std::int64_t RemainingCoreMs(const TrackedJob& job, Duration mean_run_time) {
  double work = 0;
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      const StepSpec& step = job.spec->steps[s];
      const auto unfinished = static_cast<double>(
          occurrence.steps[s].tasks.size() - occurrence.steps[s].done);
      work += std::floor(
          unfinished * step.size.cpu_millis *
          static_cast<double>(ToMillis(ExpectedTime(step, mean_run_time))) /
          1'000);
    }
  }
  return static_cast<std::int64_t>(std::min(work, kMaxCoreMs));
}

/// Returns the run time of the longest chain of dependent steps, in which steps
/// for which `is_done` is true take no time.
template <typename IsDone>
Duration CriticalPath(const JobSpec& spec, Duration mean_run_time,
                      const IsDone& is_done) {
  Duration longest{};
  std::vector<Duration> ends(spec.steps.size());
  for (std::size_t s = 0; s < ends.size(); ++s) {
    const StepSpec& step = spec.steps[s];
    Duration begin{};
    for (const std::uint32_t it : step.after) begin = std::max(begin, ends[it]);
    ends[s] =
        begin + (is_done(s) ? Duration(0) : ExpectedTime(step, mean_run_time));
    longest = std::max(longest, ends[s]);
  }
  return longest;
}

}  // namespace

Duration ExpectedTime(const StepSpec& step, Duration mean_run_time) {
  const Duration estimate = std::min(step.estimate, kMaxTaskTime);
  if (mean_run_time == Duration(0)) return estimate;
  return (estimate + mean_run_time) / 2;
}

void RunTimes::Add(const QueueId& queue, Duration run_time) {
  const auto [it, is_new] = means_.emplace(queue, Mean{run_time, run_time});
  if (is_new) return;
  Mean& mean = it->second;
  mean.moving_average += std::chrono::duration_cast<Duration>(
      (run_time - mean.moving_average) * kSmoothingFactor);
  if (std::chrono::abs(mean.moving_average - mean.stepped) >
      mean.stepped / kMeanStepDivisor)
    mean.stepped = mean.moving_average;
}

Duration RunTimes::MeanOf(const QueueId& queue) const {
  const auto it = means_.find(queue);
  return it == means_.end() ? Duration(0) : it->second.stepped;
}

Duration RemainingCriticalPath(const TrackedJob& job, Duration mean_run_time) {
  Duration longest{};
  for (const auto& entry : job.occurrences) {
    const OccurrenceState& occurrence = entry.second;
    longest = std::max(
        longest,
        CriticalPath(*job.spec, mean_run_time, [&occurrence](std::size_t step) {
          return occurrence.steps[step].is_done();
        }));
  }
  return longest;
}

RankInputs ComputeRankInputs(const TrackedJob& job, Duration mean_run_time) {
  return {.mean_run_time = mean_run_time,
          .total_critical_path = CriticalPath(
              *job.spec, mean_run_time, [](std::size_t) { return false; }),
          .remaining_critical_path = RemainingCriticalPath(job, mean_run_time),
          .remaining_core_ms = RemainingCoreMs(job, mean_run_time)};
}

JobRank RankJob(const TrackedJob& job, const RankInputs& inputs,
                const QueuePolicy& policy, Instant now) {
  JobRank rank;
  rank.priority = policy.priority;
  const auto key_of = [](Instant when) {
    return ToMillis(when.time_since_epoch());
  };
  if (job.spec->steps.front().is_long_running) {
    rank.tier = JobRank::Tier::kLongRunning;
    rank.job_class = JobRank::Class::kLongRunning;
    rank.key = key_of(job.added_at);
    return rank;
  }
  const auto stretched = std::chrono::duration_cast<Duration>(
      std::min<std::chrono::duration<double, Duration::period>>(
          inputs.total_critical_path * policy.stretch, kMaxObjective));
  const Duration objective =
      std::min(policy.target_latency, kMaxObjective) + stretched;
  const Duration remaining = inputs.remaining_critical_path;
  const Instant due = job.added_at + objective;
  const Instant expires_at = job.added_at + kExpiryFactor * objective;
  if (now + remaining > expires_at) {
    rank.tier = JobRank::Tier::kExpired;
    rank.job_class = JobRank::Class::kExpired;
    rank.key = key_of(expires_at);
  } else if (now + remaining + kStartMargin > expires_at) {
    rank.job_class = JobRank::Class::kUrgent;
    rank.key = key_of(expires_at);
  } else if (now + remaining <= due) {
    rank.job_class = JobRank::Class::kInTime;
    rank.key = inputs.remaining_core_ms;
  } else {
    rank.job_class = JobRank::Class::kLate;
    rank.key = key_of(expires_at);
  }
  return rank;
}

JobRank RankJob(const TrackedJob& job, const QueuePolicy& policy,
                Duration mean_run_time, Instant now) {
  return RankJob(job, ComputeRankInputs(job, mean_run_time), policy, now);
}

}  // namespace pomelomill
