#include <algorithm>
#include <utility>

#include "dispatcher_impl.h"

namespace pomelomill {

void Dispatcher::Impl::AwaitWorkerReports(
    const std::vector<WorkerId>& workers) {
  for (const WorkerId& it : workers) {
    const PoolWorker* const worker = workers_.Find(it);
    if (worker == nullptr || !worker->has_reported_fully)
      awaited_workers_.insert(it);
  }
}

void Dispatcher::Impl::StopAwaiting(const WorkerId& id, Instant now) {
  if (awaited_workers_.erase(id) != 0 && awaited_workers_.empty())
    takeover_completed_at_ = now;
}

void Dispatcher::Impl::SetListedWorkers(
    const std::vector<WorkerSpec>& workers) {
  for (auto& [id, worker] : workers_.all()) worker.is_listed = false;
  for (const WorkerSpec& it : workers) {
    PoolWorker& worker = workers_.GetOrAdd(it.id);
    if (!worker.spec.id.empty() && worker.spec.capacity != it.capacity)
      RecordCapacityChange(worker, it.capacity);
    worker.spec = it;
    worker.is_listed = true;
    worker.is_closed = closed_since_.contains(it.id);
  }
}

void Dispatcher::Impl::RecordCapacityChange(const PoolWorker& worker,
                                            const TaskSize& capacity) {
  const TaskSize& former = worker.spec.capacity;
  const auto change = [](std::uint32_t used, std::uint32_t from,
                         std::uint32_t to) {
    return std::to_string(used) + '/' + std::to_string(from) + " to " +
           std::to_string(to);
  };
  RecordEvent(
      "worker-capacity", {}, 0, worker.spec.id,
      "cpu " +
          change(worker.used.cpu_millis, former.cpu_millis,
                 capacity.cpu_millis) +
          " mem " +
          change(worker.used.memory_mb, former.memory_mb, capacity.memory_mb) +
          " gpu " + change(worker.used.gpus, former.gpus, capacity.gpus));
}

void Dispatcher::Impl::CloseWorker(const WorkerId& id, Instant now) {
  if (!closed_since_.try_emplace(id, now).second) return;
  RecordEvent("worker-closed", {}, 0, id);
  if (PoolWorker* const worker = workers_.Find(id); worker != nullptr)
    worker->is_closed = true;
}

void Dispatcher::Impl::ReopenWorker(const WorkerId& id) {
  if (closed_since_.erase(id) == 0) return;
  RecordEvent("worker-reopened", {}, 0, id);
  if (PoolWorker* const worker = workers_.Find(id); worker != nullptr)
    worker->is_closed = false;
}

void Dispatcher::Impl::OnReport(const WorkerId& id, const WorkerReport& report,
                                Instant now, WallMs wall_ms) {
  PoolWorker& worker = workers_.GetOrAdd(id);
  worker.spec.id = id;
  if (worker.has_reported && worker.started_ms != report.started_ms) {
    RecordEvent(
        "worker-reborn", {}, 0, id,
        "incarnation started at " + std::to_string(report.started_ms) + " ms");
    BeginIncarnation(worker, report, now, wall_ms);
  }
  // Reports on different connections may arrive out of order; older reports are
  // ignored.
  if (worker.has_reported && report.clock_ms < worker.clock_ms) return;
  const bool is_first = !worker.has_reported_fully && !report.may_lack_ends;
  worker.has_reported = true;
  worker.has_reported_fully |= is_first;
  worker.is_unresponsive = false;
  worker.started_ms = report.started_ms;
  worker.clock_ms = report.clock_ms;
  worker.reported_at = now;
  for (const EndedTask& it : report.ended) {
    if (it.number <= worker.last_end_number) continue;
    worker.last_end_number = it.number;
    OnEnd(id, worker, it, now, wall_ms);
  }
  worker.untracked_runs.clear();
  for (const RunningTask& it : report.running)
    OnRunning(id, worker, it, report.clock_ms);
  if (!report.may_lack_ends) {
    CheckMissing(id, worker, report);
    StopAwaiting(id, now);
  }
  if (is_first) {
    RecordEvent("worker-reported", {}, 0, id,
                std::to_string(report.running.size()) + " running, " +
                    std::to_string(report.ended.size()) +
                    " ended, incarnation started at " +
                    std::to_string(report.started_ms) + " ms");
  }
}

TaskState* Dispatcher::Impl::FindReportedTask(const TaskKey& key) {
  TrackedJob* const job = FindJob(key.job);
  if (job == nullptr) return nullptr;
  const JobSpec& spec = *job->spec;
  const bool is_valid = key.occurrence < spec.total_occurrences() &&
                        key.step < spec.steps.size() &&
                        key.index < spec.steps[key.step].tasks;
  if (!is_valid) return nullptr;
  MarkBegun(*job);
  if (!job->is_final()) CreateOccurrences(*job, key.occurrence + 1);
  return FindTask(*job, key);
}

void Dispatcher::Impl::OnEnd(const WorkerId& id, PoolWorker& worker,
                             const EndedTask& end, Instant now,
                             WallMs wall_ms) {
  TaskState* const task = FindReportedTask(end.key);
  TrackedJob* const job = FindJob(end.key.job);
  RecordEvent("task-end", end.key, end.run, id,
              std::string(ToText(end.outcome)) + ", end " +
                  std::to_string(end.number) +
                  (task == nullptr ? ", task not tracked" : ""));
  if (task != nullptr && task->phase != RunPhase::kDone) {
    const bool is_latest = end.run >= task->run;
    const bool is_current = task->is_placed() && task->worker == id;
    if (is_latest && (is_current || !task->is_placed())) {
      task->run = end.run;
      task->unfinished_run = 0;
      if (!end.checkpoint.empty()) task->checkpoint = end.checkpoint;
      if (is_current) Unplace(*job, end.key, *task);
      if (end.outcome == RunOutcome::kDone) {
        if (is_current && task->started_at != Instant{}) {
          run_times_.Add(job->queue, now - task->started_at);
          if (timing_hook_)
            timing_hook_(DispatchTiming::kRunTime, job->queue,
                         now - task->started_at);
        }
        worker.consecutive_failures = 0;
        worker.failed_jobs.clear();
        OnDone(*job, end.key, *task, now, wall_ms);
      } else if (!end.checkpoint.empty()) {
        MarkDirty(*job);
      }
    }
    // The reports of several workers arrive in any order; each failed run
    // counts, also when a later run is already known.
    if (end.outcome == RunOutcome::kFailed &&
        task->failed_runs.insert(end.run).second)
      OnFailed(id, worker, *job, end.key, *task, now, wall_ms);
    FreeTasksOfEndedJob(*job);
  }
  // An end that changed no job needs no write of its own and may be
  // acknowledged at once, unless earlier ends or changes are still to be
  // stored.
  const bool is_stored = dirty_.empty() && last_batch_ == stored_batch_;
  if (is_stored && worker.unstored_ends.empty()) {
    worker.ack_limit = end.number;
  } else {
    worker.unstored_ends.emplace_back(
        end.number, dirty_.empty() ? last_batch_ : last_batch_ + 1);
  }
}

void Dispatcher::Impl::OnDone(TrackedJob& job, const TaskKey& key,
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
    // When one member of a gang is done, the whole gang is done.
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
  if (++job.done_occurrences == job.spec->total_occurrences())
    EndJob(job, JobPhase::kComplete, now, wall_ms);
}

void Dispatcher::Impl::OnFailed(const WorkerId& id, PoolWorker& worker,
                                TrackedJob& job, const TaskKey& key,
                                TaskState& task, Instant now, WallMs wall_ms) {
  ++worker.consecutive_failures;
  worker.failed_jobs.insert(key.job);
  if (worker.consecutive_failures >= options_.failures_before_suspension &&
      worker.failed_jobs.size() >= 2) {
    RecordEvent(
        "worker-suspended", key, task.run, id,
        std::to_string(worker.consecutive_failures) + " consecutive failures");
    worker.blocked_until = now + options_.suspension_duration;
    worker.consecutive_failures = 0;
    worker.failed_jobs.clear();
  }
  task.failed_on = id;
  task.retry_at = std::max(task.retry_at, now + options_.retry_backoff);
  task.avoid_until = now + options_.failed_worker_avoidance;
  if (job.is_final()) return;
  if (job.spec->steps[key.step].is_long_running) return;
  MarkDirty(job);
  if (FindTerms(job) == nullptr) {
    RecordEvent("terms-unknown", key, task.run, id,
                "attempts of queue " + job.queue.value() + " unknown");
  }
  JudgeFailedRuns(job, key, id, now, wall_ms);
}

void Dispatcher::Impl::OnRunning(const WorkerId& id, PoolWorker& worker,
                                 const RunningTask& running,
                                 std::int64_t clock_ms) {
  TaskState* const task = FindReportedTask(running.key);
  TrackedJob* const job = FindJob(running.key.job);
  if (task == nullptr) {
    worker.untracked_runs.emplace(running.key, running.run);
    RecordEvent("task-stray", running.key, running.run, id, "task not tracked");
    untracked_stops_.push_back({id, running.key, running.run});
    return;
  }
  if (task->is_placed() && task->worker == id && task->run == running.run) {
    if (task->phase == RunPhase::kStarting) task->phase = RunPhase::kRunning;
    if (task->phase == RunPhase::kRunning) task->confirmed_clock_ms = clock_ms;
    task->speed_percent = running.speed_percent;
    if (!running.checkpoint.empty()) task->checkpoint = running.checkpoint;
    return;
  }
  // A start that was taken for lost with its worker may be carried out by the
  // next incarnation, also under the next owner.
  const bool was_taken_for_lost =
      task->held_for == id || task->crashed_runs.contains(running.run);
  const bool is_latest = running.run > task->run ||
                         (running.run == task->run && was_taken_for_lost);
  const bool may_adopt =
      task->phase == RunPhase::kWaiting && is_latest && !job->is_final();
  if (may_adopt) {
    RecordEvent("task-adopted", running.key, running.run, id);
    Place(*job, running.key, *task, worker, running.run, RunPhase::kRunning);
    task->confirmed_clock_ms = clock_ms;
    task->speed_percent = running.speed_percent;
    if (!running.checkpoint.empty()) task->checkpoint = running.checkpoint;
    return;
  }
  RecordEvent("task-stray", running.key, running.run, id,
              "task tracked as run " + std::to_string(task->run));
  worker.untracked_runs.emplace(running.key, running.run);
  untracked_stops_.push_back({id, running.key, running.run});
}

void Dispatcher::Impl::CheckMissing(const WorkerId& id, PoolWorker& worker,
                                    const WorkerReport& report) {
  if (worker.tasks.empty()) return;
  // A task with a listed end, even that of an earlier run, is not treated as
  // missing.
  const auto is_listed = [&](const TaskKey& key) {
    const auto has_key = [&](const auto& it) { return it.key == key; };
    return std::any_of(report.running.begin(), report.running.end(), has_key) ||
           std::any_of(report.ended.begin(), report.ended.end(), has_key);
  };
  // Most reports list all tasks; a worker runs few tasks at a time.
  std::vector<TaskKey> missing;
  for (const TaskKey& it : worker.tasks)
    if (!is_listed(it)) missing.push_back(it);
  for (const TaskKey& key : missing) {
    TrackedJob* const job = FindJob(key.job);
    TaskState* const task = job == nullptr ? nullptr : FindTask(*job, key);
    if (task == nullptr) continue;
    if (task->phase == RunPhase::kStarting && task->is_start_unanswered)
      RequestStop(key, *task, "start not answered");
    // A run that was confirmed, or whose stop was accepted, is over when a
    // report with a later clock does not list it.
    const bool can_end_unreported =
        task->phase == RunPhase::kRunning ||
        (task->phase == RunPhase::kStopping && task->is_stop_accepted);
    if (!can_end_unreported || task->confirmed_clock_ms >= report.clock_ms)
      continue;
    RecordEvent("task-missing", key, task->run, id,
                task->phase == RunPhase::kStopping ? "stopped" : "lost");
    Unplace(*job, key, *task);
    FreeTasksOfEndedJob(*job);
  }
}

void Dispatcher::Impl::OnStartResult(const WorkerId& worker, const TaskKey& key,
                                     std::uint32_t run, StartOutcome outcome,
                                     std::int64_t clock_ms, Instant now) {
  RecordEvent("task-start-answer", key, run, worker, ToText(outcome));
  TrackedJob* const job = FindJob(key.job);
  TaskState* const task = job == nullptr ? nullptr : FindTask(*job, key);
  if (job != nullptr && outcome == StartOutcome::kStarted) MarkBegun(*job);
  if (task == nullptr || !task->is_placed() || task->run != run ||
      task->worker != worker)
    return;
  if (outcome == StartOutcome::kStarted) {
    task->confirmed_clock_ms = std::max(task->confirmed_clock_ms, clock_ms);
    if (task->phase == RunPhase::kStarting) task->phase = RunPhase::kRunning;
    return;
  }
  if (outcome == StartOutcome::kUnknown || outcome == StartOutcome::kStaleRun) {
    // The order may still be carried out, or an earlier copy of it was carried
    // out. Only a stop of the run or the expiry of the worker's lease ensures
    // that the run is not in progress.
    if (task->phase != RunPhase::kStarting) return;
    // The worker's next report shows whether a long-running task was started
    // after all; a stop would needlessly make the task unavailable to its step.
    task->is_start_unanswered = outcome == StartOutcome::kUnknown &&
                                job->spec->steps[key.step].is_long_running;
    if (!task->is_start_unanswered)
      RequestStop(key, *task, "start not answered");
    return;
  }
  if (outcome == StartOutcome::kNoRoom || outcome == StartOutcome::kUnhealthy ||
      outcome == StartOutcome::kNotSent)
    workers_.GetOrAdd(worker).blocked_until = now + options_.refusal_backoff;
  if (task->phase == RunPhase::kStopping && !task->is_stop_accepted) {
    // Nothing was started, but a copy of the order may still be in transit.
    return;
  }
  Unplace(*job, key, *task);
  task->retry_at = now + options_.retry_backoff;
  FreeTasksOfEndedJob(*job);
}

void Dispatcher::Impl::OnStopResult(const WorkerId& worker, const TaskKey& key,
                                    std::uint32_t run,
                                    std::optional<std::int64_t> clock_ms,
                                    Instant now) {
  RecordEvent("task-stop-answer", key, run, worker,
              clock_ms ? "accepted" : "no answer");
  TrackedJob* const job = FindJob(key.job);
  TaskState* const task = job == nullptr ? nullptr : FindTask(*job, key);
  if (task == nullptr || task->phase != RunPhase::kStopping ||
      task->run != run || task->worker != worker)
    return;
  if (!clock_ms) {
    task->resend_stop_at = now + options_.stop_resend_interval;
    return;
  }
  task->is_stop_accepted = true;
  task->confirmed_clock_ms = *clock_ms;
}

void Dispatcher::Impl::BeginIncarnation(PoolWorker& worker,
                                        const WorkerReport& report, Instant now,
                                        WallMs wall_ms) {
  std::map<TaskKey, std::uint32_t> listed;
  for (const RunningTask& it : report.running) listed[it.key] = it.run;
  if (!worker.spec.is_draining) {
    const std::int64_t age_ms =
        report.started_ms > 0 && report.started_ms <= wall_ms
            ? wall_ms - report.started_ms
            : 0;
    std::vector<TaskKey> lost;
    for (const TaskKey& key : worker.tasks) {
      TrackedJob* const job = FindJob(key.job);
      TaskState* const task = job == nullptr ? nullptr : FindTask(*job, key);
      const auto it = listed.find(key);
      const bool is_lost = task != nullptr &&
                           (it == listed.end() || it->second != task->run) &&
                           (task->phase != RunPhase::kStarting ||
                            ToMillis(now - task->started_at) > age_ms);
      if (is_lost) lost.push_back(key);
    }
    CountCrash(worker, lost, now, wall_ms);
  }
  for (const TaskKey& key : worker.tasks) {
    TrackedJob* const job = FindJob(key.job);
    TaskState* const task = job == nullptr ? nullptr : FindTask(*job, key);
    if (task == nullptr || task->phase == RunPhase::kStarting) continue;
    const auto it = listed.find(key);
    if (it != listed.end() && it->second == task->run) continue;
    // The start order may have reached the new incarnation after it wrote this
    // report. Only a stop that this incarnation accepts ensures that the run is
    // over.
    task->phase = RunPhase::kRunning;
    RequestStop(key, *task, "worker restarted");
  }
  worker.clock_ms = 0;
  worker.last_end_number = 0;
  worker.ack_limit = 0;
  worker.unstored_ends.clear();
}

void Dispatcher::Impl::ResetWorker(const WorkerId& id, PoolWorker& worker,
                                   Instant now) {
  const std::set<TaskKey> tasks = worker.tasks;
  for (const TaskKey& key : tasks) {
    TrackedJob* const job = FindJob(key.job);
    TaskState* const task = job == nullptr ? nullptr : FindTask(*job, key);
    if (task == nullptr) continue;
    RecordEvent("task-lost", key, task->run, id, "worker gone");
    Unplace(*job, key, *task);
    task->retry_at = now;
    FreeTasksOfEndedJob(*job);
  }
  HoldOpenTasks(id, now);
  const WorkerSpec spec = worker.spec;
  const bool is_listed = worker.is_listed;
  worker = PoolWorker{};
  worker.spec = spec;
  worker.is_listed = is_listed;
}

void Dispatcher::Impl::HoldOpenTasks(const WorkerId& id, Instant now) {
  for (const auto& [key, until] : open_starts_.OpenOn(id, now)) {
    TrackedJob* const job = FindJob(key.job);
    TaskState* const task = job == nullptr ? nullptr : FindTask(*job, key);
    if (task == nullptr || task->phase != RunPhase::kWaiting) continue;
    RecordEvent(
        "task-held", key, task->run, id,
        "start open for " + std::to_string(ToMillis(until - now)) + " ms");
    task->retry_at = std::max(task->retry_at, until);
    task->held_for = id;
    held_tasks_[id].insert(key);
  }
}

void Dispatcher::Impl::OnWorkerUnresponsive(const WorkerId& id) {
  PoolWorker* const worker = workers_.Find(id);
  if (worker != nullptr) worker->is_unresponsive = true;
}

void Dispatcher::Impl::OnWorkerGone(const WorkerId& id, WorkerLoss loss,
                                    Instant now, WallMs wall_ms) {
  StopAwaiting(id, now);
  PoolWorker* const worker = workers_.Find(id);
  if (worker != nullptr) RemoveWorker(id, *worker, loss, now, wall_ms);
  // A worker with another id refuses what was sent to this one.
  if (loss == WorkerLoss::kOtherIncarnation) ReleaseHeldTasks(id, now);
}

void Dispatcher::Impl::RemoveWorker(const WorkerId& id, PoolWorker& worker,
                                    WorkerLoss loss, Instant now,
                                    WallMs wall_ms) {
  const bool is_crash =
      loss != WorkerLoss::kLeaseExpired && !worker.spec.is_draining;
  RecordEvent("worker-gone", {}, 0, id,
              std::to_string(worker.tasks.size()) + " tasks lost" +
                  (is_crash && !worker.tasks.empty() ? " in a crash" : ""));
  if (is_crash) {
    CountCrash(worker, {worker.tasks.begin(), worker.tasks.end()}, now,
               wall_ms);
  }
  ResetWorker(id, worker, now);
  if (!worker.is_listed) workers_.all().erase(id);
}

void Dispatcher::Impl::ReleaseHeldTasks(const WorkerId& id, Instant now) {
  const auto node = held_tasks_.extract(id);
  if (node.empty()) return;
  for (const TaskKey& key : node.mapped()) {
    TrackedJob* const job = FindJob(key.job);
    TaskState* const task = job == nullptr ? nullptr : FindTask(*job, key);
    if (task == nullptr || task->held_for != id) continue;
    task->held_for = {};
    task->retry_at = std::min(task->retry_at, now);
  }
}

}  // namespace pomelomill
