#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/config/declarations.h"
#include "pomelomill/platform/platform_client.h"

namespace pomelomill {

// Events.

/// The declared teams; replaces the previous ones.
struct TeamsDeclared {
  std::map<TeamId, TeamDeclaration> teams;
};

struct JobSubmitted {
  JobId job;
  JobClassDeclaration job_class;
  /// Independent tasks of the same size.
  std::uint32_t tasks = 1;
};

/// Any number of jobs; all of them are handled in one pass.
struct JobsCancelled {
  std::vector<JobId> jobs;
};

/// The platform's worker list. It may lag by `JobSettings::max_report_lag`.
struct WorkersListed {
  std::vector<WorkerRecord> workers;
};

struct TaskStarted {
  TaskId task;
};

struct TaskFinished {
  TaskId task;
  /// Highest usage of the task, when the worker measured it.
  std::optional<Resources> peak;
};

enum class TaskFailure { kError, kOutOfMemory };

struct TaskFailed {
  TaskId task;
  TaskFailure failure = TaskFailure::kError;
  std::string detail;
};

/// The task wrote a checkpoint and ended; `progress` is the share of its work
/// that is done, in [0, 1].
struct TaskCheckpointed {
  TaskId task;
  double progress = 0;
};

enum class TaskCall { kStart, kRenew, kCheckpoint, kThrottle, kStop };
enum class CallOutcome { kAccepted, kRefused, kUnknown };

/// End of one call on one task. `kRefused` is 409 for a start and 404 for the
/// others; `kUnknown` is a lost response or a timeout. The event for a start is
/// sent exactly once, and after it nothing of the call is sent any more; until
/// then the task counts as running. After a call that had to wait, the lease
/// and the delivery limit are counted again.
struct TaskCallEnded {
  TaskId task;
  TaskCall call = TaskCall::kStart;
  CallOutcome outcome = CallOutcome::kUnknown;
  /// When the scheduler returned the action that led to the call.
  Instant sent_at{};
  /// A moment at which the request had certainly left the process. Without it
  /// the request counts as sent when the call ended.
  std::optional<Instant> sent_by;
};

/// End of one `RenewLeases` action, sent exactly once after all its calls have
/// ended; `is_renewed` is false when the worker did not respond.
struct WorkerRenewed {
  WorkerId worker;
  bool is_renewed = false;
  /// As for `TaskCallEnded`, for all calls of the action.
  std::optional<Instant> sent_by;
};

/// Time has passed; runs a scheduling pass when anything changed.
struct Tick {};

using JobEvent =
    std::variant<TeamsDeclared, JobSubmitted, JobsCancelled, WorkersListed,
                 TaskStarted, TaskFinished, TaskFailed, TaskCheckpointed,
                 TaskCallEnded, WorkerRenewed, Tick>;

// Actions.

struct StartTask {
  WorkerId worker;
  JobId job;
  TaskStart start;
  /// Share of the work done at the checkpoint to resume from; 0 for none.
  double resume_from = 0;
};

/// Checkpoint, throttle or stop of one task.
struct OperateTask {
  WorkerId worker;
  TaskId task;
  TaskOperation operation = TaskOperation::kStop;
};

/// Renews the leases of these tasks of one worker.
struct RenewLeases {
  WorkerId worker;
  std::vector<TaskId> tasks;
};

enum class JobFailure { kUnplaceable, kFailsOnAllWorkers, kTooManyAttempts };

/// The job is given up; `reason` names the evidence.
struct ReportJobFailed {
  JobId job;
  JobFailure failure = JobFailure::kFailsOnAllWorkers;
  std::string reason;
};

struct ReportJobFinished {
  JobId job;
};

using JobAction = std::variant<StartTask, OperateTask, RenewLeases,
                               ReportJobFailed, ReportJobFinished>;

}  // namespace pomelomill
