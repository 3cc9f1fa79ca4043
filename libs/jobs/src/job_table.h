#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/time.h"
#include "pomelomill/config/declarations.h"
#include "pomelomill/jobs/place_ledger.h"
#include "pomelomill/jobs/placement.h"
#include "pomelomill/jobs/quota_book.h"
#include "pomelomill/jobs/task_lease.h"

namespace pomelomill {

enum class TaskPhase {
  kWaiting,
  /// Promised room on a worker whose tasks are leaving.
  kClaimed,
  /// Sent to a worker; counts as running until the opposite is certain.
  kRunning,
  kDone,
};

enum class LeaveReason { kNone, kPreempted, kCancelled };

/// An operation that was sent and has not had its full effect yet.
struct PendingOperation {
  TaskOperation operation = TaskOperation::kStop;
  Instant since{};
  Instant sent_at{};
  bool is_accepted = false;
};

struct TaskEntry {
  TaskPhase phase = TaskPhase::kWaiting;
  LeaveReason leave = LeaveReason::kNone;
  bool is_throttled = false;
  /// Placed by a reservation for long waiting tasks; not taken back by quota.
  bool is_protected = false;
  std::uint32_t attempts = 0;
  std::uint32_t preemptions = 0;
  std::uint32_t losses = 0;
  WorkerIndex worker = kNoWorker;
  PlaceNumber place;
  TaskId attempt;
  Resources size;
  /// Memory at which an attempt ran out of it, doubled.
  double min_memory_mb = 0;
  double progress = 0;
  /// Cores of this task that count as leaving in the quota.
  double leaving_cores = 0;
  TaskLease lease;
  Instant waiting_since{};
  Instant not_before{};
  /// Set by a restore: until then a previous holder's attempt may still run.
  Instant held_until{};
  Instant started_at{};
  std::optional<Instant> confirmed_at;
  std::optional<PendingOperation> pending;
  std::vector<WorkerIndex> failed_on;
};

struct JobEntry {
  JobId id;
  JobClassDeclaration job_class;
  std::uint64_t sequence = 0;
  Instant submitted_at{};
  Instant last_start{};
  bool is_cancelled = false;
  /// Account of the team; accounts never move.
  QuotaBook::TeamUse* use = nullptr;
  std::uint32_t refusals = 0;
  std::uint32_t done = 0;
  std::uint32_t running = 0;
  std::vector<TaskEntry> tasks;
  /// Indexes of tasks in phase kWaiting, next first.
  std::deque<std::uint32_t> waiting;
  JobSpread spread;
  /// First moment at which no listed worker was large enough.
  std::optional<Instant> unplaceable_since;
  /// Worker that is held free for this job.
  WorkerIndex reserved_worker = kNoWorker;
};

/// One task of one job.
struct TaskRef {
  JobEntry* job = nullptr;
  std::uint32_t index = 0;

  TaskEntry& task() const { return job->tasks[index]; }
  bool operator==(const TaskRef&) const = default;
};

/// The parts of a task id "JOB/INDEX@EPOCH.ATTEMPT".
struct TaskIdParts {
  JobId job;
  std::uint32_t index = 0;
  std::uint64_t epoch = 0;
  std::uint32_t attempt = 0;
};

TaskId MakeTaskId(const TaskIdParts& parts);
std::optional<TaskIdParts> ParseTaskId(const TaskId& id);

}  // namespace pomelomill
