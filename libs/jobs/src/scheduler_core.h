#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "job_table.h"
#include "pomelomill/base/decision_log.h"
#include "pomelomill/jobs/evidence.h"
#include "pomelomill/jobs/job_events.h"
#include "pomelomill/jobs/job_scheduler.h"
#include "pomelomill/jobs/job_settings.h"
#include "pomelomill/jobs/job_state.h"
#include "pomelomill/jobs/place_ledger.h"
#include "pomelomill/jobs/preemption.h"
#include "pomelomill/jobs/quota_book.h"
#include "pomelomill/jobs/size_book.h"

namespace pomelomill {

/// State of the scheduler. Its functions are grouped by source file: jobs and
/// attempts (scheduler_core.cc), task events (scheduler_tasks.cc), workers and
/// leases (scheduler_workers.cc), the pass (scheduler_pass.cc), room made by
/// preemption (scheduler_claims.cc), snapshot and restore (scheduler_state.cc).
class SchedulerCore {
 public:
  SchedulerCore(const JobSettings& settings, Epoch epoch,
                DecisionLog* decisions);

  /// Counts all leases again when no event has come for so long that the clock
  /// may have jumped; call it before each event.
  void CheckGap(Instant now);

  void On(const TeamsDeclared& event, Instant now);
  void On(const JobSubmitted& event, Instant now);
  void On(const JobsCancelled& event, Instant now);
  void On(const WorkersListed& event, Instant now);
  void On(const TaskStarted& event, Instant now);
  void On(const TaskFinished& event, Instant now);
  void On(const TaskFailed& event, Instant now);
  void On(const TaskCheckpointed& event, Instant now);
  void On(const TaskCallEnded& event, Instant now);
  void On(const WorkerRenewed& event, Instant now);
  void On(const Tick& event, Instant now);

  std::vector<JobAction> TakeActions() { return std::exchange(actions_, {}); }

  JobState Snapshot() const;
  Status Restore(const JobState& state,
                 const std::map<std::string, JobClassDeclaration>& classes,
                 Instant now);

  const JobStats& stats() const { return stats_; }
  const PlaceLedger& ledger() const { return ledger_; }
  const QuotaBook& quotas() const { return quotas_; }
  const SizeBook& sizes() const { return sizes_; }
  const Evidence& evidence() const { return evidence_; }
  std::size_t jobs() const { return jobs_.size(); }
  std::size_t WaitingTasks() const;

 private:
  using JobQueue = std::map<std::uint64_t, JobEntry*>;

  struct WorkerState {
    std::uint32_t unknown_renewals = 0;
    /// Renewals whose calls have not ended.
    std::uint32_t open_renewals = 0;
    std::uint32_t refusals = 0;
    std::uint32_t missed_lists = 0;
    Instant renew_at{};
    /// Earliest moment at which upkeep has something to do.
    Instant due_at = Instant::max();
    Instant unusable_until{};
    Instant renew_sent_at{};
    Instant last_change{};
    bool is_usage_sampled = true;
    JobEntry* reserved_for = nullptr;
  };

  // Jobs and attempts.
  JobEntry& AddJob(const JobId& id, const JobClassDeclaration& job_class,
                   std::uint32_t tasks, Instant now);
  void Enqueue(JobEntry& job);
  void Dequeue(JobEntry& job);
  void DropJobIfEnded(JobEntry* job);
  void GiveUp(JobEntry& job, JobFailure failure, const std::string& reason,
              Instant now);
  void StopAll(JobEntry& job, Instant now);
  TaskRef Live(const TaskId& attempt);
  TaskRef LateResult(const TaskId& attempt);
  /// Ends the attempt and releases its place; the only function that does.
  void EndAttempt(TaskRef ref, Instant now);
  void Requeue(TaskRef ref, Instant not_before, Instant now);
  void MarkDone(TaskRef ref, Instant now);
  /// Ends an attempt that was lost, stopped or cancelled, and continues the
  /// task as the reason of the end demands.
  void EndUnfinished(TaskRef ref, Instant now, bool is_lost);
  double ProgressAt(const TaskRef& ref, Instant now) const;
  Resources SizeFor(const TaskRef& ref) const;
  void Record(Decision decision, Instant now);
  void RecordRunTime(const TaskRef& ref, Instant now);

  // Task events.
  void Confirm(TaskRef ref, Instant now);
  void OnStartEnded(TaskRef ref, const TaskCallEnded& event, Instant now);
  void RecordQuarantines(Instant now);
  void OnStartRefused(TaskRef ref, Instant now);
  void SendOperation(TaskRef ref, TaskOperation operation, Instant now);
  void ResendOperation(TaskRef ref, Instant now);
  void SendStart(TaskRef ref, Instant now);

  // Workers and leases.
  void Upkeep(Instant now);
  void UpkeepWorker(WorkerIndex w, Instant now);
  void Due(WorkerIndex w, Instant at);
  void ReadUsage(WorkerIndex w, const WorkerRecord& record, Instant now);
  void ReadTasks(WorkerIndex w, const WorkerRecord& record, Instant now);
  void Adopt(TaskRef ref, const TaskId& attempt, WorkerIndex w, Instant now);
  bool IsReachable(WorkerIndex w, Instant now) const;

  // The pass.
  struct PassState;
  void RunPass(Instant now);
  void StartClaimed(Instant now);
  void PlaceUrgent(PassState& pass, Instant now);
  void PlaceNormal(PassState& pass, Instant now);
  /// Places waiting tasks of the job until one does not fit; false then.
  bool PlaceTasks(JobEntry& job, PassState& pass, Instant now);
  bool IsAllowed(const JobEntry& job, const TaskEntry& task, WorkerIndex w,
                 Instant now) const;
  PlacementChoice Choose(const JobEntry& job, const TaskEntry& task,
                         const Resources& size, Instant now) const;
  /// Starts the task on a quarantined worker that is due for a probe.
  bool SendProbe(TaskRef ref, const Resources& size, Instant now);
  void Start(TaskRef ref, WorkerIndex w, const Resources& size,
             const PlacementChoice* choice, const char* reason, Instant now);
  /// Position in `job.waiting` of the next task that may start now.
  std::size_t NextWaiting(const JobEntry& job, Instant now);
  /// True when no listed worker is large enough; the job fails once that has
  /// lasted long enough.
  bool IsUnplaceable(JobEntry& job, const Resources& size, Instant now);
  void ReserveForLongWaiting(Instant now);
  void Unreserve(JobEntry& job);

  // Room made by preemption.
  /// Whose tasks may make room: any normal task, tasks of teams that borrow and
  /// those of the same team, or only tasks of other teams that borrow.
  enum class VictimRule { kAnyNormal, kBorrowedOrOwn, kBorrowed };
  std::vector<VictimOption> Options(WorkerIndex w, const TeamId& team,
                                    VictimRule rule, Instant now);
  bool ClaimRoom(TaskRef ref, VictimRule rule, Instant now);
  void DropClaim(TaskRef ref);
  void ReturnQuotas(PassState& pass, Instant now);

  JobSettings settings_;
  Epoch epoch_;
  DecisionLog* decisions_;
  PlaceLedger ledger_;
  QuotaBook quotas_;
  SizeBook sizes_;
  Evidence evidence_;
  JobStats stats_;
  std::vector<JobAction> actions_;
  std::map<JobId, std::unique_ptr<JobEntry>> jobs_;
  std::unordered_map<TaskId, TaskRef> live_;
  std::unordered_map<PlaceNumber, TaskRef> by_place_;
  std::vector<WorkerState> worker_states_;
  /// Tasks that a worker lists although no such attempt is live, with the
  /// moment of their first sighting.
  std::unordered_map<TaskId, Instant> unexpected_;
  JobQueue urgent_;
  std::map<TeamId, JobQueue> normal_;
  std::vector<TaskRef> claims_;
  std::uint64_t next_sequence_ = 1;
  Resources largest_;
  double urgent_cores_ = 0;
  std::size_t reserved_workers_ = 0;
  WorkerIndex preemption_cursor_ = 0;
  /// The team whose quota the latest pass looked at last.
  TeamId last_return_;
  Instant starts_allowed_at_{};
  std::optional<Instant> last_event_at_;
  bool has_workers_ = false;
  bool is_dirty_ = false;
  /// Earliest moment at which a waiting task becomes ready without an event.
  Instant next_ready_ = Instant::max();
  std::vector<WorkerId> quarantine_to_restore_;
};

}  // namespace pomelomill
