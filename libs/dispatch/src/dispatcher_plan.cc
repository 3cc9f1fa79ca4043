#include <algorithm>
#include <cassert>
#include <functional>
#include <tuple>
#include <utility>

#include "dispatcher_impl.h"
#include "job_rank.h"
#include "placement.h"

namespace pomelomill {
namespace {

void PlanNoLaterThan(DispatchPlan& plan, Instant when) {
  if (!plan.next_plan_at || when < *plan.next_plan_at) plan.next_plan_at = when;
}

/// A worker may have failed when its last report is older than this; a
/// responsive worker sends a report at least every 600 ms.
constexpr Duration kMaxReportAge = std::chrono::milliseconds(1300);

/// A long-running task reports this speed once it serves requests.
constexpr std::uint32_t kServingSpeedPercent = 100;

}  // namespace

DispatchPlan Dispatcher::Impl::Plan(Instant now, WallMs wall_ms,
                                    bool may_start) {
  DispatchPlan plan;
  search_.reset();
  plan.examined += unfinished_jobs_.size();
  for (const auto& [id, job] : unfinished_jobs_) {
    if (!job->spec->is_timed()) continue;
    CreateDueOccurrences(*job, wall_ms);
    if (job->due_occurrences < job->spec->total_occurrences()) {
      const std::int64_t due_ms = job->spec->DueMs(job->due_occurrences);
      PlanNoLaterThan(plan, now + std::chrono::milliseconds(due_ms - wall_ms));
    }
  }
  if (std::exchange(must_judge_failed_runs_, false))
    JudgeAllFailedRuns(now, wall_ms, plan);
  if (awaited_workers_.empty()) CountUnfinishedRuns(now, wall_ms);
  PlanEvacuations(now, plan);
  PlanStops(now, plan);
  if (may_start) PlanStarts(now, plan);
  if (search_) plan.examined += search_->examined();
  search_.reset();
  return plan;
}

bool Dispatcher::Impl::MayEvacuate(TrackedJob& job, const TaskKey& key,
                                   bool is_draining, Instant now,
                                   DispatchPlan& plan) {
  const StepSpec& spec = job.spec->steps[key.step];
  const StepState& step = job.occurrences.at(key.occurrence).steps[key.step];
  // Choose() returns another worker: this worker is draining or closed and gets
  // no tasks.
  if (Search(now, plan).Choose(spec, step, step.tasks[key.index]) == nullptr)
    return false;
  // It would not be started elsewhere before all workers have reported.
  if (job.is_inherited && !awaited_workers_.empty()) return false;
  if (is_draining) return true;
  const bool is_taking_over =
      !awaited_workers_.empty() ||
      (takeover_completed_at_ &&
       now - *takeover_completed_at_ < options_.takeover_disruption_delay);
  if (is_taking_over) return false;
  std::uint32_t unavailable = 0;
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    const TaskState& it = step.tasks[i];
    const PoolWorker* const worker = workers_.Find(it.worker);
    // The tasks of an unresponsive worker may have ended with the worker.
    const bool is_serving = it.phase == RunPhase::kRunning &&
                            it.speed_percent >= kServingSpeedPercent &&
                            worker != nullptr && !worker->is_unresponsive &&
                            now - worker->reported_at < kMaxReportAge;
    if (i != key.index && !is_serving) ++unavailable;
  }
  return unavailable < std::max<std::uint32_t>(1, spec.max_unavailable);
}

void Dispatcher::Impl::PlanEvacuations(Instant now, DispatchPlan& plan) {
  plan.examined += workers_.all().size();
  for (auto& [id, worker] : workers_.all()) {
    if (!worker.is_closed && !worker.spec.is_draining) continue;
    const auto closed = closed_since_.find(id);
    for (const TaskKey& key : worker.tasks) {
      TrackedJob* const job = FindJob(key.job);
      TaskState* const task = job == nullptr ? nullptr : FindTask(*job, key);
      if (task == nullptr || task->phase != RunPhase::kRunning) continue;
      if (job->spec->steps[key.step].is_long_running) {
        if (MayEvacuate(*job, key, worker.spec.is_draining, now, plan))
          RequestStop(key, *task, "evacuation");
        continue;
      }
      if (closed == closed_since_.end()) continue;
      const Instant limit = closed->second + options_.evacuation_grace_period;
      if (now >= limit) {
        RequestStop(key, *task, "evacuation");
      } else {
        PlanNoLaterThan(plan, limit);
      }
    }
  }
}

void Dispatcher::Impl::PlanStops(Instant now, DispatchPlan& plan) {
  plan.stops = std::exchange(untracked_stops_, {});
  plan.examined += stopping_tasks_.size();
  for (const auto& [id, key] : stopping_tasks_) {
    TrackedJob* const job = FindJob(key.job);
    TaskState* const task = job == nullptr ? nullptr : FindTask(*job, key);
    if (task == nullptr || task->is_stop_accepted) continue;
    if (task->resend_stop_at > now) {
      PlanNoLaterThan(plan, task->resend_stop_at);
      continue;
    }
    // The stop is not repeated while its answer is pending; OnStopResult() sets
    // an earlier time when the call ends without an answer.
    task->resend_stop_at = now + std::chrono::hours(1);
    plan.stops.push_back({id, key, task->run});
  }
}

PlacementSearch& Dispatcher::Impl::Search(Instant now, DispatchPlan& plan) {
  if (!search_) {
    search_.emplace(workers_, now);
    if (search_->unblocked_at())
      PlanNoLaterThan(plan, *search_->unblocked_at());
  }
  return *search_;
}

const RankInputs& Dispatcher::Impl::CachedRankInputs(TrackedJob& job) {
  const Duration mean_run_time = run_times_.MeanOf(job.queue);
  if (!job.cached_rank_inputs ||
      job.cached_rank_inputs->mean_run_time != mean_run_time)
    job.cached_rank_inputs = ComputeRankInputs(job, mean_run_time);
  assert(*job.cached_rank_inputs == ComputeRankInputs(job, mean_run_time));
  return *job.cached_rank_inputs;
}

bool Dispatcher::Impl::IsWithinStartLimit(std::size_t starts) const {
  return in_flight_starts_.empty() ||
         in_flight_starts_.size() + starts <= options_.max_in_flight_starts;
}

void Dispatcher::Impl::DeferStarts(Instant now, DispatchPlan& plan) {
  // The remaining jobs wait for a plan that ranks them again: after the next
  // answer, or at the latest after this interval.
  has_deferred_starts_ = true;
  PlanNoLaterThan(plan, now + options_.deferred_start_interval);
}

std::map<WorkspaceId, ResourceAmount> Dispatcher::Impl::HeldAmounts() {
  std::map<WorkspaceId, ResourceAmount> held;
  for (const auto& [worker, keys] : held_tasks_) {
    for (const TaskKey& key : keys) {
      TrackedJob* const job = FindJob(key.job);
      if (job == nullptr || job->workspace.empty()) continue;
      const TaskState* const task = FindTask(*job, key);
      if (task == nullptr || task->phase != RunPhase::kWaiting ||
          task->held_for != worker)
        continue;
      ResourceAmount& amount = held[job->workspace];
      amount = amount + Times(job->spec->steps[key.step].size, 1);
    }
  }
  return held;
}

std::map<WorkspaceId, WorkspaceUse> Dispatcher::Impl::workspace_uses() {
  workspaces_.SetHeld(HeldAmounts());
  return workspaces_.uses();
}

void Dispatcher::Impl::ChargeStart(const TrackedJob& job, const StepSpec& step,
                                   Instant now) {
  if (job.workspace.empty()) return;
  const Duration mean = run_times_.MeanOf(job.queue);
  workspaces_.Charge(job.workspace, step.size,
                     mean == Duration(0) ? step.estimate : mean, now);
}

void Dispatcher::Impl::PlanFairShares(const std::vector<TrackedJob*>& ready,
                                      Instant now, DispatchPlan& plan) {
  std::map<WorkspaceId, ResourceAmount> waiting;
  for (TrackedJob* const job : ready) {
    if (job->workspace.empty()) continue;
    ResourceAmount& amount = waiting[job->workspace];
    for (const ReadyStep& it : ReadySteps(*job)) {
      const StepState& step = job->occurrences.at(it.occurrence).steps[it.step];
      amount = amount + Times(job->spec->steps[it.step].size, step.waiting());
    }
  }
  if (waiting.empty() && workspaces_.is_idle()) return;
  plan.examined += workers_.all().size();
  ResourceAmount capacity;
  ResourceAmount used;
  for (const auto& [id, worker] : workers_.all()) {
    if (!worker.is_listed || worker.is_unresponsive || worker.is_closed)
      continue;
    capacity = capacity + Times(worker.spec.capacity, 1);
    used = used + Times(worker.used, 1);
  }
  workspaces_.BeginPlan(std::move(waiting), capacity, used, now);
}

void Dispatcher::Impl::PlanStarts(Instant now, DispatchPlan& plan) {
  has_deferred_starts_ = false;
  if (!workspaces_.is_idle()) workspaces_.SetHeld(HeldAmounts());
  if (!PlanTasksToRunAlone(now, plan)) return DeferStarts(now, plan);
  std::vector<TrackedJob*> ready;
  for (const auto& [id, job] : unfinished_jobs_) {
    if (job->is_inherited && !awaited_workers_.empty()) continue;
    if (!ReadySteps(*job).empty()) ready.push_back(job);
  }
  PlanFairShares(ready, now, plan);
  if (ready.empty()) return;
  if (!IsWithinStartLimit(1)) return DeferStarts(now, plan);
  PlacementSearch& search = Search(now, plan);
  // Jobs of equal rank are ordered by id.
  using Entry = std::tuple<JobRank, std::size_t, TrackedJob*>;
  std::vector<Entry> queue;
  for (TrackedJob* const job : ready) {
    // Free capacity only shrinks while a plan is made, so that a step that does
    // not fit now will not fit later in this plan.
    const auto& steps = ReadySteps(*job);
    if (std::any_of(steps.begin(), steps.end(), [&](const ReadyStep& it) {
          return search.MayFit(job->spec->steps[it.step]);
        })) {
      queue.emplace_back(
          RankJob(*job, CachedRankInputs(*job), RankingPolicyOf(*job), now),
          queue.size(), job);
    }
  }
  // A heap instead of a sort: most plans place the tasks of only a few jobs.
  std::make_heap(queue.begin(), queue.end(), std::greater<>());
  while (!queue.empty()) {
    std::pop_heap(queue.begin(), queue.end(), std::greater<>());
    JobRank& rank = std::get<JobRank>(queue.back());
    TrackedJob& job = *std::get<TrackedJob*>(queue.back());
    // Placing tasks has raised the excess of the workspace: jobs of others may
    // come first now.
    const auto is_outranked = [&] {
      return rank.tier == JobRank::Tier::kOrdinary &&
             workspaces_.Excess(job.workspace) > rank.excess;
    };
    const auto requeue = [&] {
      rank.excess = workspaces_.Excess(job.workspace);
      std::push_heap(queue.begin(), queue.end(), std::greater<>());
    };
    if (is_outranked()) {
      requeue();
      continue;
    }
    // A copy, because placing tasks changes the job's list of ready steps.
    const std::vector<ReadyStep> steps = ReadySteps(job);
    for (const auto& [occurrence, step] : steps) {
      const bool is_within_limit =
          job.spec->steps[step].is_gang
              ? PlanGang(job, occurrence, step, now, plan)
              : PlanStep(job, occurrence, step, is_outranked, now, plan);
      if (!is_within_limit) return DeferStarts(now, plan);
    }
    if (is_outranked() && !ReadySteps(job).empty()) {
      requeue();
    } else {
      queue.pop_back();
    }
  }
}

bool Dispatcher::Impl::MayStart(const TrackedJob& job, const TaskState& task,
                                Instant now, DispatchPlan& plan) const {
  if (task.phase != RunPhase::kWaiting) return false;
  if (job.is_inherited && !awaited_workers_.empty()) return false;
  if (task.retry_at > now) {
    PlanNoLaterThan(plan, task.retry_at);
    return false;
  }
  return true;
}

void Dispatcher::Impl::Start(TrackedJob& job, const TaskKey& key,
                             TaskState& task, PoolWorker& worker,
                             std::uint32_t run, Instant now,
                             DispatchPlan& plan) {
  if (timing_hook_ && !job.was_placed)
    timing_hook_(DispatchTiming::kStartDelay, job.queue, now - job.added_at);
  Place(job, key, task, worker, run, RunPhase::kStarting);
  ChargeStart(job, job.spec->steps[key.step], now);
  task.started_at = now;
  const TaskSize& used = worker.used;
  RecordEvent("task-start", key, run, worker.spec.id,
              "worker cpu " + std::to_string(used.cpu_millis) + "/" +
                  std::to_string(worker.spec.capacity.cpu_millis) + " mem " +
                  std::to_string(used.memory_mb) + "/" +
                  std::to_string(worker.spec.capacity.memory_mb) +
                  " failures " + std::to_string(task.failed_runs.size()));
  in_flight_starts_.emplace(key, run);
  open_starts_.Add(worker.spec.id, key, run);
  plan.starts.push_back({worker.spec.id, key, run, task.checkpoint, job.spec});
}

bool Dispatcher::Impl::PlanStep(TrackedJob& job, std::uint32_t occurrence,
                                std::uint32_t step,
                                const std::function<bool()>& is_outranked,
                                Instant now, DispatchPlan& plan) {
  const StepSpec& spec = job.spec->steps[step];
  StepState& state = job.occurrences.at(occurrence).steps[step];
  PlacementSearch& search = Search(now, plan);
  if (!search.MayFit(spec)) return true;
  std::uint32_t& first = state.first_waiting;
  while (first < state.tasks.size() &&
         state.tasks[first].phase != RunPhase::kWaiting)
    ++first;
  for (std::uint32_t i = first; i < state.tasks.size(); ++i) {
    ++plan.examined;
    TaskState& task = state.tasks[i];
    if (!MayStart(job, task, now, plan) || AwaitsTerms(job, spec, task) ||
        MustRunAlone(spec, task))
      continue;
    if (!workspaces_.MayPlace(job.workspace, spec.size, 1) || is_outranked())
      return true;
    PoolWorker* const worker = search.Choose(spec, state, task);
    if (worker == nullptr) return true;
    if (!IsWithinStartLimit(1)) return false;
    const std::uint32_t run = std::max(next_run_, task.run + 1);
    Start(job, {job.id, occurrence, step, i}, task, *worker, run, now, plan);
  }
  return true;
}

bool Dispatcher::Impl::PlanGang(TrackedJob& job, std::uint32_t occurrence,
                                std::uint32_t step, Instant now,
                                DispatchPlan& plan) {
  const StepSpec& spec = job.spec->steps[step];
  StepState& state = job.occurrences.at(occurrence).steps[step];
  PlacementSearch& search = Search(now, plan);
  if (!search.MayFitAll(spec, state.tasks.size())) return true;
  if (!workspaces_.MayPlace(job.workspace, spec.size, state.tasks.size()))
    return true;
  plan.examined += state.tasks.size();
  std::uint32_t run = next_run_;
  for (const TaskState& it : state.tasks) {
    if (!MayStart(job, it, now, plan) || AwaitsTerms(job, spec, it))
      return true;
    run = std::max(run, it.run + 1);
  }
  // All members must resume from the same checkpoint: the greatest text of
  // those that the members have, whichever member wrote it.
  std::string checkpoint;
  for (const TaskState& it : state.tasks)
    checkpoint = std::max(checkpoint, it.checkpoint);
  search.BeginGang();
  std::vector<std::uint32_t> placed;
  for (std::uint32_t i = 0; i < state.tasks.size(); ++i) {
    TaskState& task = state.tasks[i];
    PoolWorker* const worker = search.Choose(spec, state, task);
    if (worker == nullptr) break;
    Place(job, {job.id, occurrence, step, i}, task, *worker, run,
          RunPhase::kStarting);
    placed.push_back(i);
  }
  const bool is_whole = placed.size() == state.tasks.size();
  const bool is_within_limit = !is_whole || IsWithinStartLimit(placed.size());
  if (!is_whole || !is_within_limit) search.RollBackGang();
  for (const std::uint32_t i : placed) {
    TaskState& task = state.tasks[i];
    const TaskKey key{job.id, occurrence, step, i};
    if (!is_whole || !is_within_limit) {
      Unplace(job, key, task);
      continue;
    }
    task.checkpoint = checkpoint;
    ChargeStart(job, spec, now);
    RecordEvent("task-start", key, run, task.worker, "gang");
    in_flight_starts_.emplace(key, run);
    open_starts_.Add(task.worker, key, run);
    plan.starts.push_back({task.worker, key, run, checkpoint, job.spec});
  }
  return is_within_limit;
}

}  // namespace pomelomill
