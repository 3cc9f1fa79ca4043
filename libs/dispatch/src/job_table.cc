#include "job_table.h"

#include <algorithm>
#include <cassert>

namespace pomelomill {
namespace {

std::vector<ReadyStep> FindReadySteps(const TrackedJob& job) {
  std::vector<ReadyStep> ready;
  for (const auto& [number, occurrence] : job.occurrences) {
    if (number >= job.due_occurrences) break;
    for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
      if (occurrence.steps[s].waiting() > 0 && IsReady(job, occurrence, s))
        ready.push_back({number, s});
    }
  }
  return ready;
}

}  // namespace

OccurrenceState MakeOccurrence(const TrackedJob& job,
                               std::uint32_t occurrence) {
  OccurrenceState state;
  for (const StepSpec& it : job.spec->steps) {
    StepState& step = state.steps.emplace_back();
    step.tasks.resize(it.tasks);
  }
  for (const JobProgress::Task& it : job.restored) {
    if (it.occurrence != occurrence || it.step >= state.steps.size()) continue;
    StepState& step = state.steps[it.step];
    if (it.index >= step.tasks.size()) continue;
    TaskState& task = step.tasks[it.index];
    task.failed_runs.insert(it.failed_runs.begin(), it.failed_runs.end());
    task.crashed_runs.insert(it.crashed_runs.begin(), it.crashed_runs.end());
    for (const auto* runs : {&task.failed_runs, &task.crashed_runs})
      if (!runs->empty()) task.run = std::max(task.run, *runs->rbegin());
    task.unfinished_run = it.unfinished_run;
    task.checkpoint = it.checkpoint;
    if (!it.is_done || task.phase == RunPhase::kDone) continue;
    task.phase = RunPhase::kDone;
    ++step.done;
  }
  for (const StepState& it : state.steps) state.done_steps += it.is_done();
  return state;
}

TaskState* FindTask(TrackedJob& job, const TaskKey& key) {
  const auto it = job.occurrences.find(key.occurrence);
  if (it == job.occurrences.end()) return nullptr;
  if (key.step >= it->second.steps.size()) return nullptr;
  auto& tasks = it->second.steps[key.step].tasks;
  return key.index < tasks.size() ? &tasks[key.index] : nullptr;
}

bool IsReady(const TrackedJob& job, const OccurrenceState& occurrence,
             std::size_t step) {
  const auto& after = job.spec->steps[step].after;
  return std::all_of(after.begin(), after.end(), [&](std::uint32_t it) {
    return occurrence.steps[it].is_done();
  });
}

const std::vector<ReadyStep>& ReadySteps(TrackedJob& job) {
  if (!job.cached_ready_steps) job.cached_ready_steps = FindReadySteps(job);
  assert(*job.cached_ready_steps == FindReadySteps(job));
  return *job.cached_ready_steps;
}

JobProgress ProgressOf(const TrackedJob& job) {
  JobProgress progress;
  progress.phase = job.phase;
  progress.ended_ms = job.ended_wall_ms;
  if (job.is_final()) return progress;
  if (progress.phase == JobPhase::kQueued && job.has_begun)
    progress.phase = JobPhase::kRunning;
  // Tasks of finished occurrences, and of occurrences that are not due yet.
  for (const JobProgress::Task& it : job.restored) {
    if (!job.occurrences.contains(it.occurrence)) progress.tasks.push_back(it);
  }
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
      const auto& tasks = occurrence.steps[s].tasks;
      for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        const bool is_done = tasks[i].phase == RunPhase::kDone;
        if (!is_done && tasks[i].failed_runs.empty() &&
            tasks[i].crashed_runs.empty() && tasks[i].checkpoint.empty())
          continue;
        progress.tasks.push_back(
            {.occurrence = number,
             .step = s,
             .index = i,
             .is_done = is_done,
             .failed_runs = {tasks[i].failed_runs.begin(),
                             tasks[i].failed_runs.end()},
             .crashed_runs = {tasks[i].crashed_runs.begin(),
                              tasks[i].crashed_runs.end()},
             .unfinished_run = tasks[i].crashed_runs.empty() ? 0
                               : tasks[i].is_placed()        ? tasks[i].run
                                                      : tasks[i].unfinished_run,
             .checkpoint = is_done ? std::string() : tasks[i].checkpoint});
      }
    }
  }
  return progress;
}

}  // namespace pomelomill
