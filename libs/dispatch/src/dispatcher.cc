#include "pomelomill/dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

#include "dispatcher_impl.h"

namespace pomelomill {
namespace {

/// Returns the task's dominant resource share, as a number of cores in
/// thousandths: the cores that it needs, or more when it takes a larger share
/// of the worker's memory or GPUs.
std::uint64_t DominantCpu(const TaskSize& size, const TaskSize& capacity) {
  const auto share_in_cpu = [&](std::uint64_t needed, std::uint64_t available) {
    return available == 0 ? 0 : needed * capacity.cpu_millis / available;
  };
  return std::max({std::uint64_t{size.cpu_millis},
                   share_in_cpu(size.memory_mb, capacity.memory_mb),
                   share_in_cpu(size.gpus, capacity.gpus)});
}

}  // namespace

const TrackedJob* Dispatcher::Impl::FindJob(const JobId& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

TrackedJob* Dispatcher::Impl::FindJob(const JobId& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

void Dispatcher::Impl::RecordEvent(const char* event, const TaskKey& key,
                                   std::uint32_t run, const WorkerId& worker,
                                   std::string detail) {
  if (event_hook_) event_hook_({event, key, run, worker, std::move(detail)});
}

void Dispatcher::Impl::AddJob(const AddedJob& added, Instant now) {
  if (jobs_.contains(added.id)) return;
  TrackedJob& job = jobs_[added.id];
  job.id = added.id;
  job.queue = added.queue;
  job.spec = added.spec;
  job.workspace = added.workspace;
  job.terms = added.terms;
  job.phase = job.stored_phase = added.progress.phase;
  job.ended_wall_ms = added.progress.ended_ms;
  job.is_inherited = added.is_inherited;
  job.restored = added.progress.tasks;
  job.was_placed = job.has_begun = job.phase != JobPhase::kQueued;
  job.added_at = now;
  cached_waiting_jobs_.reset();
  if (job.is_final()) {
    job.ended_at = now;
  } else {
    unfinished_jobs_.emplace(job.id, &job);
  }
  RecordEvent("job-known", {.job = job.id}, 0, {},
              std::string(ToText(job.phase)) +
                  (job.is_inherited ? " inherited" : " new"));
  if (!job.is_final() && !job.spec->is_timed()) CreateDueOccurrences(job, 0);
}

void Dispatcher::Impl::CreateDueOccurrences(TrackedJob& job, WallMs wall_ms) {
  const JobSpec& spec = *job.spec;
  while (job.due_occurrences < spec.total_occurrences()) {
    if (spec.is_timed() && wall_ms < spec.DueMs(job.due_occurrences)) break;
    InvalidateCachedValues(job);
    ++job.due_occurrences;
  }
  CreateOccurrences(job, job.due_occurrences);
}

void Dispatcher::Impl::CreateOccurrences(TrackedJob& job, std::uint32_t end) {
  const JobSpec& spec = *job.spec;
  while (job.next_occurrence < end) {
    InvalidateCachedValues(job);
    const std::uint32_t number = job.next_occurrence++;
    OccurrenceState state = MakeOccurrence(job, number);
    if (state.done_steps == state.steps.size()) {
      ++job.done_occurrences;
      continue;
    }
    const auto added = job.occurrences.emplace(number, std::move(state)).first;
    for (std::uint32_t s = 0; s < spec.steps.size(); ++s) {
      const auto& tasks = added->second.steps[s].tasks;
      for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        const TaskKey key{job.id, number, s, i};
        if (MustRunAlone(spec.steps[s], tasks[i]))
          tasks_to_run_alone_.insert(key);
        if (tasks[i].unfinished_run != 0) unfinished_runs_.insert(key);
        must_judge_failed_runs_ |= !tasks[i].failed_runs.empty();
      }
    }
  }
}

void Dispatcher::Impl::CancelJob(const JobId& id, Instant now,
                                 std::int64_t wall_ms) {
  TrackedJob* const job = FindJob(id);
  if (job == nullptr || job->is_final()) return;
  RecordEvent("job-cancelled", {.job = id}, 0, {},
              std::to_string(job->placed) + " tasks placed");
  EndJob(*job, JobPhase::kCancelled, now, wall_ms);
}

void Dispatcher::Impl::MarkDirty(TrackedJob& job) {
  dirty_.insert(job.id);
  InvalidateCachedValues(job);
}

void Dispatcher::Impl::InvalidateCachedValues(TrackedJob& job) {
  job.cached_ready_steps.reset();
  job.cached_rank_inputs.reset();
  cached_waiting_jobs_.reset();
}

void Dispatcher::Impl::EndJob(TrackedJob& job, JobPhase phase, Instant now,
                              WallMs wall_ms) {
  job.phase = phase;
  unfinished_jobs_.erase(job.id);
  job.ended_at = now;
  job.ended_wall_ms = wall_ms;
  MarkDirty(job);
  for (auto& [number, occurrence] : job.occurrences) {
    for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
      auto& tasks = occurrence.steps[s].tasks;
      for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        const TaskKey key{job.id, number, s, i};
        if (tasks[i].is_placed()) RequestStop(key, tasks[i], "job ended");
      }
    }
  }
  FreeTasksOfEndedJob(job);
}

void Dispatcher::Impl::FreeTasksOfEndedJob(TrackedJob& job) {
  if (!job.is_final() || job.placed != 0) return;
  job.occurrences.clear();
  job.restored.clear();
}

void Dispatcher::Impl::Place(TrackedJob& job, const TaskKey& key,
                             TaskState& task, PoolWorker& worker,
                             std::uint32_t run, RunPhase phase) {
  const StepSpec& step = job.spec->steps[key.step];
  task.phase = phase;
  task.run = run;
  task.worker = worker.spec.id;
  task.is_stop_accepted = false;
  task.is_start_unanswered = false;
  task.confirmed_clock_ms = 0;
  task.speed_percent = 0;
  task.started_at = Instant{};
  task.held_for = {};
  task.runs_alone = false;
  task.unfinished_run = 0;
  workers_.ReserveCapacity(worker, key, step);
  workspaces_.Add(job.workspace, step.size);
  if (!task.crashed_runs.empty()) {
    worker.crash_suspects.insert(key);
    // Stores the number of the run.
    MarkDirty(job);
  }
  ++job.placed;
  StepState& state = job.occurrences.at(key.occurrence).steps[key.step];
  ++state.placed;
  if (state.waiting() == 0) job.cached_ready_steps.reset();
  job.was_placed = true;
}

void Dispatcher::Impl::MarkBegun(TrackedJob& job) {
  if (std::exchange(job.has_begun, true)) return;
  cached_waiting_jobs_.reset();
}

void Dispatcher::Impl::Unplace(TrackedJob& job, const TaskKey& key,
                               TaskState& task) {
  if (!task.is_placed()) return;
  const StepSpec& spec = job.spec->steps[key.step];
  workers_.ReleaseCapacity(task.worker, key, spec);
  workspaces_.Remove(job.workspace, spec.size);
  if (!task.crashed_runs.empty()) MarkDirty(job);
  if (task.phase == RunPhase::kStopping)
    stopping_tasks_.erase({task.worker, key});
  task.phase = RunPhase::kWaiting;
  task.worker = {};
  --job.placed;
  StepState& state = job.occurrences.at(key.occurrence).steps[key.step];
  --state.placed;
  state.first_waiting = std::min(state.first_waiting, key.index);
  if (state.waiting() == 1) job.cached_ready_steps.reset();
}

void Dispatcher::Impl::RequestStop(const TaskKey& key, TaskState& task,
                                   const char* reason) {
  if (task.phase == RunPhase::kStopping) return;
  RecordEvent("task-stop", key, task.run, task.worker, reason);
  task.phase = RunPhase::kStopping;
  stopping_tasks_.emplace(task.worker, key);
  task.is_stop_accepted = false;
  task.resend_stop_at = Instant{};
}

void Dispatcher::Impl::RemoveInFlightStart(const TaskKey& key,
                                           std::uint32_t run) {
  if (!in_flight_starts_.empty()) in_flight_starts_.erase({key, run});
}

ProgressBatch Dispatcher::Impl::TakeBatch() {
  ProgressBatch batch;
  if (dirty_.empty()) return batch;
  batch.number = ++last_batch_;
  for (const JobId& id : dirty_) {
    const TrackedJob* const job = FindJob(id);
    if (job == nullptr) continue;
    batch.writes.push_back({id, ProgressOf(*job)});
    if (job->is_final()) unstored_final_phases_.emplace_back(batch.number, id);
  }
  dirty_.clear();
  return batch;
}

void Dispatcher::Impl::OnStored(std::uint64_t number) {
  stored_batch_ = std::max(stored_batch_, number);
  while (!unstored_final_phases_.empty() &&
         unstored_final_phases_.front().first <= stored_batch_) {
    if (TrackedJob* const job = FindJob(unstored_final_phases_.front().second);
        job != nullptr) {
      job->stored_phase = job->phase;
      RecordEvent("job-ended", {.job = job->id}, 0, {}, ToText(job->phase));
    }
    unstored_final_phases_.pop_front();
  }
  for (auto& [id, worker] : workers_.all()) {
    while (!worker.unstored_ends.empty() &&
           worker.unstored_ends.front().second <= stored_batch_) {
      worker.ack_limit = worker.unstored_ends.front().first;
      worker.unstored_ends.pop_front();
    }
  }
}

std::vector<JobId> Dispatcher::Impl::TakeExpiredJobs(Instant now) {
  open_starts_.Purge(now);
  std::vector<JobId> expired;
  for (auto it = jobs_.begin(); it != jobs_.end();) {
    const TrackedJob& job = it->second;
    const bool is_expired = IsFinal(job.stored_phase) && job.placed == 0 &&
                            now - job.ended_at > options_.ended_job_retention;
    if (!is_expired) {
      ++it;
      continue;
    }
    expired.push_back(job.id);
    it = jobs_.erase(it);
  }
  return expired;
}

std::uint32_t Dispatcher::Impl::WaitingJobs(const QueueId& queue) const {
  if (!cached_waiting_jobs_) {
    cached_waiting_jobs_.emplace();
    for (const auto& [id, job] : unfinished_jobs_) {
      if (job->has_begun) continue;
      if (!job->spec->is_timed() || !job->occurrences.empty())
        ++(*cached_waiting_jobs_)[job->queue];
    }
  }
  const auto it = cached_waiting_jobs_->find(queue);
  return it == cached_waiting_jobs_->end() ? 0 : it->second;
}

bool Dispatcher::Impl::IsLightlyLoaded(const PoolWorker& worker) const {
  return worker.long_running_tasks == 0 &&
         worker.used.cpu_millis * options_.light_load_divisor <=
             worker.spec.capacity.cpu_millis;
}

DispatchLoad Dispatcher::Impl::load() const {
  DispatchLoad load;
  TaskSize capacity;
  for (const auto& [id, worker] : workers_.all()) {
    if (worker.is_listed && worker.has_reported)
      capacity = worker.spec.capacity;
    load.running_cpu_millis += DominantCpu(worker.used, worker.spec.capacity);
    if (!worker.is_listed || !worker.has_reported_fully || worker.is_closed ||
        worker.is_unresponsive || !worker.untracked_runs.empty() ||
        worker.reserved_for)
      continue;
    if (worker.tasks.empty()) {
      load.idle.push_back(id);
    } else if (IsLightlyLoaded(worker)) {
      load.lightly_loaded.push_back({id, worker.used.cpu_millis});
    }
  }
  std::map<WorkspaceId, ResourceAmount> admitted;
  for (const auto& [id, job] : unfinished_jobs_) {
    for (const ReadyStep& it : ReadySteps(*job)) {
      const StepSpec& spec = job->spec->steps[it.step];
      const StepState& step = job->occurrences.at(it.occurrence).steps[it.step];
      std::uint64_t waiting = step.waiting();
      if (!job->workspace.empty()) {
        ResourceAmount& total = admitted[job->workspace];
        waiting = workspaces_.TasksWithinCap(job->workspace, total, spec.size,
                                             waiting);
        total = total + Times(spec.size, waiting);
      }
      load.waiting_cpu_millis +=
          DominantCpu(CountedSize(spec), capacity) * waiting;
    }
  }
  return load;
}

Dispatcher::Dispatcher(const DispatcherOptions& options,
                       DispatchEventHook event_hook, TimingHook timing_hook)
    : impl_(std::make_unique<Impl>(options, std::move(event_hook),
                                   std::move(timing_hook))) {}
Dispatcher::~Dispatcher() = default;

void Dispatcher::SetQueue(const QueueId& queue, const QueueTerms& terms) {
  impl_->SetQueue(queue, terms);
}
void Dispatcher::SetWorkspaceWeights(std::map<WorkspaceId, double> weights) {
  impl_->SetWorkspaceWeights(std::move(weights));
}
void Dispatcher::SetWorkspaceLimits(const WorkspaceId& workspace,
                                    const WorkspaceLimits& limits) {
  impl_->SetWorkspaceLimits(workspace, limits);
}
std::map<WorkspaceId, WorkspaceUse> Dispatcher::workspace_uses() const {
  return impl_->workspace_uses();
}
void Dispatcher::AddJob(const AddedJob& job, Instant now) {
  impl_->AddJob(job, now);
}
void Dispatcher::CancelJob(const JobId& job, Instant now,
                           std::int64_t wall_ms) {
  impl_->CancelJob(job, now, wall_ms);
}
void Dispatcher::AwaitWorkerReports(const std::vector<WorkerId>& workers) {
  impl_->AwaitWorkerReports(workers);
}
void Dispatcher::SetListedWorkers(const std::vector<WorkerSpec>& workers) {
  impl_->SetListedWorkers(workers);
}
void Dispatcher::CloseWorker(const WorkerId& worker, Instant now) {
  impl_->CloseWorker(worker, now);
}
void Dispatcher::ReopenWorker(const WorkerId& worker) {
  impl_->ReopenWorker(worker);
}
bool Dispatcher::IsEmpty(const WorkerId& worker) const {
  const PoolWorker* const it = impl_->workers().Find(worker);
  return it != nullptr && it->has_reported_fully && it->tasks.empty() &&
         it->untracked_runs.empty();
}
bool Dispatcher::HasTasks(const WorkerId& worker) const {
  const PoolWorker* const it = impl_->workers().Find(worker);
  return it != nullptr && !it->tasks.empty();
}
void Dispatcher::OnReport(const WorkerId& worker, const WorkerReport& report,
                          Instant now, std::int64_t wall_ms) {
  // The start of a run that the worker lists has arrived, even if its answer
  // was lost.
  for (const RunningTask& it : report.running)
    impl_->RemoveInFlightStart(it.key, it.run);
  impl_->OnReport(worker, report, now, wall_ms);
}
void Dispatcher::OnStartResult(const WorkerId& worker, const TaskKey& key,
                               std::uint32_t run, StartOutcome outcome,
                               std::int64_t clock_ms, Instant now) {
  impl_->RemoveInFlightStart(key, run);
  impl_->OnStartResult(worker, key, run, outcome, clock_ms, now);
}
void Dispatcher::OnStopResult(const WorkerId& worker, const TaskKey& key,
                              std::uint32_t run,
                              std::optional<std::int64_t> clock_ms,
                              Instant now) {
  impl_->OnStopResult(worker, key, run, clock_ms, now);
}
void Dispatcher::OnStartSettled(const TaskKey& key, std::uint32_t run,
                                bool is_answered, Instant now) {
  impl_->OnStartSettled(key, run, is_answered, now);
}
void Dispatcher::ReleaseHeldTasks(const WorkerId& worker, Instant now) {
  impl_->ReleaseHeldTasks(worker, now);
}
void Dispatcher::OnWorkerUnresponsive(const WorkerId& worker) {
  impl_->OnWorkerUnresponsive(worker);
}
void Dispatcher::OnWorkerGone(const WorkerId& worker, WorkerLoss loss,
                              Instant now, std::int64_t wall_ms) {
  impl_->OnWorkerGone(worker, loss, now, wall_ms);
}
DispatchPlan Dispatcher::Plan(Instant now, std::int64_t wall_ms,
                              bool may_start) {
  return impl_->Plan(now, wall_ms, may_start);
}
ProgressBatch Dispatcher::TakeBatch() { return impl_->TakeBatch(); }
void Dispatcher::OnStored(std::uint64_t number) { impl_->OnStored(number); }

std::uint64_t Dispatcher::AckLimit(const WorkerId& worker) const {
  const PoolWorker* const it = impl_->workers().Find(worker);
  return it == nullptr ? 0 : it->ack_limit;
}

bool Dispatcher::HasUnstoredEnds(const WorkerId& worker) const {
  const PoolWorker* const it = impl_->workers().Find(worker);
  return it != nullptr && !it->unstored_ends.empty();
}

std::vector<JobId> Dispatcher::TakeExpiredJobs(Instant now) {
  return impl_->TakeExpiredJobs(now);
}

std::optional<JobPhase> Dispatcher::ShownPhase(const JobId& job) const {
  const TrackedJob* const it = impl_->FindJob(job);
  if (it == nullptr) return std::nullopt;
  if (IsFinal(it->stored_phase)) return it->stored_phase;
  return it->has_begun ? JobPhase::kRunning : JobPhase::kQueued;
}

std::uint32_t Dispatcher::WaitingJobs(const QueueId& queue) const {
  return impl_->WaitingJobs(queue);
}

DispatchLoad Dispatcher::load() const { return impl_->load(); }

std::optional<PoolBacklog> Dispatcher::backlog(Instant now) {
  return impl_->backlog(now);
}

std::size_t Dispatcher::active_jobs() const { return impl_->unfinished_jobs(); }

std::size_t Dispatcher::running_tasks() const {
  std::size_t n = 0;
  for (const auto& [id, worker] : impl_->workers().all())
    n += worker.tasks.size();
  return n;
}

bool Dispatcher::has_deferred_starts() const {
  return impl_->has_deferred_starts();
}

bool Dispatcher::is_takeover_complete() const {
  return impl_->is_takeover_complete();
}

}  // namespace pomelomill
