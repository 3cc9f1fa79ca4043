#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pomelomill/base/late_calls.h"
#include "pomelomill/base/time.h"
#include "pomelomill/dispatch/backlog.h"
#include "pomelomill/dispatch/job_progress.h"
#include "pomelomill/dispatch/job_spec.h"
#include "pomelomill/dispatch/worker_report.h"
#include "pomelomill/workspaces/resource_amount.h"

namespace pomelomill {

/// Scheduling policy of a queue, from the configuration.
struct QueuePolicy {
  /// Among jobs of the same urgency, those with the lowest number are served
  /// first.
  std::uint32_t priority = 0;
  /// A job fails once this many runs of one of its tasks have failed.
  /// For a gang, each run in which any member failed counts once. Failed runs
  /// of long-running tasks do not count.
  std::uint32_t max_attempts = 1;
  /// The latency objective of a job is `stretch` times the run time of its
  /// critical path, plus `target_latency`.
  double stretch = 1;
  Duration target_latency{};

  bool operator==(const QueuePolicy&) const = default;
};

/// Policy of a queue as of one revision of the configuration.
struct QueueTerms {
  QueuePolicy policy;
  Revision revision;

  bool operator==(const QueueTerms&) const = default;
};

/// Limits and time spans of a Dispatcher.
struct DispatcherOptions {
  /// First run number that this owner assigns; higher than every run number of
  /// earlier owners.
  std::uint32_t first_run = 1;
  /// Delay before a task whose run failed or whose start was refused is started
  /// again, so that a worker on which every task fails immediately does not use
  /// up the task's attempts.
  Duration retry_backoff = std::chrono::milliseconds(50);
  /// For this long, a failed task is not placed on the worker on which it
  /// failed if the pool has alternatives: a worker on which every task fails is
  /// always free and would use up the task's attempts.
  Duration failed_worker_avoidance = std::chrono::seconds(2);
  /// An unanswered stop order is sent again after this time; workers normally
  /// answer within a few milliseconds.
  Duration stop_resend_interval = std::chrono::milliseconds(300);
  /// Tasks on a closed worker may run for this long before they are stopped.
  /// Most tasks take one or two seconds.
  Duration evacuation_grace_period = std::chrono::milliseconds(2200);
  /// After a takeover, once all workers have reported, the new owner evacuates
  /// no long-running task from a closed worker for this long. Stops sent by the
  /// previous owner take effect within this time: an order is valid for 0.8 s,
  /// and a run may take 0.4 s to end.
  Duration takeover_disruption_delay = std::chrono::milliseconds(1200);
  /// A worker counts as lightly loaded while its tasks use at most its cores
  /// divided by this number: few enough tasks to end within
  /// `evacuation_grace_period`.
  std::uint32_t light_load_divisor = 2;
  /// After this many consecutive failed runs, of at least two jobs, a worker
  /// gets no tasks for `suspension_duration`.
  std::uint32_t failures_before_suspension = 3;
  Duration suspension_duration = std::chrono::seconds(3);
  /// A task under which this many workers have crashed runs alone on its worker
  /// from then on, apart from long-running tasks: a further crash shows whether
  /// the task or one beside it is the cause.
  std::uint32_t crashes_until_alone = 2;
  /// A job fails once this many workers have crashed under one of its tasks,
  /// the last one while the task ran alone, or under a gang of it.
  std::uint32_t crashes_until_failure = 3;
  /// A job fails once this many workers have crashed under one of its tasks,
  /// whatever else ran there.
  std::uint32_t max_crashes = 4;
  /// A crash counts against a long-running task only this soon after the start
  /// of its run.
  Duration long_running_probation = std::chrono::seconds(5);
  /// A crash that is noticed later than this after the worker's last report
  /// counts only against tasks that were started since. Covers a long poll of
  /// an idle worker and three refused connections.
  Duration max_report_age_at_crash = std::chrono::milliseconds(2500);
  /// When this many workers of one rack crash within the window, as with a loss
  /// of power, the tasks on them are not suspected. The window covers the time
  /// within which the crash of a worker is noticed.
  std::uint32_t shared_crash_workers = 3;
  Duration shared_crash_window = std::chrono::milliseconds(300);
  /// At most the number of workers divided by this, and at least one, is
  /// reserved at a time for tasks that run alone.
  std::uint32_t reserved_worker_divisor = 4;
  /// A copy of a start that got no answer may be carried out for this long
  /// after its call has ended, also by the next incarnation of the worker.
  Duration late_start_lifetime = kLateCallLifetime;
  /// A worker that answered a start with kNoRoom, kUnhealthy or kNotSent gets
  /// no tasks for this long.
  Duration refusal_backoff = std::chrono::milliseconds(250);
  /// Limit on starts that were sent and not answered; a larger gang is sent
  /// when no other start is in flight. A start of 4 KB takes 3.3 ms on the
  /// slowest link (10 Mbit/s), so this many take about 0.1 s of the 0.8 s
  /// within which each must be answered.
  std::uint32_t max_in_flight_starts = 32;
  /// While starts are deferred because the limit above is reached, a plan is
  /// made at least this often. Short compared with the 0.1 s that the maximum
  /// number of starts takes on that link.
  Duration deferred_start_interval = std::chrono::milliseconds(20);
  /// A finished job stays in memory for this long.
  Duration ended_job_retention = std::chrono::seconds(180);
};

/// An order to a worker to start a run of a task.
struct StartOrder {
  WorkerId worker;
  TaskKey key;
  std::uint32_t run = 0;
  /// Checkpoint to resume from; empty when there is none.
  std::string checkpoint;
  std::shared_ptr<const JobSpec> spec;
};

/// An order to a worker to stop a run of a task.
struct StopOrder {
  WorkerId worker;
  TaskKey key;
  std::uint32_t run = 0;
};

/// Orders for the workers; starts are sorted by the rank of their jobs. The
/// result of each start must be passed to Dispatcher::OnStartResult, also when
/// the start could not be sent.
struct DispatchPlan {
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  /// Time of the next plan if no event causes an earlier one.
  std::optional<Instant> next_plan_at;
  /// Number of jobs, tasks and workers examined, a measure of the time that the
  /// plan took. A plan is the longest uninterrupted computation of an owner,
  /// which cannot renew its lease meanwhile.
  std::uint64_t examined = 0;
};

/// Progress of jobs. It must be stored atomically; only then may the task ends
/// that caused the changes be acknowledged to the workers.
struct ProgressBatch {
  struct Write {
    JobId job;
    JobProgress progress;
  };

  /// Ascends from 1; 0 when there are no changes.
  std::uint64_t number = 0;
  std::vector<Write> writes;
};

/// A job to be added to a dispatcher.
struct AddedJob {
  JobId id;
  QueueId queue;
  std::shared_ptr<const JobSpec> spec;
  JobProgress progress;
  /// Workspace of the key with which the job was submitted; empty for a job of
  /// a queue that needs no key.
  WorkspaceId workspace;
  /// Terms of the queue when the job was accepted; absent in jobs of versions
  /// that did not store them.
  std::optional<QueueTerms> terms;
  /// The job was accepted before this owner took over; an earlier owner may
  /// have started tasks of the job that no worker has reported yet.
  bool is_inherited = false;
};

/// An entry for the event log: a decision and the facts behind it.
struct DispatchEvent {
  std::string event;
  TaskKey key;
  std::uint32_t run = 0;
  WorkerId worker;
  std::string detail;
};

/// Durations that a dispatcher measures.
enum class DispatchTiming {
  /// From the addition of a job to the dispatcher to the job's first start.
  /// Not measured when the first tasks to start are a gang or were started by
  /// an earlier owner.
  kStartDelay,
  /// From the start of a run to the report of its successful end. Not
  /// measured for gangs and for runs started by an earlier owner.
  kRunTime,
};

/// A worker with few tasks, none of which is long-running.
struct LightlyLoadedWorker {
  WorkerId id;
  std::uint32_t used_cpu_millis = 0;
};

/// Load of one pool. A task that takes a larger share of a worker's memory or
/// GPUs than of its cores counts with that share of the cores.
struct DispatchLoad {
  /// Of tasks that are placed on a worker: starting, running or stopping.
  std::uint64_t running_cpu_millis = 0;
  /// Of ready tasks that have no worker yet, without those beyond the cap of
  /// their workspace.
  std::uint64_t waiting_cpu_millis = 0;
  /// Listed, open and responsive workers that run no task; includes draining
  /// and suspended ones.
  std::vector<WorkerId> idle;
  /// Workers that would soon be empty if they got no more tasks.
  std::vector<LightlyLoadedWorker> lightly_loaded;
};

/// Limits of a workspace in one pool.
struct WorkspaceLimits {
  /// What the pool may have placed of the workspace: no further task starts
  /// that would exceed it.
  ResourceAmount placed = ResourceAmount::Unlimited();
  /// What the workspace may run in all pools. The pool does not grow
  /// for work beyond it, see DispatchLoad::waiting_cpu_millis.
  ResourceAmount cap = ResourceAmount::Unlimited();

  bool operator==(const WorkspaceLimits&) const = default;
};

/// Schedules the tasks of one pool's jobs on the pool's workers. Performs no
/// input or output: events are passed in by calls, orders and progress to store
/// are returned as plans and batches. `wall_ms` is Unix time. Not thread-safe.
class Dispatcher {
 public:
  using DispatchEventHook = std::function<void(const DispatchEvent&)>;

  using TimingHook =
      std::function<void(DispatchTiming, const QueueId&, Duration)>;

  explicit Dispatcher(const DispatcherOptions& options,
                      DispatchEventHook event_hook = {},
                      TimingHook timing_hook = {});
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Sets the policy that a configuration gives a queue. Ignored when a higher
  /// revision was set before.
  ///
  /// A job has the policy of the highest revision among those set for its queue
  /// and that of its own terms. While it has neither, its attempts are unknown:
  /// a failed run neither ends it nor is followed by another.
  void SetQueue(const QueueId& queue, const QueueTerms& terms);

  /// Sets the weight (greater than 0) of each workspace; 1 for those that are
  /// not named. When the ready tasks exceed the pool's cores, workspaces get
  /// cores by weight: a job of a workspace that has more than its part starts
  /// after the jobs of those that have less.
  void SetWorkspaceWeights(std::map<WorkspaceId, double> weights);
  /// Limits what is placed of a workspace, initially without limit.
  void SetWorkspaceLimits(const WorkspaceId& workspace,
                          const WorkspaceLimits& limits);
  /// What the pool has placed of each workspace, with tasks that are held back
  /// because a start of them may still be carried out, and what was ready and
  /// not placed before the latest plan.
  std::map<WorkspaceId, WorkspaceUse> workspace_uses() const;

  /// Adds a job; a job that was already added is left unchanged.
  void AddJob(const AddedJob& job, Instant now);
  /// Cancels a job; unknown and finished jobs are ignored.
  void CancelJob(const JobId& job, Instant now, std::int64_t wall_ms);

  /// Names the workers that may run tasks of earlier owners. No task of an
  /// inherited job is started until each of these workers has reported or is
  /// gone.
  void AwaitWorkerReports(const std::vector<WorkerId>& workers);
  /// Replaces the set of workers that the platform lists. An unlisted worker
  /// gets no further tasks, but keeps those that it runs.
  void SetListedWorkers(const std::vector<WorkerSpec>& workers);
  /// Gives the worker no more tasks and evacuates it: long-running tasks move
  /// as their step's `max_unavailable` permits, other tasks are stopped after
  /// `evacuation_grace_period`. A worker may be closed before it is listed.
  void CloseWorker(const WorkerId& worker, Instant now);
  void ReopenWorker(const WorkerId& worker);
  /// Whether the worker has reported all its ends and runs no task.
  bool IsEmpty(const WorkerId& worker) const;
  /// Whether tasks are placed on the worker: starting, running or stopping.
  bool HasTasks(const WorkerId& worker) const;
  /// Processes a report of a worker that has accepted this owner's fencing
  /// token.
  void OnReport(const WorkerId& worker, const WorkerReport& report, Instant now,
                std::int64_t wall_ms);
  /// Processes the result of a start order. `clock_ms` is the worker's clock
  /// when it answered; it is used only for kStarted.
  void OnStartResult(const WorkerId& worker, const TaskKey& key,
                     std::uint32_t run, StartOutcome outcome,
                     std::int64_t clock_ms, Instant now);
  /// No copy of the start is in transit any more. Without `is_answered`, some
  /// copy got no answer and may be carried out for
  /// DispatcherOptions::late_start_lifetime.
  void OnStartSettled(const TaskKey& key, std::uint32_t run, bool is_answered,
                      Instant now);
  /// Processes the result of a stop order. `clock_ms` is the worker's clock
  /// when it accepted the stop, or nullopt when the call ended without an
  /// answer.
  void OnStopResult(const WorkerId& worker, const TaskKey& key,
                    std::uint32_t run, std::optional<std::int64_t> clock_ms,
                    Instant now);
  /// The worker does not answer; it gets no tasks until its next report.
  void OnWorkerUnresponsive(const WorkerId& worker);
  /// The worker has ended or its lease has certainly expired: it runs no task.
  /// Unless the lease has expired or the worker was draining, this is a crash,
  /// which counts against the tasks on the worker, see
  /// DispatcherOptions::crashes_until_alone. So is the end of a closed worker
  /// with tasks on it: planned work begins only when none is left. A task of
  /// which a start may still be carried out by the next
  /// incarnation of the worker is held back until ReleaseHeldTasks().
  void OnWorkerGone(const WorkerId& worker, WorkerLoss loss, Instant now,
                    std::int64_t wall_ms);

  /// No start that was sent to the worker before can be carried out any more,
  /// except those of runs that it has reported.
  void ReleaseHeldTasks(const WorkerId& worker, Instant now);

  /// Returns the orders to send now. `wall_ms` is Unix time, from which the due
  /// occurrences of timed jobs follow. The plan contains no starts unless
  /// `may_start` is set.
  DispatchPlan Plan(Instant now, std::int64_t wall_ms, bool may_start = true);

  /// Returns the changes since the last batch; `writes` is empty when there are
  /// none.
  ProgressBatch TakeBatch();
  /// Confirms that all batches up to `number` are stored.
  void OnStored(std::uint64_t number);
  /// Returns the highest number of an end of the worker that may be
  /// acknowledged, or 0 when there is none.
  std::uint64_t AckLimit(const WorkerId& worker) const;
  /// Whether ends of the worker wait for a batch to be stored.
  bool HasUnstoredEnds(const WorkerId& worker) const;

  /// Removes the jobs whose final phase is stored, that have no task on a
  /// worker and whose retention time has passed, and returns their ids.
  std::vector<JobId> TakeExpiredJobs(Instant now);

  /// Returns the phase that may be shown to callers; nullopt when the job is
  /// unknown. It is kRunning from the first run that a worker is known to have
  /// begun, see WaitingJobs(), and final only once that is stored.
  std::optional<JobPhase> ShownPhase(const JobId& job) const;
  /// Returns the number of accepted jobs of the queue of which no worker is
  /// known to have begun a task: a start that was refused, or that has no
  /// answer yet, does not count. Timed jobs count from their first due time on.
  std::uint32_t WaitingJobs(const QueueId& queue) const;
  DispatchLoad load() const;
  /// Returns the work that ranks before a job that arrives now, computed at
  /// most every 200 ms. nullopt while it is not known: during a takeover, and
  /// while the pool has no usable cores.
  std::optional<PoolBacklog> backlog(Instant now);
  /// Number of jobs that are not finished.
  std::size_t active_jobs() const;
  /// Number of tasks that are placed on a worker: starting, running or
  /// stopping.
  std::size_t running_tasks() const;
  /// Whether the latest plan deferred starts because `max_in_flight_starts` was
  /// reached; the next answer to a start should then lead to a new plan.
  bool has_deferred_starts() const;
  /// Whether no report is awaited any more, see AwaitWorkerReports().
  bool is_takeover_complete() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pomelomill
