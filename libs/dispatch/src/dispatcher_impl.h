#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "job_rank.h"
#include "job_table.h"
#include "open_starts.h"
#include "placement.h"
#include "pomelomill/dispatch/dispatcher.h"
#include "recent_crashes.h"
#include "worker_table.h"
#include "workspace_usage.h"

namespace pomelomill {

/// Implementation of Dispatcher. dispatcher.cc handles jobs and batches,
/// dispatcher_reports.cc the workers' reports and answers, dispatcher_plan.cc
/// the choice of orders, and dispatcher_crashes.cc tasks on workers that crash.
class Dispatcher::Impl {
 public:
  Impl(const DispatcherOptions& options, DispatchEventHook event_hook,
       TimingHook timing_hook)
      : options_(options),
        event_hook_(std::move(event_hook)),
        timing_hook_(std::move(timing_hook)),
        next_run_(options.first_run),
        open_starts_(options.late_start_lifetime),
        recent_crashes_(options.shared_crash_window,
                        options.shared_crash_workers) {}

  void SetQueue(const QueueId& queue, const QueueTerms& terms);
  void SetWorkspaceWeights(std::map<WorkspaceId, double> weights) {
    workspaces_.SetWeights(std::move(weights));
  }
  void SetWorkspaceLimits(const WorkspaceId& workspace,
                          const WorkspaceLimits& limits) {
    workspaces_.SetLimits(workspace, limits);
  }
  std::map<WorkspaceId, WorkspaceUse> workspace_uses();
  void AddJob(const AddedJob& added, Instant now);
  void CancelJob(const JobId& id, Instant now, std::int64_t wall_ms);

  void AwaitWorkerReports(const std::vector<WorkerId>& workers);
  void SetListedWorkers(const std::vector<WorkerSpec>& workers);
  void CloseWorker(const WorkerId& id, Instant now);
  void ReopenWorker(const WorkerId& id);
  void OnReport(const WorkerId& id, const WorkerReport& report, Instant now,
                std::int64_t wall_ms);
  void OnStartResult(const WorkerId& worker, const TaskKey& key,
                     std::uint32_t run, StartOutcome outcome,
                     std::int64_t clock_ms, Instant now);
  void OnStopResult(const WorkerId& worker, const TaskKey& key,
                    std::uint32_t run, std::optional<std::int64_t> clock_ms,
                    Instant now);
  void OnStartSettled(const TaskKey& key, std::uint32_t run, bool is_answered,
                      Instant now) {
    open_starts_.Settle(key, run, is_answered, now);
  }
  /// Holds back the waiting tasks of which the worker's next incarnation may
  /// carry out a start.
  void HoldOpenTasks(const WorkerId& id, Instant now);
  void ReleaseHeldTasks(const WorkerId& id, Instant now);
  void OnWorkerUnresponsive(const WorkerId& id);
  void OnWorkerGone(const WorkerId& id, WorkerLoss loss, Instant now,
                    std::int64_t wall_ms);

  /// Removes a start from those in flight, if it is there.
  void RemoveInFlightStart(const TaskKey& key, std::uint32_t run);

  DispatchPlan Plan(Instant now, std::int64_t wall_ms, bool may_start);

  ProgressBatch TakeBatch();
  void OnStored(std::uint64_t number);
  std::vector<JobId> TakeExpiredJobs(Instant now);

  TrackedJob* FindJob(const JobId& id);
  const TrackedJob* FindJob(const JobId& id) const;
  DispatchLoad load() const;
  std::optional<PoolBacklog> backlog(Instant now);
  /// Whether the worker uses few of its cores and runs no long-running task.
  bool IsLightlyLoaded(const PoolWorker& worker) const;
  std::uint32_t WaitingJobs(const QueueId& queue) const;

  std::size_t unfinished_jobs() const { return unfinished_jobs_.size(); }
  const WorkerTable& workers() const { return workers_; }
  bool has_deferred_starts() const { return has_deferred_starts_; }
  bool is_takeover_complete() const { return awaited_workers_.empty(); }

 private:
  using WallMs = std::int64_t;

  /// A backlog is computed at most this often.
  static constexpr Duration kBacklogInterval = std::chrono::milliseconds(200);

  std::optional<PoolBacklog> ComputeBacklog(Instant now);
  /// Returns the cores of the job's ready tasks that its workspace's limit
  /// admits, in thousandths.
  std::uint64_t ReadyCpu(TrackedJob& job) const;

  /// Returns the terms that apply to the job; null when they are unknown.
  const QueueTerms* FindTerms(const TrackedJob& job) const;
  /// Returns the policy by which the job is ranked: that of its terms, else one
  /// of the lowest priority.
  const QueuePolicy& RankingPolicyOf(const TrackedJob& job) const;
  /// Whether the task has failed and its attempts are unknown.
  bool AwaitsTerms(const TrackedJob& job, const StepSpec& step,
                   const TaskState& task) const;
  /// Returns the failed runs that count against the task: its own or those of
  /// its gang, none for a long-running task.
  std::size_t CountFailedRuns(const TrackedJob& job, const TaskKey& key) const;
  /// Fails the job if the task has used up its attempts. The worker is that of
  /// the latest failed run, empty if unknown.
  void JudgeFailedRuns(TrackedJob& job, const TaskKey& key,
                       const WorkerId& worker, Instant now, WallMs wall_ms);
  /// Fails the jobs with a task that has used up its attempts, after terms have
  /// become known or have changed.
  void JudgeAllFailedRuns(Instant now, WallMs wall_ms, DispatchPlan& plan);
  void RecordEvent(const char* event, const TaskKey& key, std::uint32_t run,
                   const WorkerId& worker, std::string detail = {});

  void RecordCapacityChange(const PoolWorker& worker, const TaskSize& capacity);

  /// Marks the job's progress to be stored and invalidates its cached values.
  void MarkDirty(TrackedJob& job);
  /// Drops the cached values that are derived from the job's tasks.
  void InvalidateCachedValues(TrackedJob& job);
  /// A worker has begun a run of some task of the job.
  void MarkBegun(TrackedJob& job);
  /// Moves the job to a final phase; its tasks are stopped by the next plan.
  void EndJob(TrackedJob& job, JobPhase phase, Instant now, WallMs wall_ms);
  /// Frees the tasks of a finished job once none of them is placed.
  void FreeTasksOfEndedJob(TrackedJob& job);
  void CreateDueOccurrences(TrackedJob& job, WallMs wall_ms);
  /// Creates the tasks of the occurrences before `end` that do not exist yet.
  void CreateOccurrences(TrackedJob& job, std::uint32_t end);
  /// Returns the task of which a worker reports a run; null when its job is
  /// unknown, its occurrence is finished or there is no such task. The job has
  /// begun. An occurrence that is not due by this owner's clock exists from
  /// then on: an earlier owner, whose clock may be ahead, has started it.
  TaskState* FindReportedTask(const TaskKey& key);

  /// Assigns the task to the worker and reserves the capacity for it.
  void Place(TrackedJob& job, const TaskKey& key, TaskState& task,
             PoolWorker& worker, std::uint32_t run, RunPhase phase);
  /// Releases the task's worker once the run is certainly over; the task waits
  /// again.
  void Unplace(TrackedJob& job, const TaskKey& key, TaskState& task);
  void RequestStop(const TaskKey& key, TaskState& task, const char* reason);

  /// Processes the restart of a worker under the same id: requests the stop of
  /// its runs that `report` does not list, except of starts without an answer,
  /// and forgets the end numbers and the clock of the previous incarnation. The
  /// restart is a crash unless it was planned.
  void BeginIncarnation(PoolWorker& worker, const WorkerReport& report,
                        Instant now, WallMs wall_ms);
  void RemoveWorker(const WorkerId& id, PoolWorker& worker, WorkerLoss loss,
                    Instant now, WallMs wall_ms);
  /// Unplaces all tasks of a worker that is gone and resets its state. Tasks
  /// with an open start are held back.
  void ResetWorker(const WorkerId& id, PoolWorker& worker, Instant now);
  void OnEnd(const WorkerId& id, PoolWorker& worker, const EndedTask& end,
             Instant now, WallMs wall_ms);
  void OnDone(TrackedJob& job, const TaskKey& key, TaskState& task, Instant now,
              WallMs wall_ms);
  void OnFailed(const WorkerId& id, PoolWorker& worker, TrackedJob& job,
                const TaskKey& key, TaskState& task, Instant now,
                WallMs wall_ms);
  void OnRunning(const WorkerId& id, PoolWorker& worker,
                 const RunningTask& running, std::int64_t clock_ms);
  /// Unplaces the tasks whose runs the report proves to be over, and stops
  /// unanswered starts that it does not list.
  void CheckMissing(const WorkerId& id, PoolWorker& worker,
                    const WorkerReport& report);

  /// Whether the task is suspected of causing crashes and therefore gets a
  /// worker for itself.
  bool MustRunAlone(const StepSpec& step, const TaskState& task) const;
  /// Whether a crash of the worker that is noticed now, and whose last report
  /// came at `last_report`, may be the work of the task. After a long silence
  /// its run may have ended before the crash. A long-running task shares its
  /// worker with many others in turn, and is blamed only for a crash soon after
  /// its start.
  bool MayHaveCausedCrash(const StepSpec& step, const TaskState& task,
                          Instant last_report, Instant now) const;
  /// Counts the crash of a worker against those of the tasks on it that may
  /// have caused it.
  void CountCrash(const PoolWorker& worker, const std::vector<TaskKey>& keys,
                  Instant now, WallMs wall_ms);
  /// After a takeover, counts a crash against each task whose unfinished run no
  /// worker has listed.
  void CountUnfinishedRuns(Instant now, WallMs wall_ms);
  /// Fails the job when its task has certainly caused crashes; otherwise lets
  /// the task run alone if it is suspected.
  void JudgeCrashes(const WorkerId& id, const TaskKey& key, Instant now,
                    WallMs wall_ms);
  /// Starts the suspected tasks, each on a worker of its own. Returns false
  /// when too many starts are in flight to send the next one.
  bool PlanTasksToRunAlone(Instant now, DispatchPlan& plan);
  /// Forgets tasks that need not run alone any more, and their reservations.
  void UpdateReservations(Instant now);
  /// Returns the worker that is reserved for the task once only long-running
  /// tasks are left on it, else null; reserves one if there is none yet.
  PoolWorker* FindReservedWorker(const StepSpec& step, const TaskKey& key,
                                 Instant now);

  /// The worker has reported or is gone; completes the takeover when no other
  /// report is awaited.
  void StopAwaiting(const WorkerId& id, Instant now);
  void PlanEvacuations(Instant now, DispatchPlan& plan);
  /// Whether a long-running task may be evacuated: another worker has capacity
  /// and, unless the worker is draining, no takeover is in progress or recent
  /// and fewer than max(1, `max_unavailable`) other tasks of the step are
  /// unavailable.
  bool MayEvacuate(TrackedJob& job, const TaskKey& key, bool is_draining,
                   Instant now, DispatchPlan& plan);
  /// Returns the sizes of the tasks that are held back, which may run.
  std::map<WorkspaceId, ResourceAmount> HeldAmounts();
  /// Computes the part of the pool that each workspace gets by its weight.
  /// `ready` are the jobs with ready tasks.
  void PlanFairShares(const std::vector<TrackedJob*>& ready, Instant now,
                      DispatchPlan& plan);
  /// Counts the start of a task in the part of the pool that its workspace has
  /// had.
  void ChargeStart(const TrackedJob& job, const StepSpec& step, Instant now);
  void PlanStops(Instant now, DispatchPlan& plan);
  void PlanStarts(Instant now, DispatchPlan& plan);
  /// Whether `starts` more starts may be sent. Any number may be sent when none
  /// is in flight; otherwise a gang larger than the limit would never start.
  bool IsWithinStartLimit(std::size_t starts) const;
  /// Starts the ready tasks of a step until the job is outranked. Returns false
  /// when too many starts are in flight to send the next one.
  bool PlanStep(TrackedJob& job, std::uint32_t occurrence, std::uint32_t step,
                const std::function<bool()>& is_outranked, Instant now,
                DispatchPlan& plan);
  /// As PlanStep(), for a step whose tasks must all start together.
  bool PlanGang(TrackedJob& job, std::uint32_t occurrence, std::uint32_t step,
                Instant now, DispatchPlan& plan);
  /// Returns the placement search of the current plan.
  PlacementSearch& Search(Instant now, DispatchPlan& plan);
  /// Returns the inputs, computed anew when the job or the mean run time has
  /// changed.
  const RankInputs& CachedRankInputs(TrackedJob& job);
  /// Leaves the remaining starts to a later plan because too many starts are in
  /// flight.
  void DeferStarts(Instant now, DispatchPlan& plan);
  bool MayStart(const TrackedJob& job, const TaskState& task, Instant now,
                DispatchPlan& plan) const;
  void Start(TrackedJob& job, const TaskKey& key, TaskState& task,
             PoolWorker& worker, std::uint32_t run, Instant now,
             DispatchPlan& plan);

  DispatcherOptions options_;
  DispatchEventHook event_hook_;
  TimingHook timing_hook_;
  std::uint32_t next_run_;
  std::map<QueueId, QueueTerms> queues_;
  /// Terms or restored failed runs are not judged yet.
  bool must_judge_failed_runs_ = false;
  RunTimes run_times_;
  std::map<JobId, TrackedJob> jobs_;
  /// Jobs whose phase is not final. A separate index, because finished jobs are
  /// retained for minutes and would be most of the jobs that a plan examines.
  std::map<JobId, TrackedJob*> unfinished_jobs_;
  /// Results of WaitingJobs(); invalidated when a job starts, ends or is added.
  mutable std::optional<std::map<QueueId, std::uint32_t>> cached_waiting_jobs_;
  /// Placed tasks for which a stop was requested.
  std::set<std::pair<WorkerId, TaskKey>> stopping_tasks_;
  /// Closed workers and the times at which they were closed.
  std::map<WorkerId, Instant> closed_since_;
  WorkerTable workers_;
  WorkspaceUsage workspaces_;
  /// Workers that may run inherited tasks and have not reported yet.
  std::set<WorkerId> awaited_workers_;
  /// When the last awaited worker reported or was gone; unset when no report
  /// was ever awaited.
  std::optional<Instant> takeover_completed_at_;
  /// Stops of reported runs that do not match a task of this owner.
  std::vector<StopOrder> untracked_stops_;
  /// Starts that were sent and have no known outcome yet.
  std::set<std::pair<TaskKey, std::uint32_t>> in_flight_starts_;
  OpenStarts open_starts_;
  /// Tasks that are held back, by the worker on which they were.
  std::map<WorkerId, std::set<TaskKey>> held_tasks_;
  bool has_deferred_starts_ = false;
  RecentCrashes recent_crashes_;
  /// Unfinished tasks for which MustRunAlone() holds.
  std::set<TaskKey> tasks_to_run_alone_;
  /// Inherited tasks with an unfinished run.
  std::set<TaskKey> unfinished_runs_;
  /// The latest backlog and when it was computed.
  std::optional<PoolBacklog> backlog_;
  std::optional<Instant> backlog_at_;
  /// Set only while a plan is being made.
  std::optional<PlacementSearch> search_;
  /// Jobs whose progress has changed since the last batch.
  std::set<JobId> dirty_;
  std::uint64_t last_batch_ = 0;
  std::uint64_t stored_batch_ = 0;
  /// Finished jobs and the number of the batch that stores their final phase.
  std::deque<std::pair<std::uint64_t, JobId>> unstored_final_phases_;
};

}  // namespace pomelomill
