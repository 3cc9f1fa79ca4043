#include <algorithm>
#include <utility>

#include "dispatcher_impl.h"

namespace pomelomill {

void Dispatcher::Impl::ExpectWorkers(const std::vector<WorkerId>& workers) {
  for (const WorkerId& it : workers) {
    const PoolWorker* const worker = workers_.Find(it);
    if (worker == nullptr || !worker->has_reported) unsettled_.insert(it);
  }
}

void Dispatcher::Impl::Settle(const WorkerId& id, Instant now) {
  if (unsettled_.erase(id) != 0 && unsettled_.empty()) settled_at_ = now;
}

void Dispatcher::Impl::ListWorkers(const std::vector<WorkerSpec>& workers) {
  for (auto& [id, worker] : workers_.all()) worker.is_listed = false;
  for (const WorkerSpec& it : workers) {
    PoolWorker& worker = workers_.Get(it.id);
    worker.spec = it;
    worker.is_listed = true;
    worker.is_closed = closed_.contains(it.id);
  }
}

void Dispatcher::Impl::CloseWorker(const WorkerId& id, Instant now) {
  if (!closed_.try_emplace(id, now).second) return;
  Note("worker-closed", {}, 0, id);
  if (PoolWorker* const worker = workers_.Find(id); worker != nullptr)
    worker->is_closed = true;
}

void Dispatcher::Impl::ReopenWorker(const WorkerId& id) {
  if (closed_.erase(id) == 0) return;
  Note("worker-reopened", {}, 0, id);
  if (PoolWorker* const worker = workers_.Find(id); worker != nullptr)
    worker->is_closed = false;
}

void Dispatcher::Impl::OnReport(const WorkerId& id, const WorkerReport& report,
                                Instant now, WallMs wall_ms) {
  PoolWorker& worker = workers_.Get(id);
  worker.spec.id = id;
  if (worker.has_answered && worker.born_ms != report.born_ms) {
    Note("worker-reborn", {}, 0, id, std::to_string(report.born_ms));
    BeginLife(worker, report);
  }
  // Answers on different connections may overtake each other.
  if (worker.has_answered && report.clock_ms < worker.clock_ms) return;
  const bool is_first = !worker.has_reported && !report.may_lack_ends;
  worker.has_answered = true;
  worker.has_reported |= is_first;
  worker.is_silent = false;
  worker.born_ms = report.born_ms;
  worker.clock_ms = report.clock_ms;
  worker.reported_at = now;
  for (const EndedTask& it : report.ended) {
    if (it.number <= worker.last_end) continue;
    worker.last_end = it.number;
    OnEnd(id, worker, it, now, wall_ms);
  }
  worker.strangers.clear();
  for (const RunningTask& it : report.running)
    OnRunning(id, worker, it, report.clock_ms);
  if (!report.may_lack_ends) {
    CheckMissing(id, worker, report);
    Settle(id, now);
  }
  if (is_first) {
    Note("worker-reported", {}, 0, id,
         std::to_string(report.running.size()) + " running, " +
             std::to_string(report.ended.size()) + " ended");
  }
}

void Dispatcher::Impl::OnEnd(const WorkerId& id, PoolWorker& worker,
                             const EndedTask& end, Instant now,
                             WallMs wall_ms) {
  ActiveJob* const job = FindJob(end.key.job);
  TaskState* const task = job == nullptr ? nullptr : FindTask(*job, end.key);
  Note("task-end", end.key, end.run, id,
       std::string(ToText(end.outcome)) + " #" + std::to_string(end.number) +
           (task == nullptr ? " not tracked" : ""));
  if (task != nullptr && task->phase != RunPhase::kDone) {
    const bool is_latest = end.run >= task->run;
    const bool is_current = task->is_placed() && task->worker == id;
    if (is_latest && (is_current || !task->is_placed())) {
      task->run = end.run;
      if (!end.saved.empty()) task->saved = end.saved;
      if (is_current) Unplace(*job, end.key, *task);
      if (end.outcome == RunOutcome::kDone) {
        if (is_current && task->started_at != Instant{}) {
          run_times_.Add(job->queue, now - task->started_at);
          if (time_)
            time_(DispatchTime::kRun, job->queue, now - task->started_at);
        }
        worker.failures_in_row = 0;
        worker.failed_jobs.clear();
        OnDone(*job, end.key, *task, now, wall_ms);
      } else if (!end.saved.empty()) {
        MarkDirty(*job);
      }
    }
    // Reports of several workers come in any order; each failed run counts.
    if (end.outcome == RunOutcome::kFailed &&
        task->failed_runs.insert(end.run).second)
      OnFailed(id, worker, *job, end.key, *task, now, wall_ms);
    DropTasksOfEnded(*job);
  }
  // An end that changed nothing waits for no write, but for those before it.
  const bool is_stored = dirty_.empty() && last_batch_ == stored_batch_;
  if (is_stored && worker.unstored.empty()) {
    worker.ack_limit = end.number;
  } else {
    worker.unstored.emplace_back(
        end.number, dirty_.empty() ? last_batch_ : last_batch_ + 1);
  }
}

void Dispatcher::Impl::OnDone(ActiveJob& job, const TaskKey& key,
                              TaskState& task, Instant now, WallMs wall_ms) {
  if (job.spec->steps[key.step].is_long_running || job.is_final()) return;
  MarkDirty(job);
  OccurrenceState& occurrence = job.occurrences.at(key.occurrence);
  StepState& step = occurrence.steps[key.step];
  const auto finish = [&](TaskState& it, std::uint32_t index) {
    if (it.phase == RunPhase::kDone) return;
    Unplace(job, {key.job, key.occurrence, key.step, index}, it);
    it.phase = RunPhase::kDone;
    ++step.done;
  };
  if (job.spec->steps[key.step].is_gang) {
    // The end of one member stands for all of them.
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
      finish(step.tasks[i], i);
  } else {
    finish(task, key.index);
  }
  if (!step.is_done()) return;
  if (++occurrence.done_steps < occurrence.steps.size()) return;
  const auto number = key.occurrence;
  job.restored = ProgressOf(job).tasks;
  job.occurrences.erase(number);
  if (++job.done_occurrences == job.spec->runs())
    EndJob(job, JobPhase::kComplete, now, wall_ms);
}

void Dispatcher::Impl::OnFailed(const WorkerId& id, PoolWorker& worker,
                                ActiveJob& job, const TaskKey& key,
                                TaskState& task, Instant now, WallMs wall_ms) {
  ++worker.failures_in_row;
  worker.failed_jobs.insert(key.job);
  if (worker.failures_in_row >= options_.suspect_failures &&
      worker.failed_jobs.size() >= 2) {
    Note("worker-suspended", key, task.run, id,
         std::to_string(worker.failures_in_row) + " failures in a row");
    worker.blocked_until = now + options_.suspect_for;
    worker.failures_in_row = 0;
    worker.failed_jobs.clear();
  }
  task.failed_on = id;
  task.retry_at = now + options_.retry_after;
  task.avoid_until = now + options_.avoid_for;
  if (job.is_final()) return;
  const StepSpec& step = job.spec->steps[key.step];
  if (step.is_long_running) return;
  std::set<std::uint32_t> failed = task.failed_runs;
  if (step.is_gang) {
    for (const TaskState& it :
         job.occurrences.at(key.occurrence).steps[key.step].tasks)
      failed.insert(it.failed_runs.begin(), it.failed_runs.end());
  }
  MarkDirty(job);
  if (failed.size() < PolicyOf(job).max_attempts) return;
  Note("job-failed", key, task.run, id,
       std::to_string(failed.size()) + " failed runs");
  EndJob(job, JobPhase::kFailed, now, wall_ms);
}

void Dispatcher::Impl::OnRunning(const WorkerId& id, PoolWorker& worker,
                                 const RunningTask& running,
                                 std::int64_t clock_ms) {
  ActiveJob* const job = FindJob(running.key.job);
  TaskState* const task =
      job == nullptr ? nullptr : FindTask(*job, running.key);
  if (task == nullptr) {
    worker.strangers.emplace(running.key, running.run);
    Note("task-stray", running.key, running.run, id, "not tracked");
    stray_stops_.push_back({id, running.key, running.run});
    return;
  }
  if (task->is_placed() && task->worker == id && task->run == running.run) {
    if (task->phase == RunPhase::kStarting) task->phase = RunPhase::kRunning;
    if (task->phase == RunPhase::kRunning) task->known_clock_ms = clock_ms;
    task->percent = running.percent;
    if (!running.saved.empty()) task->saved = running.saved;
    return;
  }
  const bool may_adopt = task->phase == RunPhase::kWaiting &&
                         running.run > task->run && !job->is_final();
  if (may_adopt) {
    Note("task-adopted", running.key, running.run, id);
    Place(*job, running.key, *task, worker, running.run, RunPhase::kRunning);
    task->known_clock_ms = clock_ms;
    task->percent = running.percent;
    if (!running.saved.empty()) task->saved = running.saved;
    return;
  }
  Note("task-stray", running.key, running.run, id,
       "tracked run " + std::to_string(task->run));
  worker.strangers.emplace(running.key, running.run);
  stray_stops_.push_back({id, running.key, running.run});
}

void Dispatcher::Impl::CheckMissing(const WorkerId& id, PoolWorker& worker,
                                    const WorkerReport& report) {
  if (worker.tasks.empty()) return;
  std::set<TaskKey> listed;
  for (const RunningTask& it : report.running) listed.insert(it.key);
  // Any end of the task counts, also that of an earlier run.
  for (const EndedTask& it : report.ended) listed.insert(it.key);
  const std::set<TaskKey> tasks = worker.tasks;
  for (const TaskKey& key : tasks) {
    if (listed.contains(key)) continue;
    ActiveJob* const job = FindJob(key.job);
    TaskState* const task = job == nullptr ? nullptr : FindTask(*job, key);
    if (task == nullptr) continue;
    if (task->phase == RunPhase::kStarting && task->is_unanswered)
      RequestStop(key, *task, "start without an answer");
    const bool is_proven =
        task->phase == RunPhase::kRunning ||
        (task->phase == RunPhase::kStopping && task->is_stop_accepted);
    if (!is_proven || task->known_clock_ms >= report.clock_ms) continue;
    Note("task-missing", key, task->run, id,
         task->phase == RunPhase::kStopping ? "stopped" : "lost");
    Unplace(*job, key, *task);
    DropTasksOfEnded(*job);
  }
}

void Dispatcher::Impl::OnStart(const WorkerId& worker, const TaskKey& key,
                               std::uint32_t run, StartOutcome outcome,
                               std::int64_t clock_ms, Instant now) {
  Note("task-start-answer", key, run, worker, ToText(outcome));
  ActiveJob* const job = FindJob(key.job);
  TaskState* const task = job == nullptr ? nullptr : FindTask(*job, key);
  if (task == nullptr || !task->is_placed() || task->run != run ||
      task->worker != worker)
    return;
  if (outcome == StartOutcome::kStarted) {
    task->known_clock_ms = std::max(task->known_clock_ms, clock_ms);
    if (task->phase == RunPhase::kStarting) task->phase = RunPhase::kRunning;
    return;
  }
  if (outcome == StartOutcome::kUnknown || outcome == StartOutcome::kOldRun) {
    // The order may still be carried out, or an earlier copy of it was: only a
    // stop of the run, or the end of the worker's lease, makes sure that it is
    // not running.
    if (task->phase != RunPhase::kStarting) return;
    // The next report tells whether a long-running task is at work after all;
    // a stop would take it away from its step.
    task->is_unanswered = outcome == StartOutcome::kUnknown &&
                          job->spec->steps[key.step].is_long_running;
    if (!task->is_unanswered)
      RequestStop(key, *task, "start without an answer");
    return;
  }
  if (outcome == StartOutcome::kNoRoom || outcome == StartOutcome::kUnhealthy)
    workers_.Get(worker).blocked_until = now + options_.refusal_pause;
  if (task->phase == RunPhase::kStopping && !task->is_stop_accepted) {
    // Nothing was started, but a repeated order may be on its way.
    return;
  }
  Unplace(*job, key, *task);
  task->retry_at = now + options_.retry_after;
  DropTasksOfEnded(*job);
}

void Dispatcher::Impl::OnStop(const WorkerId& worker, const TaskKey& key,
                              std::uint32_t run,
                              std::optional<std::int64_t> clock_ms,
                              Instant now) {
  Note("task-stop-answer", key, run, worker,
       clock_ms ? "accepted" : "no answer");
  ActiveJob* const job = FindJob(key.job);
  TaskState* const task = job == nullptr ? nullptr : FindTask(*job, key);
  if (task == nullptr || task->phase != RunPhase::kStopping ||
      task->run != run || task->worker != worker)
    return;
  if (!clock_ms) {
    task->stop_again_at = now + options_.stop_again_after;
    return;
  }
  task->is_stop_accepted = true;
  task->known_clock_ms = *clock_ms;
}

void Dispatcher::Impl::BeginLife(PoolWorker& worker,
                                 const WorkerReport& report) {
  std::map<TaskKey, std::uint32_t> listed;
  for (const RunningTask& it : report.running) listed[it.key] = it.run;
  for (const TaskKey& key : worker.tasks) {
    ActiveJob* const job = FindJob(key.job);
    TaskState* const task = job == nullptr ? nullptr : FindTask(*job, key);
    if (task == nullptr || task->phase == RunPhase::kStarting) continue;
    const auto it = listed.find(key);
    if (it != listed.end() && it->second == task->run) continue;
    // The order may have reached the new life after it wrote this report: only
    // a stop there makes sure that the run is over.
    task->phase = RunPhase::kRunning;
    RequestStop(key, *task, "worker began a new life");
  }
  worker.clock_ms = 0;
  worker.last_end = 0;
  worker.ack_limit = 0;
  worker.unstored.clear();
}

void Dispatcher::Impl::ForgetLife(const WorkerId& id, PoolWorker& worker,
                                  Instant now) {
  const std::set<TaskKey> tasks = worker.tasks;
  for (const TaskKey& key : tasks) {
    ActiveJob* const job = FindJob(key.job);
    TaskState* const task = job == nullptr ? nullptr : FindTask(*job, key);
    if (task == nullptr) continue;
    Note("task-lost", key, task->run, id, "worker gone");
    Unplace(*job, key, *task);
    task->retry_at = now;
    DropTasksOfEnded(*job);
  }
  const WorkerSpec spec = worker.spec;
  const bool is_listed = worker.is_listed;
  worker = PoolWorker{};
  worker.spec = spec;
  worker.is_listed = is_listed;
}

void Dispatcher::Impl::OnWorkerSilent(const WorkerId& id) {
  PoolWorker* const worker = workers_.Find(id);
  if (worker != nullptr) worker->is_silent = true;
}

void Dispatcher::Impl::OnWorkerGone(const WorkerId& id, Instant now) {
  Settle(id, now);
  PoolWorker* const worker = workers_.Find(id);
  if (worker == nullptr) return;
  Note("worker-gone", {}, 0, id, std::to_string(worker->tasks.size()));
  ForgetLife(id, *worker, now);
  if (!worker->is_listed) workers_.all().erase(id);
}

}  // namespace pomelomill
