#include <algorithm>
#include <cassert>
#include <functional>
#include <tuple>
#include <utility>

#include "dispatcher_impl.h"
#include "job_order.h"
#include "placement.h"

namespace pomelomill {
namespace {

void WakeAt(DispatchPlan& plan, Instant when) {
  if (!plan.again_at || when < *plan.again_at) plan.again_at = when;
}

/// Workers report at least every 600 ms while they answer.
constexpr Duration kRecentReport = std::chrono::milliseconds(1300);

/// A long-running task reports this once it serves.
constexpr std::uint32_t kAtWorkPercent = 100;

}  // namespace

DispatchPlan Dispatcher::Impl::Plan(Instant now, WallMs wall_ms,
                                    bool may_start) {
  DispatchPlan plan;
  search_.reset();
  plan.examined += live_.size();
  for (const auto& [id, job] : live_) {
    if (!job->spec->is_timed()) continue;
    CreateDueOccurrences(*job, wall_ms);
    if (job->next_occurrence < job->spec->runs()) {
      const std::int64_t due_ms =
          job->spec->first_due_ms +
          job->next_occurrence * ToMillis(job->spec->interval);
      WakeAt(plan, now + std::chrono::milliseconds(due_ms - wall_ms));
    }
  }
  PlanEvacuations(now, plan);
  PlanStops(now, plan);
  if (may_start) PlanStarts(now, plan);
  if (search_) plan.examined += search_->examined();
  search_.reset();
  return plan;
}

bool Dispatcher::Impl::MayDisrupt(ActiveJob& job, const TaskKey& key,
                                  bool is_leaving, Instant now,
                                  DispatchPlan& plan) {
  const StepSpec& spec = job.spec->steps[key.step];
  const StepState& step = job.occurrences.at(key.occurrence).steps[key.step];
  // Elsewhere; this worker takes no more tasks.
  if (Search(now, plan).Choose(spec, step, step.tasks[key.index]) == nullptr)
    return false;
  if (is_leaving) return true;
  const bool is_taking_over =
      !unsettled_.empty() ||
      (settled_at_ && now - *settled_at_ < options_.takeover_calm);
  if (is_taking_over) return false;
  std::uint32_t away = 0;
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    const TaskState& it = step.tasks[i];
    const PoolWorker* const worker = workers_.Find(it.worker);
    // What a silent worker runs may have ended with it.
    const bool is_at_work = it.phase == RunPhase::kRunning &&
                            it.percent >= kAtWorkPercent && worker != nullptr &&
                            !worker->is_silent &&
                            now - worker->reported_at < kRecentReport;
    if (i != key.index && !is_at_work) ++away;
  }
  return away < std::max<std::uint32_t>(1, spec.max_unavailable);
}

void Dispatcher::Impl::PlanEvacuations(Instant now, DispatchPlan& plan) {
  plan.examined += workers_.all().size();
  for (auto& [id, worker] : workers_.all()) {
    if (!worker.is_closed && !worker.spec.is_draining) continue;
    const auto closed = closed_.find(id);
    for (const TaskKey& key : worker.tasks) {
      ActiveJob* const job = FindJob(key.job);
      TaskState* const task = job == nullptr ? nullptr : FindTask(*job, key);
      if (task == nullptr || task->phase != RunPhase::kRunning) continue;
      if (job->spec->steps[key.step].is_long_running) {
        if (MayDisrupt(*job, key, worker.spec.is_draining, now, plan))
          RequestStop(key, *task, "evacuation");
        continue;
      }
      if (closed == closed_.end()) continue;
      const Instant limit = closed->second + options_.evacuation_patience;
      if (now >= limit) {
        RequestStop(key, *task, "evacuation");
      } else {
        WakeAt(plan, limit);
      }
    }
  }
}

void Dispatcher::Impl::PlanStops(Instant now, DispatchPlan& plan) {
  plan.stops = std::exchange(stray_stops_, {});
  plan.examined += stopping_.size();
  for (const auto& [id, key] : stopping_) {
    ActiveJob* const job = FindJob(key.job);
    TaskState* const task = job == nullptr ? nullptr : FindTask(*job, key);
    if (task == nullptr || task->is_stop_accepted) continue;
    if (task->stop_again_at > now) {
      WakeAt(plan, task->stop_again_at);
      continue;
    }
    // Until the answer arrives; the answer sets an earlier time.
    task->stop_again_at = now + std::chrono::hours(1);
    plan.stops.push_back({id, key, task->run});
  }
}

PlacementSearch& Dispatcher::Impl::Search(Instant now, DispatchPlan& plan) {
  if (!search_) {
    search_.emplace(workers_, now);
    if (search_->unblocked_at()) WakeAt(plan, *search_->unblocked_at());
  }
  return *search_;
}

const RankInputs& Dispatcher::Impl::RankInputsOf(ActiveJob& job) {
  const Duration seen = run_times_.Expected(job.queue);
  if (!job.rank_inputs || job.rank_inputs->seen != seen)
    job.rank_inputs = pomelomill::RankInputsOf(job, seen);
  assert(*job.rank_inputs == pomelomill::RankInputsOf(job, seen));
  return *job.rank_inputs;
}

bool Dispatcher::Impl::HasWindow(std::size_t starts) const {
  return under_way_.empty() ||
         under_way_.size() + starts <= options_.max_starts_under_way;
}

void Dispatcher::Impl::DeferStarts(Instant now, DispatchPlan& plan) {
  // The rest is planned when answers arrive, in the order of that time.
  has_deferred_starts_ = true;
  WakeAt(plan, now + options_.start_again_after);
}

void Dispatcher::Impl::PlanStarts(Instant now, DispatchPlan& plan) {
  has_deferred_starts_ = false;
  std::vector<ActiveJob*> ready;
  for (const auto& [id, job] : live_) {
    if (job->is_inherited && !unsettled_.empty()) continue;
    if (!ReadySteps(*job).empty()) ready.push_back(job);
  }
  if (ready.empty()) return;
  if (!HasWindow(1)) return DeferStarts(now, plan);
  PlacementSearch& search = Search(now, plan);
  // Equal ranks keep the order of the ids.
  using Entry = std::tuple<JobRank, std::size_t, ActiveJob*>;
  std::vector<Entry> queue;
  for (ActiveJob* const job : ready) {
    // Room only shrinks while a plan is made.
    const auto& steps = ReadySteps(*job);
    if (std::any_of(steps.begin(), steps.end(), [&](const ReadyStep& it) {
          return search.MayFit(job->spec->steps[it.step]);
        })) {
      queue.emplace_back(RankJob(*job, RankInputsOf(*job), PolicyOf(*job), now),
                         queue.size(), job);
    }
  }
  // Most plans place tasks of few jobs: a heap orders no more than those.
  std::make_heap(queue.begin(), queue.end(), std::greater<>());
  for (; !queue.empty(); queue.pop_back()) {
    std::pop_heap(queue.begin(), queue.end(), std::greater<>());
    ActiveJob& job = *std::get<ActiveJob*>(queue.back());
    // Placing tasks changes the job's own list.
    const std::vector<ReadyStep> steps = ReadySteps(job);
    for (const auto& [occurrence, step] : steps) {
      const bool has_window = job.spec->steps[step].is_gang
                                  ? PlanGang(job, occurrence, step, now, plan)
                                  : PlanStep(job, occurrence, step, now, plan);
      if (!has_window) return DeferStarts(now, plan);
    }
  }
}

bool Dispatcher::Impl::MayStart(const ActiveJob& job, const TaskState& task,
                                Instant now, DispatchPlan& plan) const {
  if (task.phase != RunPhase::kWaiting) return false;
  if (job.is_inherited && !unsettled_.empty()) return false;
  if (task.retry_at > now) {
    WakeAt(plan, task.retry_at);
    return false;
  }
  return true;
}

void Dispatcher::Impl::Start(ActiveJob& job, const TaskKey& key,
                             TaskState& task, PoolWorker& worker,
                             std::uint32_t run, Instant now,
                             DispatchPlan& plan) {
  if (time_ && !job.has_started)
    time_(DispatchTime::kStartDelay, job.queue, now - job.accepted_at);
  Place(job, key, task, worker, run, RunPhase::kStarting);
  task.started_at = now;
  const TaskSize& used = worker.used;
  Note("task-start", key, run, worker.spec.id,
       "worker cpu " + std::to_string(used.cpu_millis) + "/" +
           std::to_string(worker.spec.capacity.cpu_millis) + " mem " +
           std::to_string(used.memory_mb) + "/" +
           std::to_string(worker.spec.capacity.memory_mb) + " failures " +
           std::to_string(task.failed_runs.size()));
  under_way_.emplace(key, run);
  plan.starts.push_back({worker.spec.id, key, run, task.saved, job.spec});
}

bool Dispatcher::Impl::PlanStep(ActiveJob& job, std::uint32_t occurrence,
                                std::uint32_t step, Instant now,
                                DispatchPlan& plan) {
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
    if (!MayStart(job, task, now, plan)) continue;
    PoolWorker* const worker = search.Choose(spec, state, task);
    if (worker == nullptr) return true;
    if (!HasWindow(1)) return false;
    const std::uint32_t run = std::max(next_run_, task.run + 1);
    Start(job, {job.id, occurrence, step, i}, task, *worker, run, now, plan);
  }
  return true;
}

bool Dispatcher::Impl::PlanGang(ActiveJob& job, std::uint32_t occurrence,
                                std::uint32_t step, Instant now,
                                DispatchPlan& plan) {
  const StepSpec& spec = job.spec->steps[step];
  StepState& state = job.occurrences.at(occurrence).steps[step];
  PlacementSearch& search = Search(now, plan);
  if (!search.MayFitAll(spec, state.tasks.size())) return true;
  plan.examined += state.tasks.size();
  std::uint32_t run = next_run_;
  for (const TaskState& it : state.tasks) {
    if (!MayStart(job, it, now, plan)) return true;
    run = std::max(run, it.run + 1);
  }
  // All members resume from one checkpoint, whichever member wrote it.
  std::string saved;
  for (const TaskState& it : state.tasks) saved = std::max(saved, it.saved);
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
  const bool has_window = !is_whole || HasWindow(placed.size());
  if (!is_whole || !has_window) search.RollBackGang();
  for (const std::uint32_t i : placed) {
    TaskState& task = state.tasks[i];
    const TaskKey key{job.id, occurrence, step, i};
    if (!is_whole || !has_window) {
      Unplace(job, key, task);
      continue;
    }
    task.saved = saved;
    Note("task-start", key, run, task.worker, "gang");
    under_way_.emplace(key, run);
    plan.starts.push_back({task.worker, key, run, saved, job.spec});
  }
  return has_window;
}

}  // namespace pomelomill
