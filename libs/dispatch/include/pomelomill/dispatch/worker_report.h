#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pomelomill/dispatch/job_spec.h"

namespace pomelomill {

/// A worker in the platform's list.
struct WorkerSpec {
  WorkerId id;
  TaskSize capacity;
  std::vector<std::string> labels;
  RackId rack;
  /// The worker gets no tasks, and its long-running tasks are evacuated without
  /// regard to `max_unavailable`.
  bool is_draining = false;
  /// Unix time of the start of the incarnation that the entry describes; 0 when
  /// unknown. Another incarnation may have another capacity and other labels.
  std::int64_t started_ms = 0;

  bool operator==(const WorkerSpec&) const = default;
};

/// Why a run of a task ended.
enum class RunOutcome {
  kDone,
  /// The task or the worker failed.
  kFailed,
  kStopped,
  /// The worker's lease expired before it was renewed.
  kLeaseExpired,
  /// Another task of the gang ended first.
  kGangBroken,
  /// Not all tasks of the gang were started in time.
  kGangIncomplete,
};

const char* ToText(RunOutcome outcome);

struct RunningTask {
  TaskKey key;
  std::uint32_t run = 0;
  /// Latest checkpoint; empty when there is none.
  std::string checkpoint;
  /// Share of its full speed at which the worker lets the task run.
  std::uint32_t speed_percent = 100;
  /// For a task that serves requests, its tail latency in milliseconds; for any
  /// other task, the cores that it uses, in thousandths of a core. Approximate,
  /// over the last half second.
  std::uint32_t recent_load = 0;
};

struct EndedTask {
  /// Sequence number of the end; starts at 1 in each incarnation of the worker.
  std::uint64_t number = 0;
  TaskKey key;
  std::uint32_t run = 0;
  RunOutcome outcome = RunOutcome::kFailed;
  std::string checkpoint;
};

/// State of a worker: the runs in progress and the runs that have ended.
struct WorkerReport {
  /// The worker's steady clock when it wrote the report.
  std::int64_t clock_ms = 0;
  /// Unix time of the worker's start; distinguishes incarnations with the same
  /// worker id.
  std::int64_t started_ms = 0;
  std::vector<RunningTask> running;
  /// Ends that are not acknowledged yet, in ascending order of their numbers.
  std::vector<EndedTask> ended;
  /// The list of ends may be truncated; the rest is reported once these ends
  /// are acknowledged. A run that is in neither list may have ended with any
  /// outcome.
  bool may_lack_ends = false;
};

enum class StartOutcome {
  kStarted,
  /// The worker has seen a higher fencing token.
  kFenced,
  /// The run number is not higher than that of a run of the task that was
  /// stopped or has ended on the worker.
  kStaleRun,
  /// The order arrived after the lease deadline that it carries.
  kDeadlinePassed,
  kNoRoom,
  /// The worker refused the start because its placement ticket, a permission of
  /// the placement policy, was missing or had expired.
  kNoTicket,
  /// The worker is temporarily unable to start tasks; nothing was started.
  kUnhealthy,
  /// The order did not leave this process; nothing was started.
  kNotSent,
  /// The worker could not parse the order.
  kRejected,
  /// Another incarnation of the worker answered; nothing was started.
  kOtherIncarnation,
  /// There was no answer; the order may still be carried out.
  kUnknown,
};

const char* ToText(StartOutcome outcome);

/// What showed that no run is in progress on a worker any more.
enum class WorkerLoss {
  /// Its machine refused connections: the process has ended.
  kConnectionsRefused,
  /// Another incarnation responded at its address.
  kOtherIncarnation,
  /// Its lease has certainly expired. The process may have been alive all the
  /// time.
  kLeaseExpired,
};

const char* ToText(WorkerLoss loss);

}  // namespace pomelomill
