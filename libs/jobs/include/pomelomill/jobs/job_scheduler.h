#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "pomelomill/base/decision_log.h"
#include "pomelomill/base/ids.h"
#include "pomelomill/base/time.h"
#include "pomelomill/config/declarations.h"
#include "pomelomill/jobs/job_events.h"
#include "pomelomill/jobs/job_settings.h"
#include "pomelomill/jobs/job_state.h"

namespace pomelomill {

class Evidence;
class PlaceLedger;
class QuotaBook;
class SchedulerCore;
class SizeBook;

/// Counters since construction.
struct JobStats {
  std::uint64_t passes = 0;
  std::uint64_t starts = 0;
  std::uint64_t checkpoints = 0;
  std::uint64_t throttles = 0;
  /// Stops of preempted tasks; stops of cancelled tasks are not counted.
  std::uint64_t preempting_stops = 0;
  std::uint64_t lost_attempts = 0;
  std::uint64_t jobs_failed = 0;
  std::uint64_t jobs_finished = 0;
};

/// Decides which task runs on which worker. Pure: all inputs are events, all
/// outputs are actions, and the state changes only in Handle().
class JobScheduler {
 public:
  /// `epoch` is that of the control lease; it is part of the task ids, so that
  /// attempts of two holders never share an id. Decisions go to `decisions`,
  /// which must outlive the scheduler.
  JobScheduler(const JobSettings& settings, Epoch epoch,
               DecisionLog* decisions);
  ~JobScheduler();
  JobScheduler(JobScheduler&&) noexcept;
  JobScheduler& operator=(JobScheduler&&) noexcept;

  /// Applies one event. Tasks are started only by a Tick, so that any number
  /// of events between two ticks costs one pass. `now` never decreases.
  std::vector<JobAction> Handle(const JobEvent& event, Instant now);

  /// State for the next holder of the control lease.
  JobState Snapshot() const;

  /// Takes over from a previous holder; call it once, before any event other
  /// than TeamsDeclared. No task of the restored jobs is started until it was
  /// found on no worker for as long as a lease of the previous holder can last.
  /// JobsError::kUnknownClass when a job's class is not in `classes`.
  Status Restore(const JobState& state,
                 const std::map<std::string, JobClassDeclaration>& classes,
                 Instant now);

  const JobStats& stats() const;
  const PlaceLedger& places() const;
  const QuotaBook& quotas() const;
  const SizeBook& sizes() const;
  const Evidence& evidence() const;
  /// Jobs that are neither finished, failed nor cancelled to the last task.
  std::size_t jobs() const;
  std::size_t waiting_tasks() const;

 private:
  std::unique_ptr<SchedulerCore> core_;
};

}  // namespace pomelomill
