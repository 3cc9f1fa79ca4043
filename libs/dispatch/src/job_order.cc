#include "job_order.h"

#include <algorithm>

namespace pomelomill {
namespace {

/// Weight of the latest run time; the mean covers about the last 30 tasks.
constexpr double kLatestWeight = 0.03;
/// The expected run time moves when the mean is off by one part in so many.
constexpr int kExpectedParts = 20;
/// A job is of little use after its objective, and of none after this many
/// times the objective.
constexpr int kWorthlessFactor = 3;
/// Time that a last start is early: tasks take longer than expected, and many
/// jobs of a peak reach their last chance together.
constexpr Duration kStartMargin = std::chrono::milliseconds(2000);

Duration ExpectedTime(const StepSpec& step, Duration seen) {
  if (seen == Duration(0)) return step.estimate;
  return (step.estimate + seen) / 2;
}

/// Core-milliseconds of the tasks that are not finished.
std::int64_t RemainingWork(const ActiveJob& job, Duration seen) {
  std::int64_t work = 0;
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      const StepSpec& step = job.spec->steps[s];
      const auto left = static_cast<std::int64_t>(
          occurrence.steps[s].tasks.size() - occurrence.steps[s].done);
      work += left * step.size.cpu_millis * ToMillis(ExpectedTime(step, seen)) /
              1'000;
    }
  }
  return work;
}

/// The longest chain through the steps of which `is_done` is false.
template <typename IsDone>
Duration Chain(const JobSpec& spec, Duration seen, const IsDone& is_done) {
  Duration longest{};
  std::vector<Duration> ends(spec.steps.size());
  for (std::size_t s = 0; s < ends.size(); ++s) {
    const StepSpec& step = spec.steps[s];
    Duration begin{};
    for (const std::uint32_t it : step.after) begin = std::max(begin, ends[it]);
    ends[s] = begin + (is_done(s) ? Duration(0) : ExpectedTime(step, seen));
    longest = std::max(longest, ends[s]);
  }
  return longest;
}

}  // namespace

void RunTimes::Add(const QueueId& queue, Duration run_time) {
  const auto [it, is_new] = means_.emplace(queue, Mean{run_time, run_time});
  if (is_new) return;
  Mean& mean = it->second;
  mean.exact += std::chrono::duration_cast<Duration>((run_time - mean.exact) *
                                                     kLatestWeight);
  if (std::chrono::abs(mean.exact - mean.expected) >
      mean.expected / kExpectedParts)
    mean.expected = mean.exact;
}

Duration RunTimes::Expected(const QueueId& queue) const {
  const auto it = means_.find(queue);
  return it == means_.end() ? Duration(0) : it->second.expected;
}

Duration RemainingChain(const ActiveJob& job, Duration seen) {
  Duration longest{};
  for (const auto& entry : job.occurrences) {
    const OccurrenceState& occurrence = entry.second;
    longest = std::max(longest,
                       Chain(*job.spec, seen, [&occurrence](std::size_t step) {
                         return occurrence.steps[step].is_done();
                       }));
  }
  return longest;
}

RankInputs RankInputsOf(const ActiveJob& job, Duration seen) {
  return {
      .seen = seen,
      .whole_chain = Chain(*job.spec, seen, [](std::size_t) { return false; }),
      .remaining_chain = RemainingChain(job, seen),
      .remaining_work = RemainingWork(job, seen)};
}

JobRank RankJob(const ActiveJob& job, const RankInputs& inputs,
                const QueuePolicy& policy, Instant now) {
  JobRank rank;
  rank.priority = policy.priority;
  const auto key_of = [](Instant when) {
    return ToMillis(when.time_since_epoch());
  };
  if (job.spec->steps.front().is_long_running) {
    rank.job_class = JobRank::Class::kLongRunning;
    rank.key = key_of(job.accepted_at);
    return rank;
  }
  const Duration objective =
      policy.target_latency +
      std::chrono::duration_cast<Duration>(inputs.whole_chain * policy.stretch);
  const Duration left = inputs.remaining_chain;
  const Instant due = job.accepted_at + objective;
  const Instant useless = job.accepted_at + kWorthlessFactor * objective;
  if (now + left > useless) {
    rank.job_class = JobRank::Class::kWorthless;
    rank.key = key_of(useless);
  } else if (now + left + kStartMargin > useless) {
    rank.job_class = JobRank::Class::kLastChance;
    rank.key = key_of(useless);
  } else if (now + left <= due) {
    rank.job_class = JobRank::Class::kInTime;
    rank.key = inputs.remaining_work;
  } else {
    rank.job_class = JobRank::Class::kLate;
    rank.key = key_of(useless);
  }
  return rank;
}

JobRank RankJob(const ActiveJob& job, const QueuePolicy& policy, Duration seen,
                Instant now) {
  return RankJob(job, RankInputsOf(job, seen), policy, now);
}

}  // namespace pomelomill
