#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/jobs/job_events.h"
#include "pomelomill/jobs/job_settings.h"
#include "pomelomill/jobs/place_ledger.h"

namespace pomelomill {

/// Weighs failures of jobs and of workers against each other. A job is blamed
/// when it fails on several workers that other jobs run on; a worker is blamed
/// when several jobs fail on it of which some have succeeded elsewhere.
class Evidence {
 public:
  enum class WorkerHealth { kTrusted, kQuarantined, kProbing };

  /// Why a job is given up.
  struct Verdict {
    JobFailure failure = JobFailure::kFailsOnAllWorkers;
    std::string reason;
  };

  explicit Evidence(EvidenceSettings settings) : settings_(settings) {}

  /// A task of the job ended well on the worker, one of `workers`. Returns
  /// true when this ends the worker's quarantine.
  bool TaskSucceeded(const JobId& job, WorkerIndex worker, Instant now,
                     std::size_t workers);

  /// A task of the job failed on the worker.
  void TaskFailed(const JobId& job, WorkerIndex worker, Instant now,
                  std::size_t workers);

  /// Workers that were quarantined since the last call.
  std::vector<WorkerIndex> TakeQuarantined();

  /// The attempt ended without telling anything about job or worker, for
  /// example by cancellation; a probe may be tried again.
  void TaskEndedOtherwise(const JobId& job, WorkerIndex worker);

  /// Whether the job is to be given up because of a task that failed on
  /// `failed_on` (one entry for each failure) and was lost with its worker
  /// `losses` times. Losses count towards the hard limit only, since most are
  /// not the job's doing. `max_attempts` is that of the job's class.
  std::optional<Verdict> Judge(const JobId& job,
                               const std::vector<WorkerIndex>& failed_on,
                               std::uint32_t losses,
                               std::uint32_t max_attempts) const;

  /// Whether an ordinary task may be placed on the worker.
  bool IsUsable(WorkerIndex worker) const;

  /// Whether the evidence speaks against the worker, in quarantine or not;
  /// the bound on quarantines may keep it in use.
  bool IsBlamed(WorkerIndex worker) const;
  bool has_blamed_outside() const { return blamed_outside_ > 0; }

  /// Whether the worker is in quarantine and due for a probe.
  bool IsProbeDue(WorkerIndex worker, Instant now) const;

  /// A task was sent to the worker as its probe.
  void ProbeSent(WorkerIndex worker, const JobId& job);

  /// The job failed on the worker before and has not succeeded anywhere;
  /// another worker tells more.
  bool HasOnlyFailed(const JobId& job, WorkerIndex worker) const;

  /// All failures of the job.
  std::uint32_t Failures(const JobId& job) const;

  WorkerHealth Health(WorkerIndex worker) const;
  std::vector<WorkerIndex> Quarantined() const;
  std::size_t quarantined() const { return quarantined_; }

  /// Puts a worker into quarantine that another process had put there.
  void RestoreQuarantine(WorkerIndex worker, Instant now);
  /// Sets the failures that another process had counted.
  void RestoreFailures(const JobId& job, std::uint32_t failures);

  /// Drops what is known about a job that has ended.
  void Forget(const JobId& job);

  /// Largest number of workers in quarantine at once.
  std::size_t MaxQuarantined(std::size_t workers) const;

 private:
  struct JobRecord {
    std::map<WorkerIndex, std::uint32_t> failures;
    std::uint32_t total_failures = 0;
    std::uint32_t successes = 0;
  };
  struct WorkerEvidence {
    WorkerHealth health = WorkerHealth::kTrusted;
    /// Jobs that failed since the last success; true when the job has
    /// succeeded on another worker, which speaks against this one.
    std::map<JobId, bool> failed_jobs;
    bool is_blamed_outside = false;
    std::uint64_t successes = 0;
    Instant probe_at{};
    Duration probe_after{};
    JobId probe;
  };

  bool HasCaseAgainst(const WorkerEvidence& record) const;
  void Consider(WorkerIndex worker, Instant now, std::size_t workers);
  void Quarantine(WorkerEvidence& record, Instant now);

  EvidenceSettings settings_;
  std::unordered_map<JobId, JobRecord> jobs_;
  std::unordered_map<WorkerIndex, WorkerEvidence> workers_;
  std::size_t quarantined_ = 0;
  /// Workers that are blamed but found no room in the quarantine.
  std::size_t blamed_outside_ = 0;
  std::vector<WorkerIndex> newly_quarantined_;
};

}  // namespace pomelomill
