#include <algorithm>
#include <utility>

#include "scheduler_core.h"

namespace pomelomill {

void SchedulerCore::On(const TaskStarted& event, Instant now) {
  const TaskRef ref = Live(event.task);
  if (ref.job != nullptr) Confirm(ref, now);
}

void SchedulerCore::Confirm(TaskRef ref, Instant now) {
  TaskEntry& task = ref.task();
  if (task.confirmed_at) return;
  task.confirmed_at = now;
  worker_states_[task.worker].refusals = 0;
}

void SchedulerCore::On(const TaskFinished& event, Instant now) {
  TaskRef ref = Live(event.task);
  if (ref.job == nullptr) {
    ref = LateResult(event.task);
    if (ref.job == nullptr || ref.task().phase == TaskPhase::kDone) return;
    // The work is done although the attempt had been given up; a newer attempt
    // is not needed any more.
    if (ref.task().phase == TaskPhase::kRunning) {
      ref.task().leave = LeaveReason::kCancelled;
      SendOperation(ref, TaskOperation::kStop, now);
    } else {
      MarkDone(ref, now);
    }
    return;
  }
  const WorkerIndex w = ref.task().worker;
  RecordRunTime(ref, now);
  if (event.peak) sizes_.AddUsage(ref.job->job_class.id, *event.peak);
  if (evidence_.TaskSucceeded(ref.job->id, w, now, ledger_.workers().size())) {
    Decision decision;
    decision.subjects = {{"worker", ledger_.worker(w).id.value()},
                         {"job", ref.job->id.value()}};
    decision.choice = "worker returned from quarantine";
    decision.reason = "the probe task finished";
    decision.alternatives = {{"stay in quarantine", "needs a failed probe", 0}};
    Record(std::move(decision), now);
  }
  RecordQuarantines(now);
  EndAttempt(ref, now);
  MarkDone(ref, now);
}

void SchedulerCore::RecordQuarantines(Instant now) {
  for (const WorkerIndex w : evidence_.TakeQuarantined()) {
    Decision decision;
    decision.subjects = {{"worker", ledger_.worker(w).id.value()}};
    decision.choice = "worker quarantined";
    decision.reason =
        "several jobs failed on it in a row, some of which succeed elsewhere";
    decision.facts = {
        {"workers in quarantine", std::to_string(evidence_.quarantined())},
        {"most allowed",
         std::to_string(evidence_.MaxQuarantined(ledger_.workers().size()))}};
    decision.alternatives = {
        {"blame the jobs", "they succeed on other workers", 0}};
    Record(std::move(decision), now);
  }
}

void SchedulerCore::On(const TaskFailed& event, Instant now) {
  const TaskRef ref = Live(event.task);
  if (ref.job == nullptr) return;
  JobEntry& job = *ref.job;
  TaskEntry& task = ref.task();
  const WorkerIndex w = task.worker;
  // A task that was told to leave may end with an error because of that.
  if (job.is_cancelled || task.leave != LeaveReason::kNone) {
    EndUnfinished(ref, now, false);
    return;
  }
  const bool is_out_of_memory = event.failure == TaskFailure::kOutOfMemory;
  if (is_out_of_memory) {
    // The size was wrong; neither job nor worker is to blame.
    sizes_.AddOutOfMemory(job.job_class.id, task.size);
    task.min_memory_mb = 2 * task.size.memory_mb;
    evidence_.TaskEndedOtherwise(job.id, w);
  } else {
    task.failed_on.push_back(w);
    evidence_.TaskFailed(job.id, w, now, ledger_.workers().size());
    RecordQuarantines(now);
  }
  EndAttempt(ref, now);
  const auto shift = std::min<std::size_t>(task.failed_on.size(), 16);
  const Duration wait =
      is_out_of_memory
          ? Duration(0)
          : std::min(settings_.max_retry_after,
                     settings_.retry_after * (std::int64_t{1} << shift) / 2);
  Requeue(ref, now + wait, now);
  const auto verdict = evidence_.Judge(job.id, task.failed_on, task.losses,
                                       job.job_class.max_attempts);
  if (!verdict) return;
  const std::string detail =
      event.detail.empty() ? "" : "; last error: " + event.detail;
  GiveUp(job, verdict->failure, verdict->reason + detail, now);
  DropJobIfEnded(&job);
}

void SchedulerCore::On(const TaskCheckpointed& event, Instant now) {
  const TaskRef ref = Live(event.task);
  if (ref.job == nullptr) {
    // The report came after other proof of the end; the checkpoint is valid.
    const TaskRef late = LateResult(event.task);
    if (late.job != nullptr && late.task().phase != TaskPhase::kRunning)
      late.task().progress =
          std::clamp(event.progress, late.task().progress, 1.0);
    return;
  }
  TaskEntry& task = ref.task();
  task.progress = std::clamp(event.progress, task.progress, 1.0);
  EndUnfinished(ref, now, false);
}

void SchedulerCore::On(const TaskCallEnded& event, Instant now) {
  const TaskRef ref = Live(event.task);
  if (ref.job == nullptr) return;
  TaskEntry& task = ref.task();
  if (event.call == TaskCall::kStart) {
    OnStartEnded(ref, event, now);
    return;
  }
  if (event.outcome == CallOutcome::kRefused) {
    // 404 proves that the task is gone only when it was there before the call
    // was sent, or when no start can arrive after it any more.
    const bool was_there =
        task.confirmed_at && *task.confirmed_at <= event.sent_at;
    if (was_there || task.lease.IsDeliveryOver(event.sent_at))
      EndUnfinished(ref, now, true);
    return;
  }
  if (event.outcome == CallOutcome::kAccepted) {
    Confirm(ref, now);
    if (!task.pending) return;
    if (event.call == TaskCall::kThrottle &&
        task.pending->operation == TaskOperation::kThrottle) {
      QuotaBook::TeamUse& use = quotas_.Use(ref.job->job_class.team);
      ledger_.Shrink(task.place);
      use.used -= task.leaving_cores;
      use.leaving -= task.leaving_cores;
      task.size.cores -= task.leaving_cores;
      task.leaving_cores = 0;
      task.is_throttled = true;
      // Usage reports from before the throttle do not count against the worker.
      worker_states_[task.worker].last_change = now;
      task.leave = LeaveReason::kNone;
      task.pending.reset();
      is_dirty_ = true;
      return;
    }
    if ((event.call == TaskCall::kCheckpoint &&
         task.pending->operation == TaskOperation::kCheckpoint) ||
        (event.call == TaskCall::kStop &&
         task.pending->operation == TaskOperation::kStop))
      task.pending->is_accepted = true;
    return;
  }
  const bool is_pending_call = task.pending &&
                               event.sent_at == task.pending->sent_at &&
                               event.call != TaskCall::kRenew;
  if (is_pending_call) ResendOperation(ref, now);
}

void SchedulerCore::OnStartEnded(TaskRef ref, const TaskCallEnded& event,
                                 Instant now) {
  TaskEntry& task = ref.task();
  task.lease.StartEnded(event.sent_by.value_or(now), settings_.lease);
  switch (event.outcome) {
    case CallOutcome::kAccepted:
      Confirm(ref, now);
      return;
    case CallOutcome::kRefused:
      if (!task.confirmed_at) OnStartRefused(ref, now);
      return;
    case CallOutcome::kUnknown:
      // Counts as started. A start is never repeated under the same id: the
      // first one may still arrive after the second one has run and ended.
      // Upkeep settles it once no start can arrive any more.
      return;
  }
}

void SchedulerCore::OnStartRefused(TaskRef ref, Instant now) {
  JobEntry& job = *ref.job;
  const WorkerIndex w = ref.task().worker;
  WorkerState& state = worker_states_[w];
  ++state.refusals;
  ++job.refusals;
  state.unusable_until =
      std::max(state.unusable_until, now + settings_.max_report_lag);
  next_ready_ = std::min(next_ready_, state.unusable_until);
  if (state.refusals >= settings_.max_refusals) {
    evidence_.TaskFailed(job.id, w, now, ledger_.workers().size());
  } else {
    evidence_.TaskEndedOtherwise(job.id, w);
  }
  EndAttempt(ref, now);
  if (job.is_cancelled) {
    MarkDone(ref, now);
    return;
  }
  Requeue(ref, now, now);
  const std::uint32_t limit = std::max(1U, job.job_class.max_attempts) *
                              settings_.evidence.hard_attempts_factor *
                              settings_.max_refusals;
  if (job.refusals < limit || job.done > 0) return;
  GiveUp(job, JobFailure::kTooManyAttempts,
         "the workers refused " + std::to_string(job.refusals) + " starts",
         now);
  DropJobIfEnded(&job);
}

void SchedulerCore::SendStart(TaskRef ref, Instant now) {
  TaskEntry& task = ref.task();
  task.lease.StartSent(now, settings_.lease);
  Due(task.worker, task.lease.last_delivery());
  TaskStart start;
  start.task = task.attempt;
  start.size = task.size;
  start.lease = settings_.lease.length;
  start.run_time = sizes_.RunTime(ref.job->job_class.id);
  actions_.emplace_back(StartTask{ledger_.worker(task.worker).id, ref.job->id,
                                  std::move(start), task.progress});
}

void SchedulerCore::SendOperation(TaskRef ref, TaskOperation operation,
                                  Instant now) {
  TaskEntry& task = ref.task();
  if (task.pending && task.pending->operation == TaskOperation::kStop) return;
  task.pending = PendingOperation{operation, now, now, false};
  QuotaBook::TeamUse& use = quotas_.Use(ref.job->job_class.team);
  use.leaving -= task.leaving_cores;
  if (operation == TaskOperation::kThrottle) {
    const double kept = task.size.cores * settings_.throttled_cores;
    ledger_.SetShrinking(task.place, kept);
    task.leaving_cores = task.size.cores - kept;
  } else {
    ledger_.SetLeaving(task.place);
    task.leaving_cores = task.size.cores;
  }
  use.leaving += task.leaving_cores;
  actions_.emplace_back(
      OperateTask{ledger_.worker(task.worker).id, task.attempt, operation});
  Due(task.worker, now + settings_.stop_poll);
}

void SchedulerCore::ResendOperation(TaskRef ref, Instant now) {
  TaskEntry& task = ref.task();
  task.pending->sent_at = now;
  actions_.emplace_back(OperateTask{ledger_.worker(task.worker).id,
                                    task.attempt, task.pending->operation});
  Due(task.worker, now + settings_.stop_poll);
}

}  // namespace pomelomill
