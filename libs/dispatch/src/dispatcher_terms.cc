// Terms of jobs: the policy by which a job is ranked and its failed runs are
// judged.

#include <cstdint>
#include <limits>
#include <set>
#include <utility>
#include <vector>

#include "dispatcher_impl.h"

namespace pomelomill {

void Dispatcher::Impl::SetQueue(const QueueId& queue, const QueueTerms& terms) {
  const auto [it, is_new] = queues_.try_emplace(queue, terms);
  if (!is_new) {
    if (terms.revision < it->second.revision) return;
    const QueueTerms before = std::exchange(it->second, terms);
    if (before.policy.max_attempts == terms.policy.max_attempts) return;
  }
  must_judge_failed_runs_ = true;
}

const QueueTerms* Dispatcher::Impl::FindTerms(const TrackedJob& job) const {
  const auto it = queues_.find(job.queue);
  const bool is_known = it != queues_.end();
  // The entry that accepted the job may have had a newer configuration.
  if (is_known && (!job.terms || job.terms->revision <= it->second.revision))
    return &it->second;
  return job.terms ? &*job.terms : nullptr;
}

const QueuePolicy& Dispatcher::Impl::RankingPolicyOf(
    const TrackedJob& job) const {
  static const QueuePolicy lowest{
      .priority = std::numeric_limits<std::uint32_t>::max()};
  const QueueTerms* const terms = FindTerms(job);
  return terms == nullptr ? lowest : terms->policy;
}

bool Dispatcher::Impl::AwaitsTerms(const TrackedJob& job, const StepSpec& step,
                                   const TaskState& task) const {
  return !task.failed_runs.empty() && !step.is_long_running &&
         FindTerms(job) == nullptr;
}

std::size_t Dispatcher::Impl::CountFailedRuns(const TrackedJob& job,
                                              const TaskKey& key) const {
  const StepSpec& spec = job.spec->steps[key.step];
  const StepState& step = job.occurrences.at(key.occurrence).steps[key.step];
  if (spec.is_long_running) return 0;
  if (!spec.is_gang) return step.tasks[key.index].failed_runs.size();
  std::set<std::uint32_t> runs;
  for (const TaskState& it : step.tasks)
    runs.insert(it.failed_runs.begin(), it.failed_runs.end());
  return runs.size();
}

void Dispatcher::Impl::JudgeFailedRuns(TrackedJob& job, const TaskKey& key,
                                       const WorkerId& worker, Instant now,
                                       WallMs wall_ms) {
  const QueueTerms* const terms = FindTerms(job);
  if (terms == nullptr) return;
  const std::size_t failed = CountFailedRuns(job, key);
  if (failed < terms->policy.max_attempts) return;
  RecordEvent("job-failed", key, FindTask(job, key)->run, worker,
              std::to_string(failed) + " failed runs of " +
                  std::to_string(terms->policy.max_attempts) + " in revision " +
                  std::to_string(terms->revision.value()) +
                  (job.terms && terms == &*job.terms ? ", as accepted" : ""));
  EndJob(job, JobPhase::kFailed, now, wall_ms);
}

void Dispatcher::Impl::JudgeAllFailedRuns(Instant now, WallMs wall_ms,
                                          DispatchPlan& plan) {
  std::vector<TaskKey> failed;
  for (const auto& [id, job] : unfinished_jobs_) {
    for (const auto& [number, occurrence] : job->occurrences) {
      for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        const auto& tasks = occurrence.steps[s].tasks;
        plan.examined += tasks.size();
        for (std::uint32_t i = 0; i < tasks.size(); ++i) {
          if (!tasks[i].failed_runs.empty() &&
              tasks[i].phase != RunPhase::kDone)
            failed.push_back({id, number, s, i});
        }
      }
    }
  }
  for (const TaskKey& it : failed) {
    TrackedJob& job = *FindJob(it.job);
    if (!job.is_final()) JudgeFailedRuns(job, it, {}, now, wall_ms);
  }
}

}  // namespace pomelomill
