#include <algorithm>
#include <utility>

#include "dispatcher_impl.h"

namespace pomelomill {
namespace {

std::size_t TasksThatEnd(const PoolWorker& worker) {
  return worker.tasks.size() - worker.long_running_tasks;
}

std::uint32_t TasksOfStep(const PoolWorker& worker, const TaskKey& key) {
  return static_cast<std::uint32_t>(std::count_if(
      worker.tasks.begin(), worker.tasks.end(), [&](const TaskKey& it) {
        return it.job == key.job && it.occurrence == key.occurrence &&
               it.step == key.step;
      }));
}

}  // namespace

bool Dispatcher::Impl::MustRunAlone(const StepSpec& step,
                                    const TaskState& task) const {
  // The members of a gang make progress only while all of them run.
  if (step.is_gang) return false;
  const std::size_t crashes = task.crashed_runs.size();
  return crashes >= options_.crashes_until_failure ||
         crashes - task.excused_crashes >= options_.crashes_until_alone;
}

bool Dispatcher::Impl::MayHaveCausedCrash(const StepSpec& step,
                                          const TaskState& task,
                                          Instant last_report,
                                          Instant now) const {
  if (now - last_report > options_.max_report_age_at_crash &&
      task.started_at < last_report)
    return false;
  if (!step.is_long_running) return true;
  return task.started_at != Instant{} &&
         now - task.started_at <= options_.long_running_probation;
}

void Dispatcher::Impl::CountCrash(const PoolWorker& worker,
                                  const std::vector<TaskKey>& keys, Instant now,
                                  WallMs wall_ms) {
  std::vector<LostRun> lost;
  for (const TaskKey& key : keys) {
    TrackedJob* const job = FindJob(key.job);
    TaskState* const task = job == nullptr ? nullptr : FindTask(*job, key);
    if (task == nullptr || job->is_final() ||
        !MayHaveCausedCrash(job->spec->steps[key.step], *task,
                            worker.reported_at, now) ||
        !task->crashed_runs.insert(task->run).second)
      continue;
    lost.push_back({key, task->run});
    MarkDirty(*job);
  }
  for (const LostRun& it : recent_crashes_.Add(worker.spec.rack, lost, now)) {
    TrackedJob* const job = FindJob(it.key.job);
    TaskState* const task = job == nullptr ? nullptr : FindTask(*job, it.key);
    if (task != nullptr && task->crashed_runs.contains(it.run))
      ++task->excused_crashes;
  }
  for (const LostRun& it : lost)
    JudgeCrashes(worker.spec.id, it.key, now, wall_ms);
}

void Dispatcher::Impl::CountUnfinishedRuns(Instant now, WallMs wall_ms) {
  for (const TaskKey& key : std::exchange(unfinished_runs_, {})) {
    TrackedJob* const job = FindJob(key.job);
    TaskState* const task = job == nullptr ? nullptr : FindTask(*job, key);
    if (task == nullptr || job->is_final() || task->unfinished_run == 0)
      continue;
    task->run = std::max(task->run, task->unfinished_run);
    task->crashed_runs.insert(std::exchange(task->unfinished_run, 0));
    RecordEvent("task-lost", key, task->run, {}, "not listed by any worker");
    MarkDirty(*job);
    JudgeCrashes({}, key, now, wall_ms);
  }
}

void Dispatcher::Impl::JudgeCrashes(const WorkerId& id, const TaskKey& key,
                                    Instant now, WallMs wall_ms) {
  TrackedJob* const job = FindJob(key.job);
  TaskState* const task = job == nullptr ? nullptr : FindTask(*job, key);
  if (task == nullptr || job->is_final()) return;
  const StepSpec& step = job->spec->steps[key.step];
  std::set<std::uint32_t> crashes = task->crashed_runs;
  if (step.is_gang) {
    for (const TaskState& it :
         job->occurrences.at(key.occurrence).steps[key.step].tasks)
      crashes.insert(it.crashed_runs.begin(), it.crashed_runs.end());
  }
  const bool is_proven = crashes.size() - task->excused_crashes >=
                             options_.crashes_until_failure &&
                         (task->runs_alone || step.is_gang);
  if (is_proven || crashes.size() >= options_.max_crashes) {
    RecordEvent("job-failed", key, task->run, id,
                std::to_string(crashes.size()) +
                    " workers crashed under the task" +
                    (task->runs_alone ? ", the last while it ran alone" : ""));
    return EndJob(*job, JobPhase::kFailed, now, wall_ms);
  }
  if (MustRunAlone(step, *task)) tasks_to_run_alone_.insert(key);
}

void Dispatcher::Impl::UpdateReservations(Instant now) {
  std::erase_if(tasks_to_run_alone_, [&](const TaskKey& key) {
    TrackedJob* const job = FindJob(key.job);
    TaskState* const task = job == nullptr ? nullptr : FindTask(*job, key);
    if (task == nullptr || job->is_final() || task->phase == RunPhase::kDone)
      return true;
    const StepSpec& step = job->spec->steps[key.step];
    const bool has_passed_probation =
        step.is_long_running && task->phase == RunPhase::kRunning &&
        task->started_at != Instant{} &&
        now - task->started_at > options_.long_running_probation;
    if (!has_passed_probation) return !MustRunAlone(step, *task);
    RecordEvent("task-cleared", key, task->run, task->worker,
                std::to_string(task->crashed_runs.size()) + " crashes");
    task->crashed_runs.clear();
    task->excused_crashes = 0;
    MarkDirty(*job);
    return true;
  });
  for (auto& [id, worker] : workers_.all()) {
    if (!worker.reserved_for) continue;
    const bool is_needed = tasks_to_run_alone_.contains(*worker.reserved_for) &&
                           (worker.CanRunTasks(now) ||
                            worker.tasks.contains(*worker.reserved_for));
    if (!is_needed) worker.reserved_for.reset();
  }
}

PoolWorker* Dispatcher::Impl::FindReservedWorker(const StepSpec& step,
                                                 const TaskKey& key,
                                                 Instant now) {
  const TaskSize size = CountedSize(step);
  std::size_t reserved = 0;
  std::size_t usable = 0;
  PoolWorker* best = nullptr;
  std::pair<std::size_t, std::size_t> best_rank;
  for (auto& [id, worker] : workers_.all()) {
    if (!worker.CanRunTasks(now)) continue;
    ++usable;
    const std::size_t others = TasksThatEnd(worker);
    // Long-running tasks leave no room, and do not end by themselves.
    const bool is_full = others == 0 && !worker.Fits(size);
    if (worker.reserved_for == key) {
      if (!is_full) return others == 0 ? &worker : nullptr;
      worker.reserved_for.reset();
      continue;
    }
    reserved += worker.reserved_for ? 1 : 0;
    const bool is_suitable =
        !worker.reserved_for && !is_full && worker.CanEverFit(size) &&
        (step.required_label.empty() || worker.HasLabel(step.required_label)) &&
        (step.max_per_worker == 0 ||
         TasksOfStep(worker, key) < step.max_per_worker);
    if (!is_suitable) continue;
    const std::pair rank{std::size_t{worker.long_running_tasks}, others};
    if (best != nullptr && best_rank <= rank) continue;
    best = &worker;
    best_rank = rank;
  }
  const std::size_t limit =
      std::max<std::size_t>(1, usable / options_.reserved_worker_divisor);
  if (best == nullptr || reserved >= limit) return nullptr;
  best->reserved_for = key;
  RecordEvent("worker-reserved", key, 0, best->spec.id,
              std::to_string(TasksThatEnd(*best)) + " tasks to end first");
  return TasksThatEnd(*best) == 0 ? best : nullptr;
}

bool Dispatcher::Impl::PlanTasksToRunAlone(Instant now, DispatchPlan& plan) {
  UpdateReservations(now);
  for (const TaskKey& key : tasks_to_run_alone_) {
    plan.examined += workers_.all().size();
    TrackedJob& job = *FindJob(key.job);
    if (key.occurrence >= job.due_occurrences) continue;
    TaskState& task = *FindTask(job, key);
    const StepSpec& step = job.spec->steps[key.step];
    if (!MayStart(job, task, now, plan) || AwaitsTerms(job, step, task) ||
        !workspaces_.MayPlace(job.workspace, step.size, 1))
      continue;
    PoolWorker* const worker = FindReservedWorker(step, key, now);
    if (worker == nullptr) continue;
    if (!IsWithinStartLimit(1)) return false;
    const std::uint32_t run = std::max(next_run_, task.run + 1);
    Start(job, key, task, *worker, run, now, plan);
    task.runs_alone = true;
  }
  return true;
}

}  // namespace pomelomill
