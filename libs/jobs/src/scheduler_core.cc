#include "scheduler_core.h"

#include <algorithm>
#include <utility>

namespace pomelomill {

SchedulerCore::SchedulerCore(const JobSettings& settings, Epoch epoch,
                             DecisionLog* decisions)
    : settings_(settings),
      epoch_(epoch),
      decisions_(decisions),
      evidence_(settings_.evidence) {}

void SchedulerCore::On(const TeamsDeclared& event, Instant /*now*/) {
  quotas_.Declare(event.teams);
  is_dirty_ = true;
}

void SchedulerCore::On(const JobSubmitted& event, Instant now) {
  // A submission may be delivered twice; the first one counts.
  if (jobs_.contains(event.job)) return;
  JobEntry& job = AddJob(event.job, event.job_class, event.tasks, now);
  DropJobIfEnded(&job);
}

JobEntry& SchedulerCore::AddJob(const JobId& id,
                                const JobClassDeclaration& job_class,
                                std::uint32_t tasks, Instant now) {
  auto entry = std::make_unique<JobEntry>();
  JobEntry& job = *entry;
  job.id = id;
  job.job_class = job_class;
  job.use = &quotas_.Use(job_class.team);
  job.sequence = next_sequence_++;
  job.submitted_at = now;
  job.tasks.resize(tasks);
  for (std::uint32_t i = 0; i < tasks; ++i) {
    job.tasks[i].waiting_since = now;
    job.waiting.push_back(i);
  }
  sizes_.Declare(job_class);
  jobs_.emplace(id, std::move(entry));
  Enqueue(job);
  return job;
}

void SchedulerCore::On(const JobsCancelled& event, Instant now) {
  for (const JobId& id : event.jobs) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || it->second->is_cancelled) continue;
    it->second->is_cancelled = true;
    StopAll(*it->second, now);
    DropJobIfEnded(it->second.get());
  }
  is_dirty_ = true;
}

void SchedulerCore::StopAll(JobEntry& job, Instant now) {
  Dequeue(job);
  Unreserve(job);
  for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
    const TaskRef ref{&job, i};
    TaskEntry& task = ref.task();
    if (task.phase == TaskPhase::kClaimed) DropClaim(ref);
    if (task.phase == TaskPhase::kRunning) {
      task.leave = LeaveReason::kCancelled;
      SendOperation(ref, TaskOperation::kStop, now);
    } else if (task.phase != TaskPhase::kDone) {
      task.phase = TaskPhase::kDone;
      ++job.done;
    }
  }
  job.waiting.clear();
  Dequeue(job);
}

void SchedulerCore::Enqueue(JobEntry& job) {
  if (job.waiting.empty() || job.is_cancelled) return;
  JobQueue& queue =
      job.job_class.is_urgent ? urgent_ : normal_[job.job_class.team];
  queue.emplace(job.sequence, &job);
  is_dirty_ = true;
}

void SchedulerCore::Dequeue(JobEntry& job) {
  if (job.job_class.is_urgent) {
    urgent_.erase(job.sequence);
    return;
  }
  const auto it = normal_.find(job.job_class.team);
  if (it == normal_.end()) return;
  it->second.erase(job.sequence);
  if (it->second.empty()) normal_.erase(it);
}

void SchedulerCore::DropJobIfEnded(JobEntry* job) {
  if (job->done < job->tasks.size()) return;
  Dequeue(*job);
  Unreserve(*job);
  if (!job->is_cancelled) {
    ++stats_.jobs_finished;
    actions_.emplace_back(ReportJobFinished{job->id});
  }
  evidence_.Forget(job->id);
  jobs_.erase(JobId(job->id));
}

void SchedulerCore::GiveUp(JobEntry& job, JobFailure failure,
                           const std::string& reason, Instant now) {
  if (job.is_cancelled) return;
  job.is_cancelled = true;
  ++stats_.jobs_failed;
  actions_.emplace_back(ReportJobFailed{job.id, failure, reason});
  Decision decision;
  decision.subjects = {{"job", job.id.value()}};
  decision.choice = "job failed";
  decision.reason = reason;
  decision.facts = {
      {"failures", std::to_string(evidence_.Failures(job.id))},
      {"max_attempts", std::to_string(job.job_class.max_attempts)}};
  decision.alternatives = {
      {"another attempt", "the evidence points at the job", 0}};
  Record(std::move(decision), now);
  StopAll(job, now);
}

TaskRef SchedulerCore::Live(const TaskId& attempt) {
  const auto it = live_.find(attempt);
  return it == live_.end() ? TaskRef{} : it->second;
}

TaskRef SchedulerCore::LateResult(const TaskId& attempt) {
  const auto parts = ParseTaskId(attempt);
  if (!parts) return {};
  const auto it = jobs_.find(parts->job);
  if (it == jobs_.end() || parts->index >= it->second->tasks.size() ||
      it->second->is_cancelled)
    return {};
  return {it->second.get(), parts->index};
}

void SchedulerCore::EndAttempt(TaskRef ref, Instant now) {
  TaskEntry& task = ref.task();
  live_.erase(task.attempt);
  by_place_.erase(task.place);
  // The ledger refuses a second release, so that the quota cannot drift either.
  if (ledger_.Release(task.place)) {
    QuotaBook::TeamUse& use = quotas_.Use(ref.job->job_class.team);
    use.used -= task.size.cores;
    use.leaving -= task.leaving_cores;
    if (ref.job->job_class.is_urgent) {
      use.urgent -= task.size.cores;
      urgent_cores_ -= task.size.cores;
    }
    if (task.worker != kNoWorker)
      ref.job->spread.Remove(ledger_.worker(task.worker));
    --ref.job->running;
  }
  if (task.worker != kNoWorker) {
    worker_states_[task.worker].last_change = now;
    worker_states_[task.worker].is_usage_sampled = false;
  }
  task.leaving_cores = 0;
  task.place = {};
  task.pending.reset();
  task.confirmed_at.reset();
  task.leave = LeaveReason::kNone;
  task.is_throttled = false;
  task.is_protected = false;
  task.worker = kNoWorker;
  is_dirty_ = true;
}

void SchedulerCore::Requeue(TaskRef ref, Instant not_before, Instant now) {
  TaskEntry& task = ref.task();
  task.phase = TaskPhase::kWaiting;
  task.waiting_since = now;
  // A start that was sent may still arrive until its last delivery.
  task.not_before =
      std::max({not_before, task.lease.last_delivery(), task.held_until});
  if (task.not_before > now)
    next_ready_ = std::min(next_ready_, task.not_before);
  ref.job->waiting.push_front(ref.index);
  Enqueue(*ref.job);
}

void SchedulerCore::MarkDone(TaskRef ref, Instant /*now*/) {
  TaskEntry& task = ref.task();
  if (task.phase == TaskPhase::kDone) return;
  if (task.phase == TaskPhase::kClaimed) DropClaim(ref);
  task.phase = TaskPhase::kDone;
  ++ref.job->done;
  auto& waiting = ref.job->waiting;
  const auto it = std::find(waiting.begin(), waiting.end(), ref.index);
  if (it != waiting.end()) waiting.erase(it);
  if (waiting.empty()) Dequeue(*ref.job);
  is_dirty_ = true;
  DropJobIfEnded(ref.job);
}

void SchedulerCore::EndUnfinished(TaskRef ref, Instant now, bool is_lost) {
  TaskEntry& task = ref.task();
  const LeaveReason leave = task.leave;
  const WorkerIndex w = task.worker;
  // 404 can overtake the report of a task that has just ended well. A start
  // that was never confirmed has run, if at all, for less than its delivery.
  const bool may_have_finished =
      is_lost && (task.confirmed_at ||
                  sizes_.RunTime(ref.job->job_class.id) <
                      settings_.lease.max_delivery + settings_.max_report_lag);
  const Instant not_before =
      may_have_finished && !task.lease.IsCertainlyExpired(now)
          ? now + settings_.max_report_lag + settings_.resend_after
          : now;
  if (leave == LeaveReason::kNone || !is_lost)
    evidence_.TaskEndedOtherwise(ref.job->id, w);
  EndAttempt(ref, now);
  if (ref.job->is_cancelled || leave == LeaveReason::kCancelled) {
    MarkDone(ref, now);
    return;
  }
  if (is_lost && leave == LeaveReason::kNone) {
    ++stats_.lost_attempts;
    ++task.losses;
    const auto verdict =
        evidence_.Judge(ref.job->id, task.failed_on, task.losses,
                        ref.job->job_class.max_attempts);
    if (verdict) {
      Requeue(ref, now, now);
      GiveUp(*ref.job, verdict->failure, verdict->reason, now);
      DropJobIfEnded(ref.job);
      return;
    }
  }
  Requeue(ref, not_before, now);
}

double SchedulerCore::ProgressAt(const TaskRef& ref, Instant now) const {
  const TaskEntry& task = ref.task();
  if (!task.confirmed_at) return task.progress;
  const double run_s = ToSeconds(sizes_.RunTime(ref.job->job_class.id));
  if (run_s <= 0) return task.progress;
  const double done =
      task.progress + ToSeconds(now - *task.confirmed_at) / run_s;
  return std::min(1.0, done);
}

Resources SchedulerCore::SizeFor(const TaskRef& ref) const {
  Resources size = sizes_.Size(ref.job->job_class.id);
  size.memory_mb = std::max(size.memory_mb, ref.task().min_memory_mb);
  // Estimates of processors beyond every worker are cut, since a task runs
  // with fewer cores, only longer; memory is not, since it would fail.
  if (largest_.cores > 0 && size.cores > largest_.cores &&
      ref.job->job_class.cores <= largest_.cores)
    size.cores = largest_.cores;
  return size;
}

void SchedulerCore::RecordRunTime(const TaskRef& ref, Instant now) {
  const TaskEntry& task = ref.task();
  if (task.confirmed_at && task.progress <= 0 && !task.is_throttled)
    sizes_.AddRunTime(ref.job->job_class.id, now - *task.confirmed_at);
}

void SchedulerCore::Record(Decision decision, Instant now) {
  if (decisions_ == nullptr) return;
  decision.at = now;
  decisions_->Record(std::move(decision));
}

std::size_t SchedulerCore::WaitingTasks() const {
  std::size_t n = claims_.size();
  for (const auto& [id, job] : jobs_) n += job->waiting.size();
  return n;
}

}  // namespace pomelomill
