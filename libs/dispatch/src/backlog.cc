#include "pomelomill/dispatch/backlog.h"

#include <algorithm>
#include <memory>
#include <numeric>

#include "dispatcher_impl.h"
#include "job_rank.h"

namespace pomelomill {
namespace {

constexpr std::uint64_t kSmallestClassCoreMs = 1'000;
constexpr std::uint64_t kClassFactor = 4;
/// Longer than any backlog; keeps the sums below far from an overflow.
constexpr double kMaxDelayMs = 1e9;
constexpr double kMaxCoreMs = 1e18;
double CoreMs(const StepSpec& step, Duration run_time) {
  return static_cast<double>(step.size.cpu_millis) *
         static_cast<double>(ToMillis(run_time)) / 1'000;
}

std::uint64_t Rounded(double core_ms) {
  return static_cast<std::uint64_t>(std::clamp(core_ms, 0.0, kMaxCoreMs));
}

std::uint64_t Sum(const PoolBacklog::SizeClasses& classes) {
  return std::accumulate(classes.begin(), classes.end(), std::uint64_t{0});
}

Duration TimeOf(double core_ms, std::uint64_t cpu_millis) {
  const double ms = core_ms * 1'000 /
                    static_cast<double>(std::max<std::uint64_t>(1, cpu_millis));
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(std::min(ms, kMaxDelayMs)));
}

/// Work of the tasks that are placed on workers.
struct PlacedWork {
  /// Expected core-milliseconds from start to end, by job.
  std::map<const TrackedJob*, double> by_job;
  double total = 0;
  /// The part of `total` that is still to be done.
  double remaining = 0;
};

}  // namespace

std::optional<JobDemand> DemandOf(const JobSpec& spec, Duration mean_run_time) {
  if (spec.is_timed() || spec.steps.front().is_long_running)
    return std::nullopt;
  TrackedJob job;
  // Not owned: the job ends before the specification.
  job.spec = std::shared_ptr<const JobSpec>(std::shared_ptr<void>(), &spec);
  JobDemand demand;
  demand.critical_path =
      ComputeRankInputs(job, mean_run_time).total_critical_path;
  double core_ms = 0;
  for (const StepSpec& it : spec.steps)
    core_ms += it.tasks * CoreMs(it, ExpectedTime(it, mean_run_time));
  demand.core_ms = Rounded(core_ms);
  return demand;
}

std::size_t PoolBacklog::SizeClassOf(std::uint64_t core_ms) {
  std::size_t size_class = 0;
  for (std::uint64_t bound = kSmallestClassCoreMs;
       core_ms > bound && size_class + 1 < kSizeClasses; bound *= kClassFactor)
    ++size_class;
  return size_class;
}

Duration PoolBacklog::MeanRunTimeOf(const QueueId& queue) const {
  const auto it = run_times.find(queue);
  return it == run_times.end() ? Duration(0) : it->second;
}

Duration PoolBacklog::DelayOf(std::uint32_t priority,
                              std::uint64_t core_ms) const {
  auto ahead = static_cast<double>(urgent_core_ms);
  for (const Level& it : levels) {
    if (it.priority > priority) break;
    if (it.priority < priority) {
      ahead += static_cast<double>(Sum(it.core_ms));
      continue;
    }
    const std::size_t own = SizeClassOf(core_ms);
    for (std::size_t i = 0; i < own; ++i)
      ahead += static_cast<double>(it.core_ms[i]);
    // The jobs of the newcomer's own class are taken as evenly spread over its
    // sizes; the last class has no upper bound, so its first half counts.
    double share = 0.5;
    if (own + 1 < kSizeClasses) {
      double low = 0;
      auto high = static_cast<double>(kSmallestClassCoreMs);
      for (std::size_t i = 0; i < own; ++i) {
        low = high;
        high *= kClassFactor;
      }
      share = (static_cast<double>(core_ms) - low) / (high - low);
    }
    ahead += share * static_cast<double>(it.core_ms[own]);
  }
  if (ahead < 1) return Duration(0);
  return TimeOf(ahead + static_cast<double>(running_core_ms), cpu_millis);
}

Duration PoolBacklog::DrainTime() const {
  auto ahead = static_cast<double>(urgent_core_ms);
  for (const Level& it : levels) ahead += static_cast<double>(Sum(it.core_ms));
  if (ahead < 1) return Duration(0);
  return TimeOf(ahead + static_cast<double>(running_core_ms), cpu_millis);
}

Duration PoolBacklog::TimeFor(std::uint64_t core_ms) const {
  return TimeOf(static_cast<double>(core_ms), cpu_millis);
}

std::optional<PoolBacklog> Dispatcher::Impl::backlog(Instant now) {
  if (backlog_at_ && now - *backlog_at_ < kBacklogInterval) return backlog_;
  backlog_at_ = now;
  backlog_ = ComputeBacklog(now);
  return backlog_;
}

std::uint64_t Dispatcher::Impl::ReadyCpu(TrackedJob& job) const {
  std::uint64_t cpu = 0;
  for (const ReadyStep& it : ReadySteps(job)) {
    const StepSpec& spec = job.spec->steps[it.step];
    const StepState& step = job.occurrences.at(it.occurrence).steps[it.step];
    if (workspaces_.MayPlace(job.workspace, spec.size, 1))
      cpu += spec.size.cpu_millis * std::uint64_t{step.waiting()};
  }
  return cpu;
}

std::optional<PoolBacklog> Dispatcher::Impl::ComputeBacklog(Instant now) {
  if (!awaited_workers_.empty()) return std::nullopt;
  std::uint64_t usable = 0;
  std::uint64_t used = 0;
  std::uint64_t long_running = 0;
  PlacedWork placed;
  for (auto& [id, worker] : workers_.all()) {
    // A listed worker that has not reported yet soon will: without it, the
    // backlog of a pool that starts would be far too large.
    const bool is_usable = worker.is_listed && !worker.is_unresponsive &&
                           !worker.is_closed && !worker.spec.is_draining;
    if (is_usable) {
      usable += worker.spec.capacity.cpu_millis;
      used += worker.used.cpu_millis;
    }
    for (const TaskKey& key : worker.tasks) {
      TrackedJob* const job = FindJob(key.job);
      const TaskState* const task =
          job == nullptr ? nullptr : FindTask(*job, key);
      if (task == nullptr) continue;
      const StepSpec& step = job->spec->steps[key.step];
      if (step.fills_idle_cores) continue;
      if (step.is_long_running) {
        if (is_usable) long_running += step.size.cpu_millis;
        continue;
      }
      const Duration expected =
          ExpectedTime(step, run_times_.MeanOf(job->queue));
      // Unknown for gangs and adopted runs, which count as half done.
      const Duration elapsed =
          task->started_at == Instant{} ? expected / 2 : now - task->started_at;
      placed.by_job[job] += CoreMs(step, expected);
      placed.total += CoreMs(step, expected);
      placed.remaining +=
          CoreMs(step, std::max(Duration(0), expected - elapsed));
    }
  }
  if (usable <= long_running) return std::nullopt;
  PoolBacklog backlog;
  backlog.cpu_millis = usable - long_running;
  // When a newcomer starts, tasks that run then are half done on average.
  backlog.running_core_ms = Rounded(placed.remaining - placed.total / 2);
  std::map<std::uint32_t, PoolBacklog::SizeClasses> levels;
  double urgent = 0;
  std::uint64_t ready_cpu = 0;
  for (const auto& [id, job] : unfinished_jobs_) {
    if (const Duration mean = run_times_.MeanOf(job->queue); mean > Duration(0))
      backlog.run_times[job->queue] = mean;
    const StepSpec& first = job->spec->steps.front();
    if (first.is_long_running || first.fills_idle_cores) continue;
    // Such a job starts after a newcomer of another workspace.
    if (workspaces_.Excess(job->workspace) > 0) continue;
    const std::uint64_t ready = ReadyCpu(*job);
    ready_cpu += ready;
    const bool is_running = job->placed != 0;
    if (ready == 0 && !is_running) continue;
    const RankInputs& inputs = CachedRankInputs(*job);
    const JobRank rank = RankJob(*job, inputs, RankingPolicyOf(*job), now);
    const auto it = placed.by_job.find(job);
    const double waiting = static_cast<double>(inputs.remaining_core_ms) -
                           (it == placed.by_job.end() ? 0 : it->second);
    if (rank.job_class == JobRank::Class::kUrgent) {
      urgent += std::max(0.0, waiting);
    } else if (rank.job_class == JobRank::Class::kInTime) {
      const std::size_t size_class = PoolBacklog::SizeClassOf(
          static_cast<std::uint64_t>(inputs.remaining_core_ms));
      levels[rank.priority][size_class] += Rounded(waiting);
    }
  }
  // Work that waits for something else than cores, such as the steps before
  // it, delays no newcomer.
  if (ready_cpu <= SaturatingSubtract(usable, used)) return backlog;
  backlog.urgent_core_ms = Rounded(urgent);
  for (const auto& [priority, core_ms] : levels) {
    if (backlog.levels.size() == kMaxBacklogLevels) break;
    backlog.levels.push_back({priority, core_ms});
  }
  return backlog;
}

}  // namespace pomelomill
