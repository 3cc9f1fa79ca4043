#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "job_order.h"
#include "job_table.h"
#include "placement.h"
#include "pomelomill/dispatch/dispatcher.h"
#include "worker_table.h"

namespace pomelomill {

/// State behind Dispatcher. Jobs and batches are in dispatcher.cc, what
/// workers say in dispatcher_reports.cc, the choice of orders in
/// dispatcher_plan.cc.
class Dispatcher::Impl {
 public:
  Impl(const DispatcherOptions& options, NoteHook note, TimeHook time)
      : options_(options),
        note_(std::move(note)),
        time_(std::move(time)),
        next_run_(options.first_run) {}

  void SetQueue(const QueueId& queue, const QueuePolicy& policy);
  void AddJob(const AddedJob& added, Instant now);
  void CancelJob(const JobId& id, Instant now, std::int64_t wall_ms);

  void ExpectWorkers(const std::vector<WorkerId>& workers);
  void ListWorkers(const std::vector<WorkerSpec>& workers);
  void CloseWorker(const WorkerId& id, Instant now);
  void ReopenWorker(const WorkerId& id);
  void OnReport(const WorkerId& id, const WorkerReport& report, Instant now,
                std::int64_t wall_ms);
  void OnStart(const WorkerId& worker, const TaskKey& key, std::uint32_t run,
               StartOutcome outcome, std::int64_t clock_ms, Instant now);
  void OnStop(const WorkerId& worker, const TaskKey& key, std::uint32_t run,
              std::optional<std::int64_t> clock_ms, Instant now);
  void OnWorkerSilent(const WorkerId& id);
  void OnWorkerGone(const WorkerId& id, Instant now);

  /// The start is no longer under way.
  void SettleStart(const TaskKey& key, std::uint32_t run);

  DispatchPlan Plan(Instant now, std::int64_t wall_ms, bool may_start);

  ProgressBatch TakeBatch();
  void OnStored(std::uint64_t number);
  std::vector<JobId> TakeForgotten(Instant now);

  ActiveJob* FindJob(const JobId& id);
  const ActiveJob* FindJob(const JobId& id) const;
  DispatchLoad load() const;
  /// Runs little, and no long-running task.
  bool IsLight(const PoolWorker& worker) const;
  std::uint32_t Waiting(const QueueId& queue) const;

  std::size_t live_jobs() const { return live_.size(); }
  const WorkerTable& workers() const { return workers_; }
  bool has_deferred_starts() const { return has_deferred_starts_; }
  bool is_settled() const { return unsettled_.empty(); }

 private:
  using WallMs = std::int64_t;

  const QueuePolicy& PolicyOf(const ActiveJob& job) const;
  void Note(const char* event, const TaskKey& key, std::uint32_t run,
            const WorkerId& worker, std::string detail = {});

  /// The job's progress must be stored; also drops what is derived from it.
  void MarkDirty(ActiveJob& job);
  /// Drops what is derived from the job's tasks.
  void DropDerived(ActiveJob& job);
  /// Moves the job to a final phase; its tasks are stopped by the next plan.
  void EndJob(ActiveJob& job, JobPhase phase, Instant now, WallMs wall_ms);
  /// Frees the tasks of a final job once none of them is placed.
  void DropTasksOfEnded(ActiveJob& job);
  void CreateDueOccurrences(ActiveJob& job, WallMs wall_ms);

  void Place(ActiveJob& job, const TaskKey& key, TaskState& task,
             PoolWorker& worker, std::uint32_t run, RunPhase phase);
  /// The run is certainly over; the task waits again unless it is finished.
  void Unplace(ActiveJob& job, const TaskKey& key, TaskState& task);
  void RequestStop(const TaskKey& key, TaskState& task, const char* reason);

  /// The worker has ended and started again under its id.
  void BeginLife(PoolWorker& worker, const WorkerReport& report);
  void ForgetLife(const WorkerId& id, PoolWorker& worker, Instant now);
  void OnEnd(const WorkerId& id, PoolWorker& worker, const EndedTask& end,
             Instant now, WallMs wall_ms);
  void OnDone(ActiveJob& job, const TaskKey& key, TaskState& task, Instant now,
              WallMs wall_ms);
  void OnFailed(const WorkerId& id, PoolWorker& worker, ActiveJob& job,
                const TaskKey& key, TaskState& task, Instant now,
                WallMs wall_ms);
  void OnRunning(const WorkerId& id, PoolWorker& worker,
                 const RunningTask& running, std::int64_t clock_ms);
  void CheckMissing(const WorkerId& id, PoolWorker& worker,
                    const WorkerReport& report);

  /// The worker has reported or is gone.
  void Settle(const WorkerId& id, Instant now);
  void PlanEvacuations(Instant now, DispatchPlan& plan);
  /// Whether a long-running task may be taken away: its step has enough others
  /// at work, and another worker has room.
  bool MayDisrupt(ActiveJob& job, const TaskKey& key, bool is_leaving,
                  Instant now, DispatchPlan& plan);
  void PlanStops(Instant now, DispatchPlan& plan);
  void PlanStarts(Instant now, DispatchPlan& plan);
  /// Whether so many more starts may be sent; any number when none is under
  /// way, or a gang larger than the limit would never start.
  bool HasWindow(std::size_t starts) const;
  /// False when too many starts are under way for the next one.
  bool PlanStep(ActiveJob& job, std::uint32_t occurrence, std::uint32_t step,
                Instant now, DispatchPlan& plan);
  bool PlanGang(ActiveJob& job, std::uint32_t occurrence, std::uint32_t step,
                Instant now, DispatchPlan& plan);
  /// The search of the plan that is being made.
  PlacementSearch& Search(Instant now, DispatchPlan& plan);
  const RankInputs& RankInputsOf(ActiveJob& job);
  /// Starts are left out because the window is in use.
  void DeferStarts(Instant now, DispatchPlan& plan);
  bool MayStart(const ActiveJob& job, const TaskState& task, Instant now,
                DispatchPlan& plan) const;
  void Start(ActiveJob& job, const TaskKey& key, TaskState& task,
             PoolWorker& worker, std::uint32_t run, Instant now,
             DispatchPlan& plan);

  DispatcherOptions options_;
  NoteHook note_;
  TimeHook time_;
  std::uint32_t next_run_;
  std::map<QueueId, QueuePolicy> policies_;
  RunTimes run_times_;
  std::map<JobId, ActiveJob> jobs_;
  /// Those whose phase is not final: ended jobs are kept for minutes and would
  /// be most of what a plan looks at.
  std::map<JobId, ActiveJob*> live_;
  /// What Waiting() returns, until a job starts, ends or is added.
  mutable std::optional<std::map<QueueId, std::uint32_t>> waiting_;
  /// Tasks whose stop was requested and that are still placed.
  std::set<std::pair<WorkerId, TaskKey>> stopping_;
  /// Workers that are being emptied, since when.
  std::map<WorkerId, Instant> closed_;
  WorkerTable workers_;
  /// Workers on which inherited tasks may run unseen.
  std::set<WorkerId> unsettled_;
  /// Since when none of them is left; unset while there is no predecessor.
  std::optional<Instant> settled_at_;
  /// Stops of runs that belong to no task of this owner.
  std::vector<StopOrder> stray_stops_;
  /// Starts that were sent and whose outcome is open.
  std::set<std::pair<TaskKey, std::uint32_t>> under_way_;
  bool has_deferred_starts_ = false;
  /// While a plan is being made.
  std::optional<PlacementSearch> search_;
  std::set<JobId> dirty_;
  std::uint64_t last_batch_ = 0;
  std::uint64_t stored_batch_ = 0;
  /// Final phases and the batch that stores them.
  std::deque<std::pair<std::uint64_t, JobId>> storing_;
};

}  // namespace pomelomill
