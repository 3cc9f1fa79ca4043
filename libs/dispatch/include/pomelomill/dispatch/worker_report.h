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
  /// The worker's lease was not renewed in time.
  kLapsed,
  /// Another task of the gang ended.
  kGangBroken,
  /// The other tasks of the gang did not arrive in time.
  kGangIncomplete,
};

const char* ToText(RunOutcome end);

struct RunningTask {
  TaskKey key;
  std::uint32_t run = 0;
  /// Latest checkpoint; empty when there is none.
  std::string saved;
  /// Share of full speed that the task is allowed.
  std::uint32_t percent = 100;
  /// Rough figure for the last half second: tail latency in milliseconds of a
  /// task that serves requests, cores in thousandths of any other.
  std::uint32_t recent = 0;
};

struct EndedTask {
  /// Position in the worker's list of ends; starts at 1 in each life.
  std::uint64_t number = 0;
  TaskKey key;
  std::uint32_t run = 0;
  RunOutcome outcome = RunOutcome::kFailed;
  std::string saved;
};

/// What a worker says that it runs and has ended.
struct WorkerReport {
  /// The worker's steady clock when it wrote the report.
  std::int64_t clock_ms = 0;
  /// Unix time of the worker's start; tells lives under one id apart.
  std::int64_t born_ms = 0;
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
  /// The run is not higher than one that was stopped or ended there.
  kOldRun,
  /// The lease deadline has passed.
  kLate,
  kNoRoom,
  /// The ticket of the placement policy is missing or has expired.
  kNoTicket,
  /// Nothing was started; the worker may work later.
  kUnhealthy,
  /// The worker does not understand the order.
  kRejected,
  /// Another life of the worker answered; nothing was started.
  kOtherLife,
  /// Without an answer the order may still be carried out.
  kUnknown,
};

const char* ToText(StartOutcome outcome);

}  // namespace pomelomill
