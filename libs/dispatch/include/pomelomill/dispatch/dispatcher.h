#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pomelomill/base/time.h"
#include "pomelomill/dispatch/job_progress.h"
#include "pomelomill/dispatch/job_spec.h"
#include "pomelomill/dispatch/worker_report.h"

namespace pomelomill {

/// What the configuration says of a queue's jobs.
struct QueuePolicy {
  /// 0 is served first.
  std::uint32_t priority = 0;
  /// Failed runs of one task after which its job has failed.
  std::uint32_t max_attempts = 1;
  /// A job is due after this many times its longest chain of tasks, and
  /// `target_latency` more.
  double stretch = 1;
  Duration target_latency{};

  bool operator==(const QueuePolicy&) const = default;
};

struct DispatcherOptions {
  /// The first run number of this owner; above all of earlier owners.
  std::uint32_t first_run = 1;
  /// Wait before a task that failed is tried again, so that a worker that
  /// fails everything at once does not use up the attempts.
  Duration retry_after = std::chrono::milliseconds(50);
  /// A task does not return to the worker on which it failed for this long if
  /// the pool has others: a worker that fails everything is free at once, and
  /// would use up the attempts.
  Duration avoid_for = std::chrono::seconds(2);
  /// A stop without an answer is sent again after this time: a worker answers
  /// within some milliseconds.
  Duration stop_again_after = std::chrono::milliseconds(300);
  /// Tasks on a closed worker may finish for this long before they are
  /// stopped. Most tasks take a second or two.
  Duration evacuation_patience = std::chrono::milliseconds(2200);
  /// A new owner takes no long-running task away for this long after all
  /// workers have reported: stops of its predecessor take effect within the
  /// 0.8 s of an order and the 0.4 s that a run may take to end.
  Duration takeover_calm = std::chrono::milliseconds(1200);
  /// A worker is light when it runs no more than one part in this many of its
  /// cores: few enough tasks to end within the patience above.
  std::uint32_t light_divisor = 2;
  /// Failed runs in a row, of at least two jobs, after which a worker gets no
  /// tasks for a while.
  std::uint32_t suspect_failures = 3;
  Duration suspect_for = std::chrono::seconds(3);
  /// A worker that refused a start is not tried again before.
  Duration refusal_pause = std::chrono::milliseconds(250);
  /// Starts that were sent and not answered. A start of 4 KB takes 3.3 ms on
  /// the slowest link of 10 Mbit/s, so this many take some 0.1 s of the 0.8 s
  /// in which each must be answered.
  std::uint32_t max_starts_under_way = 32;
  /// While starts wait for answers to earlier ones, plans are made at least
  /// this often. Short beside the 0.1 s that a full window takes on that link.
  Duration start_again_after = std::chrono::milliseconds(20);
  /// A job whose phase is final is remembered for this long.
  Duration keep_ended = std::chrono::seconds(180);
};

struct StartOrder {
  WorkerId worker;
  TaskKey key;
  std::uint32_t run = 0;
  std::string saved;
  std::shared_ptr<const JobSpec> spec;
};

struct StopOrder {
  WorkerId worker;
  TaskKey key;
  std::uint32_t run = 0;
};

/// Orders for the workers, starts in the order of their jobs' ranks. Each start
/// must be answered by Dispatcher::OnStart, also when it could not be sent.
/// `again_at` is when to plan again even if nothing happens before.
struct DispatchPlan {
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::optional<Instant> again_at;
  /// Jobs, tasks and workers that were looked at. One plan is the owner's
  /// longest decision and delays the renewal of its lease.
  std::uint64_t examined = 0;
};

/// Changes of jobs that must be stored together, before the ends that caused
/// them are acknowledged.
struct ProgressBatch {
  struct Write {
    JobId job;
    JobProgress progress;
  };

  std::uint64_t number = 0;
  std::vector<Write> writes;
};

struct AddedJob {
  JobId id;
  QueueId queue;
  std::shared_ptr<const JobSpec> spec;
  JobProgress progress;
  /// Accepted before this owner took over: an earlier owner may have started
  /// tasks of it that no worker has reported yet.
  bool is_inherited = false;
};

/// One line for the event log: what was decided, on which facts.
struct DispatchNote {
  std::string event;
  TaskKey key;
  std::uint32_t run = 0;
  WorkerId worker;
  std::string detail;
};

/// Times that a dispatcher measures.
enum class DispatchTime {
  /// From the moment the owner knew of a job to its first start.
  kStartDelay,
  /// From the start of a run to the report that it is done.
  kRun,
};

/// A worker that runs little, and nothing that lasts.
struct LightWorker {
  WorkerId id;
  std::uint32_t used_cpu = 0;
};

/// Demand of one pool, cores in thousandths; a task that takes a larger part of
/// a worker's memory than of its cores counts with as many cores as that part.
struct DispatchLoad {
  std::uint64_t running_cpu = 0;
  /// Of tasks that are ready and find no place.
  std::uint64_t waiting_cpu = 0;
  /// Workers that could take tasks and run none.
  std::vector<WorkerId> idle;
  /// Workers that could be empty soon if they got no more tasks.
  std::vector<LightWorker> light;
};

/// Jobs and workers of one pool. All inputs are calls; the outputs are plans
/// and batches of progress. Not thread-safe.
class Dispatcher {
 public:
  using NoteHook = std::function<void(const DispatchNote&)>;

  using TimeHook = std::function<void(DispatchTime, const QueueId&, Duration)>;

  explicit Dispatcher(const DispatcherOptions& options, NoteHook note = {},
                      TimeHook time = {});
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  void SetQueue(const QueueId& queue, const QueuePolicy& policy);

  /// A job that is known already is left as it is.
  void AddJob(const AddedJob& job, Instant now);
  /// Unknown and ended jobs are ignored.
  void CancelJob(const JobId& job, Instant now, std::int64_t wall_ms);

  /// Workers on which tasks of earlier owners may run. No inherited task is
  /// started before each of them has reported or is gone.
  void ExpectWorkers(const std::vector<WorkerId>& workers);
  /// The workers that the platform lists. One that is not listed gets no
  /// further tasks, but its tasks stay with it.
  void ListWorkers(const std::vector<WorkerSpec>& workers);
  /// Gives the worker no more tasks and empties it: long-running tasks move as
  /// their step's limit allows, others may finish for a while. Closed workers
  /// need not be listed yet.
  void CloseWorker(const WorkerId& worker, Instant now);
  void ReopenWorker(const WorkerId& worker);
  /// Whether the worker has reported and nothing runs there.
  bool IsEmpty(const WorkerId& worker) const;
  /// A report of a worker that has accepted this owner's fencing token.
  void OnReport(const WorkerId& worker, const WorkerReport& report, Instant now,
                std::int64_t wall_ms);
  void OnStart(const WorkerId& worker, const TaskKey& key, std::uint32_t run,
               StartOutcome outcome, std::int64_t clock_ms, Instant now);
  /// `clock_ms` is the worker's clock when it accepted the stop; nothing when
  /// the call ended without an answer.
  void OnStop(const WorkerId& worker, const TaskKey& key, std::uint32_t run,
              std::optional<std::int64_t> clock_ms, Instant now);
  /// The worker does not answer: it gets no tasks before its next report.
  void OnWorkerSilent(const WorkerId& worker);
  /// Nothing runs on the worker any more and no earlier order to it can take
  /// effect: it has ended, or its lease has certainly lapsed.
  void OnWorkerGone(const WorkerId& worker, Instant now);

  /// `wall_ms` is Unix time, for jobs that are due at a time. Without
  /// `may_start` the plan has stops only.
  DispatchPlan Plan(Instant now, std::int64_t wall_ms, bool may_start = true);

  /// Changes since the last batch; no writes when there are none.
  ProgressBatch TakeBatch();
  /// All batches up to `number` are in the store.
  void OnStored(std::uint64_t number);
  /// The highest end of the worker that may be acknowledged; 0 for none.
  std::uint64_t AckLimit(const WorkerId& worker) const;
  /// Whether an end waits for the store.
  bool HasUnstoredEnds(const WorkerId& worker) const;

  /// Ended jobs whose time to be remembered is over; they are dropped here.
  std::vector<JobId> TakeForgotten(Instant now);

  /// The phase that may be shown: a final one only when it is stored.
  /// Nothing when the job is not known here.
  std::optional<JobPhase> ShownPhase(const JobId& job) const;
  /// Accepted jobs of the queue of which no task has started; timed jobs do
  /// not count before they are due.
  std::uint32_t Waiting(const QueueId& queue) const;
  DispatchLoad load() const;
  std::size_t active_jobs() const;
  std::size_t running_tasks() const;
  /// Whether the latest plan left out starts because too many are under way: an
  /// answer to one of them is a reason to plan.
  bool has_deferred_starts() const;
  /// Whether inherited tasks still wait for workers to report.
  bool is_settled() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pomelomill
