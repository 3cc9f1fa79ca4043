#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pomelomill/dispatch/job_spec.h"

namespace pomelomill {

/// A worker as the platform lists it.
struct WorkerSpec {
  WorkerId id;
  TaskSize capacity;
  std::vector<std::string> labels;
  RackId rack;
  bool is_draining = false;

  bool operator==(const WorkerSpec&) const = default;
};

/// How a run of a task ended.
enum class RunOutcome {
  kDone,
  /// By its own fault or the worker's.
  kFailed,
  kStopped,
  /// The worker's lease expired before it was renewed.
  kLeaseExpired,
  /// Another task of the gang ended first.
  kGangBroken,
  /// The other tasks of the gang did not arrive in time.
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
  /// Approximate load during the last half second: the tail latency in
  /// milliseconds of a task that serves requests, the used cores in thousandths
  /// of any other task.
  std::uint32_t recent_load = 0;
};

struct EndedTask {
  /// Position in the worker's list of ends; starts at 1 in each life.
  std::uint64_t number = 0;
  TaskKey key;
  std::uint32_t run = 0;
  RunOutcome outcome = RunOutcome::kFailed;
  std::string checkpoint;
};

/// What a worker says that it runs and has ended.
struct WorkerReport {
  /// The worker's steady clock when it wrote the report.
  std::int64_t clock_ms = 0;
  /// Unix time of the worker's start; distinguishes incarnations with the same
  /// worker id.
  std::int64_t started_ms = 0;
  std::vector<RunningTask> running;
  /// Ends that were not acknowledged yet, ascending by number.
  std::vector<EndedTask> ended;
  /// Further ends may be listed once these are acknowledged. A run that is in
  /// neither list may have ended in any way.
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
  /// The ticket of the placement policy is missing or has expired.
  kNoTicket,
  /// Nothing was started; the worker may work later.
  kUnhealthy,
  /// The worker does not understand the order.
  kRejected,
  /// Another incarnation of the worker answered; nothing was started.
  kOtherIncarnation,
  /// There was no answer; the order may still be carried out.
  kUnknown,
};

const char* ToText(StartOutcome outcome);

}  // namespace pomelomill
