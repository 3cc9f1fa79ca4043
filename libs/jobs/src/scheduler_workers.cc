#include <algorithm>
#include <set>
#include <utility>

#include "scheduler_core.h"

namespace pomelomill {
namespace {

// One list without a worker proves nothing; the list may be wrong.
constexpr std::uint32_t kMaxMissedLists = 2;

}  // namespace

void SchedulerCore::On(const WorkersListed& event, Instant now) {
  std::vector<bool> is_seen(ledger_.workers().size(), false);
  largest_ = {};
  for (const WorkerRecord& record : event.workers) {
    const WorkerIndex w = ledger_.SetWorker(record);
    if (w >= worker_states_.size()) {
      worker_states_.resize(w + 1);
      is_seen.resize(w + 1, false);
      is_dirty_ = true;
    }
    is_seen[w] = true;
    worker_states_[w].missed_lists = 0;
    if (!ledger_.worker(w).is_listed) is_dirty_ = true;
    ledger_.SetListed(w, true);
  }
  for (WorkerIndex w = 0; w < is_seen.size(); ++w) {
    if (!is_seen[w] && ++worker_states_[w].missed_lists >= kMaxMissedLists)
      ledger_.SetListed(w, false);
    if (!ledger_.worker(w).is_listed) continue;
    const Resources& capacity = ledger_.worker(w).capacity;
    largest_.cores = std::max(largest_.cores, capacity.cores);
    largest_.memory_mb = std::max(largest_.memory_mb, capacity.memory_mb);
    largest_.accelerators =
        std::max(largest_.accelerators, capacity.accelerators);
  }
  quotas_.SetCapacity(ledger_.Capacity().cores);
  has_workers_ = has_workers_ || now >= starts_allowed_at_;
  std::erase_if(quarantine_to_restore_, [&](const WorkerId& id) {
    const WorkerIndex w = ledger_.Find(id);
    if (w != kNoWorker) evidence_.RestoreQuarantine(w, now);
    return w != kNoWorker;
  });
  std::unordered_map<TaskId, Instant> unexpected;
  unexpected.swap(unexpected_);
  for (const WorkerRecord& record : event.workers) {
    const WorkerIndex w = ledger_.Find(record.id);
    for (const TaskId& it : record.tasks) {
      if (live_.contains(it)) continue;
      const auto seen = unexpected.find(it);
      unexpected_.emplace(it, seen == unexpected.end() ? now : seen->second);
    }
    ReadTasks(w, record, now);
    ReadUsage(w, record, now);
  }
}

void SchedulerCore::ReadTasks(WorkerIndex w, const WorkerRecord& record,
                              Instant now) {
  for (const TaskId& it : record.tasks) {
    const TaskRef live = Live(it);
    if (live.job != nullptr) {
      if (live.task().worker == w) Confirm(live, now);
      continue;
    }
    const auto parts = ParseTaskId(it);
    const TaskRef ref = LateResult(it);
    if (ref.job != nullptr && parts->epoch < epoch_.value() &&
        now < ref.task().held_until) {
      TaskEntry& task = ref.task();
      if (task.phase == TaskPhase::kWaiting) {
        Adopt(ref, it, w, now);
        continue;
      }
      const auto other = ParseTaskId(task.attempt);
      // The previous holder started the later attempt only after it was
      // certain that the earlier one had ended.
      if (task.phase == TaskPhase::kRunning && other &&
          std::pair(other->epoch, other->attempt) <
              std::pair(parts->epoch, parts->attempt)) {
        EndAttempt(ref, now);
        Requeue(ref, now, now);
        Adopt(ref, it, w, now);
        continue;
      }
    }
    // A list may show a task for a while after its end. One that stays longer
    // than the lag explains runs without a reservation and is stopped.
    const auto seen = unexpected_.find(it);
    if (seen != unexpected_.end() &&
        now - seen->second > 2 * settings_.max_report_lag)
      actions_.emplace_back(OperateTask{record.id, it, TaskOperation::kStop});
  }
}

void SchedulerCore::Adopt(TaskRef ref, const TaskId& attempt, WorkerIndex w,
                          Instant now) {
  TaskEntry& task = ref.task();
  JobEntry& job = *ref.job;
  const auto it = std::find(job.waiting.begin(), job.waiting.end(), ref.index);
  if (it != job.waiting.end()) job.waiting.erase(it);
  if (job.waiting.empty()) Dequeue(job);
  unexpected_.erase(attempt);
  task.phase = TaskPhase::kRunning;
  task.attempt = attempt;
  task.worker = w;
  task.size = SizeFor(ref);
  task.place = ledger_.Reserve(w, task.size);
  task.started_at = now;
  task.confirmed_at = now;
  task.lease = {};
  task.lease.Seen(now, settings_.lease);
  live_.emplace(attempt, ref);
  by_place_.emplace(task.place, ref);
  QuotaBook::TeamUse& use = quotas_.Use(job.job_class.team);
  use.used += task.size.cores;
  if (job.job_class.is_urgent) {
    use.urgent += task.size.cores;
    urgent_cores_ += task.size.cores;
  }
  job.spread.Add(ledger_.worker(w));
  ++job.running;
  worker_states_[w].last_change = now;
  Due(w, now);
}

void SchedulerCore::ReadUsage(WorkerIndex w, const WorkerRecord& record,
                              Instant now) {
  const WorkerRoom& room = ledger_.worker(w);
  WorkerState& state = worker_states_[w];
  // The usage is that of other tasks when the set has changed within the lag.
  bool is_same = record.tasks.size() == room.places.size() &&
                 now - state.last_change > settings_.max_report_lag;
  for (const TaskId& it : record.tasks)
    is_same = is_same && Live(it).job != nullptr && Live(it).task().worker == w;
  if (!is_same) return;
  const auto beyond = [](double used, double reserved) {
    return std::max(0.0, used - reserved);
  };
  const Resources excess{
      beyond(record.usage.cores, room.reserved.cores),
      beyond(record.usage.memory_mb, room.reserved.memory_mb),
      beyond(record.usage.accelerators, room.reserved.accelerators)};
  ledger_.SetExcess(w, excess);
  if (state.is_usage_sampled || record.tasks.empty()) return;
  // One sample for each set of tasks, or long tasks would fill the window.
  state.is_usage_sampled = true;
  std::vector<std::string> classes;
  for (const TaskId& it : record.tasks) {
    const TaskRef ref = Live(it);
    if (ref.task().is_throttled) return;
    classes.push_back(ref.job->job_class.id);
  }
  sizes_.AddWorkerUsage(classes, record.usage);
}

void SchedulerCore::On(const WorkerRenewed& event, Instant now) {
  const WorkerIndex w = ledger_.Find(event.worker);
  if (w == kNoWorker) return;
  WorkerState& state = worker_states_[w];
  if (state.open_renewals > 0) --state.open_renewals;
  for (const PlaceNumber it : ledger_.worker(w).places)
    by_place_.at(it).task().lease.RenewEnded(
        event.sent_by.value_or(now), state.open_renewals == 0, settings_.lease);
  if (event.is_renewed) {
    // It responds again; one lost message must not idle it any longer.
    if (state.unknown_renewals > 0) {
      state.unusable_until = now;
      is_dirty_ = true;
    }
    state.unknown_renewals = 0;
    return;
  }
  ++state.unknown_renewals;
  state.unusable_until =
      std::max(state.unusable_until, now + settings_.unreachable_for);
  if (state.unknown_renewals <= settings_.lease.max_unknown_renewals) {
    state.renew_at = now;
    Due(w, now);
  }
}

bool SchedulerCore::IsReachable(WorkerIndex w, Instant now) const {
  const WorkerState& state = worker_states_[w];
  return now >= state.unusable_until &&
         (state.unknown_renewals <= settings_.lease.max_unknown_renewals ||
          ledger_.worker(w).places.empty());
}

void SchedulerCore::CheckGap(Instant now) {
  const Instant last = std::exchange(last_event_at_, now).value_or(now);
  const Duration gap = now - last;
  // Ticks come several times a second. After a longer silence the process was
  // paused, or its clock jumped while the leases of the workers went on. The
  // two look the same, so that nothing may count as passed. A shorter jump is
  // within the time that is allowed for delivery.
  if (gap <= settings_.max_event_gap) return;
  for (const auto& [id, job] : jobs_) {
    for (TaskEntry& task : job->tasks) {
      if (task.phase == TaskPhase::kRunning)
        task.lease.CountAgain(now, settings_.lease);
      if (task.not_before > last) task.not_before += gap;
      if (task.held_until > last) task.held_until += gap;
    }
  }
  if (starts_allowed_at_ > last) starts_allowed_at_ += gap;
}

void SchedulerCore::Due(WorkerIndex w, Instant at) {
  worker_states_[w].due_at = std::min(worker_states_[w].due_at, at);
}

void SchedulerCore::Upkeep(Instant now) {
  for (WorkerIndex w = 0; w < worker_states_.size(); ++w) {
    if (worker_states_[w].due_at <= now) UpkeepWorker(w, now);
  }
}

void SchedulerCore::UpkeepWorker(WorkerIndex w, Instant now) {
  WorkerState& state = worker_states_[w];
  state.due_at = Instant::max();
  std::vector<TaskRef> refs;
  refs.reserve(ledger_.worker(w).places.size());
  for (const PlaceNumber it : ledger_.worker(w).places)
    refs.push_back(by_place_.at(it));
  bool has_unconfirmed = false;
  std::erase_if(refs, [&](const TaskRef& ref) {
    if (!ref.task().lease.IsCertainlyExpired(now)) return false;
    Decision decision;
    decision.subjects = {{"job", ref.job->id.value()},
                         {"worker", ledger_.worker(w).id.value()}};
    decision.choice = "task " + ref.task().attempt.value() + " lost";
    decision.reason = "the worker's lease is certain to have expired";
    decision.alternatives = {{"wait longer", "no renewal can arrive", 0}};
    Record(std::move(decision), now);
    // The worker has not responded for a whole lease.
    state.unusable_until =
        std::max(state.unusable_until, now + settings_.unreachable_for);
    EndUnfinished(ref, now, true);
    return true;
  });
  for (const TaskRef& ref : refs) {
    TaskEntry& task = ref.task();
    if (!task.confirmed_at && task.lease.IsDeliveryOver(now))
      has_unconfirmed = true;
    if (task.pending) {
      PendingOperation& pending = *task.pending;
      if (pending.operation == TaskOperation::kCheckpoint &&
          now - pending.since >= settings_.checkpoint_limit) {
        if (task.leave == LeaveReason::kPreempted) ++stats_.preempting_stops;
        SendOperation(ref, TaskOperation::kStop, now);
      } else if (pending.operation == TaskOperation::kStop
                     ? now - pending.sent_at >= settings_.stop_poll
                     : !pending.is_accepted &&
                           now - pending.sent_at >= settings_.resend_after) {
        ResendOperation(ref, now);
      }
      Due(w, now + settings_.stop_poll / 2);
    }
    if (!task.confirmed_at) Due(w, task.lease.last_delivery());
    Due(w, task.lease.certain_expiry());
  }
  if (refs.empty()) return;
  // An unconfirmed start is settled by a renewal as soon as no start can
  // arrive any more: its refusal is the proof that the task never ran.
  const bool is_due =
      now >= state.renew_at ||
      (has_unconfirmed && now - state.renew_sent_at >= settings_.resend_after);
  if (is_due &&
      state.unknown_renewals <= settings_.lease.max_unknown_renewals) {
    RenewLeases renewal{ledger_.worker(w).id, {}};
    for (const TaskRef& ref : refs) {
      // The lease of a task that is being stopped may run out.
      if (ref.task().pending &&
          ref.task().pending->operation == TaskOperation::kStop)
        continue;
      ref.task().lease.RenewSent(now, settings_.lease);
      renewal.tasks.push_back(ref.task().attempt);
    }
    if (!renewal.tasks.empty()) {
      ++state.open_renewals;
      actions_.emplace_back(std::move(renewal));
    }
    state.renew_at = now + settings_.lease.renew_every;
    state.renew_sent_at = now;
  }
  if (state.unknown_renewals <= settings_.lease.max_unknown_renewals) {
    Due(w, state.renew_at);
    if (has_unconfirmed) Due(w, now + settings_.resend_after);
  }
}

}  // namespace pomelomill
