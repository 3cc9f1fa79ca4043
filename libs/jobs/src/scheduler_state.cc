#include <algorithm>
#include <cmath>
#include <utility>

#include "pomelomill/jobs/jobs_error.h"
#include "scheduler_core.h"

namespace pomelomill {

JobState SchedulerCore::Snapshot() const {
  JobState state;
  state.epoch = epoch_;
  std::map<std::uint64_t, const JobEntry*> in_order;
  for (const auto& [id, job] : jobs_) {
    // A cancelled job needs no successor: its tasks are unknown to the next
    // holder and therefore stopped.
    if (!job->is_cancelled) in_order.emplace(job->sequence, job.get());
  }
  for (const auto& [sequence, job] : in_order) {
    JobState::Job out{job->id,
                      job->job_class.id,
                      static_cast<std::uint32_t>(job->tasks.size()),
                      evidence_.Failures(job->id),
                      {},
                      {}};
    for (std::uint32_t i = 0; i < job->tasks.size(); ++i) {
      const TaskEntry& task = job->tasks[i];
      if (task.phase == TaskPhase::kDone) {
        out.finished.push_back(i);
      } else if (task.progress > 0) {
        out.progress.emplace(i, task.progress);
      }
    }
    state.jobs.push_back(std::move(out));
  }
  for (const WorkerIndex w : evidence_.Quarantined())
    state.quarantined.push_back(ledger_.worker(w).id);
  for (const auto& [id, estimate] : sizes_.classes()) {
    if (estimate.cores.samples() + estimate.memory_mb.samples() +
            estimate.run_s.samples() >
        0)
      state.learned.push_back({id, sizes_.Size(id), sizes_.RunTime(id)});
  }
  return state;
}

Status SchedulerCore::Restore(
    const JobState& state,
    const std::map<std::string, JobClassDeclaration>& classes, Instant now) {
  for (const JobState::Job& it : state.jobs) {
    if (!classes.contains(it.job_class))
      return Unexpected(JobsError::kUnknownClass);
  }
  // A start of the previous holder may still be on its way, and lists may not
  // yet show a task that has arrived.
  starts_allowed_at_ =
      now + settings_.lease.max_delivery + settings_.max_report_lag;
  const Instant held_until =
      now + settings_.lease.max_delivery + LongestLease(settings_.lease);
  for (const auto& [id, job_class] : classes) sizes_.Declare(job_class);
  for (const JobState::LearnedClass& it : state.learned)
    sizes_.Restore(it.job_class, it.size, it.run_time);
  for (const JobState::Job& it : state.jobs) {
    JobEntry& job = AddJob(it.id, classes.at(it.job_class), it.tasks, now);
    evidence_.RestoreFailures(it.id, it.failures);
    for (TaskEntry& task : job.tasks) task.held_until = held_until;
    for (const auto& [i, progress] : it.progress) {
      if (i < job.tasks.size()) job.tasks[i].progress = progress;
    }
    for (const std::uint32_t i : it.finished) {
      if (i >= job.tasks.size() || job.tasks[i].phase == TaskPhase::kDone)
        continue;
      job.tasks[i].phase = TaskPhase::kDone;
      ++job.done;
      std::erase(job.waiting, i);
    }
    if (job.waiting.empty()) Dequeue(job);
    DropJobIfEnded(&job);
  }
  quarantine_to_restore_ = state.quarantined;
  next_ready_ = std::min(next_ready_, held_until);
  return {};
}

}  // namespace pomelomill
