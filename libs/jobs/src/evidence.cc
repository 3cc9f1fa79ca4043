#include "pomelomill/jobs/evidence.h"

#include <algorithm>

namespace pomelomill {
namespace {

// A worker remembers at most this many failed jobs; more do not change the
// verdict and would let memory grow with the number of jobs.
constexpr std::size_t kMaxFailedJobs = 16;

}  // namespace

bool Evidence::TaskSucceeded(const JobId& job, WorkerIndex worker) {
  JobRecord& record = jobs_[job];
  ++record.successes;
  record.failures.erase(worker);
  WorkerEvidence& evidence = workers_[worker];
  ++evidence.successes;
  evidence.failed_jobs.clear();
  // Tasks that were placed before the quarantine tell nothing new when the
  // worker has failed since; only the probe ends the quarantine.
  if (evidence.health != WorkerHealth::kProbing || evidence.probe != job)
    return false;
  evidence.health = WorkerHealth::kTrusted;
  evidence.probe_after = {};
  evidence.probe = {};
  --quarantined_;
  return true;
}

bool Evidence::TaskFailed(const JobId& job, WorkerIndex worker, Instant now,
                          std::size_t workers) {
  JobRecord& record = jobs_[job];
  ++record.total_failures;
  ++record.failures[worker];
  WorkerEvidence& evidence = workers_[worker];
  if (evidence.failed_jobs.size() < kMaxFailedJobs ||
      evidence.failed_jobs.contains(job))
    ++evidence.failed_jobs[job];
  if (evidence.health == WorkerHealth::kProbing && evidence.probe == job) {
    evidence.health = WorkerHealth::kQuarantined;
    evidence.probe_after =
        std::min(settings_.max_probe_after, 2 * evidence.probe_after);
    evidence.probe_at = now + evidence.probe_after;
    evidence.probe = {};
    return false;
  }
  if (evidence.health != WorkerHealth::kTrusted) return false;
  const auto sound = std::count_if(
      evidence.failed_jobs.begin(), evidence.failed_jobs.end(),
      [&](const auto& it) { return !IsSuspect(it.first, worker); });
  if (static_cast<std::uint32_t>(sound) < settings_.worker_jobs) return false;
  if (quarantined_ >= MaxQuarantined(workers)) return false;
  Quarantine(evidence, now);
  return true;
}

void Evidence::TaskEndedOtherwise(const JobId& job, WorkerIndex worker) {
  const auto it = workers_.find(worker);
  if (it == workers_.end() || it->second.health != WorkerHealth::kProbing ||
      it->second.probe != job)
    return;
  it->second.health = WorkerHealth::kQuarantined;
  it->second.probe = {};
}

bool Evidence::IsSuspect(const JobId& job, WorkerIndex except) const {
  const auto it = jobs_.find(job);
  if (it == jobs_.end() || it->second.successes > 0) return false;
  // Without a success, a job that also fails on other workers that are
  // trusted may itself be the cause.
  std::uint32_t elsewhere = 0;
  for (const auto& [worker, n] : it->second.failures) {
    if (worker != except && Health(worker) == WorkerHealth::kTrusted)
      ++elsewhere;
  }
  return elsewhere > 0;
}

void Evidence::Quarantine(WorkerEvidence& record, Instant now) {
  record.health = WorkerHealth::kQuarantined;
  record.probe_after = settings_.probe_after;
  record.probe_at = now + record.probe_after;
  ++quarantined_;
}

void Evidence::TaskLost(const JobId& job) { ++jobs_[job].losses; }

std::optional<Evidence::Verdict> Evidence::Judge(
    const JobId& job, const std::vector<WorkerIndex>& failed_on,
    std::uint32_t max_attempts) const {
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) return std::nullopt;
  const JobRecord& record = it->second;
  std::size_t sound_workers = 0;
  for (const auto& [worker, n] : record.failures) {
    const auto w = workers_.find(worker);
    if (w != workers_.end() && w->second.health == WorkerHealth::kTrusted &&
        w->second.successes > 0)
      ++sound_workers;
  }
  const std::string facts =
      std::to_string(record.total_failures) + " failures on " +
      std::to_string(record.failures.size()) + " workers, " +
      std::to_string(sound_workers) + " of which run other jobs; " +
      std::to_string(record.losses) + " lost with their worker; " +
      std::to_string(record.successes) + " successes";
  if (record.successes == 0 && sound_workers >= settings_.job_workers)
    return Verdict{JobFailure::kFailsOnAllWorkers,
                   "fails on every worker: " + facts};
  const std::uint32_t limit = std::max(1U, max_attempts);
  // Failures on a worker that was blamed for them do not count.
  const auto counted = std::count_if(
      failed_on.begin(), failed_on.end(),
      [&](WorkerIndex w) { return Health(w) == WorkerHealth::kTrusted; });
  if (static_cast<std::uint32_t>(counted) >= limit)
    return Verdict{JobFailure::kTooManyAttempts,
                   "one task reached max_attempts " + std::to_string(limit) +
                       ": " + facts};
  const std::uint32_t hard = limit * settings_.hard_attempts_factor;
  if (failed_on.size() >= hard ||
      (record.successes == 0 && record.total_failures + record.losses >= hard))
    return Verdict{JobFailure::kTooManyAttempts, "reached the hard limit of " +
                                                     std::to_string(hard) +
                                                     " attempts: " + facts};
  return std::nullopt;
}

bool Evidence::IsUsable(WorkerIndex worker) const {
  return Health(worker) == WorkerHealth::kTrusted;
}

bool Evidence::IsProbeDue(WorkerIndex worker, Instant now) const {
  const auto it = workers_.find(worker);
  return it != workers_.end() &&
         it->second.health == WorkerHealth::kQuarantined &&
         now >= it->second.probe_at;
}

void Evidence::ProbeSent(WorkerIndex worker, const JobId& job) {
  WorkerEvidence& evidence = workers_[worker];
  evidence.health = WorkerHealth::kProbing;
  evidence.probe = job;
}

bool Evidence::HasOnlyFailed(const JobId& job, WorkerIndex worker) const {
  const auto it = jobs_.find(job);
  return it != jobs_.end() && it->second.successes == 0 &&
         it->second.failures.contains(worker);
}

std::uint32_t Evidence::Failures(const JobId& job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() ? 0 : it->second.total_failures;
}

Evidence::WorkerHealth Evidence::Health(WorkerIndex worker) const {
  const auto it = workers_.find(worker);
  return it == workers_.end() ? WorkerHealth::kTrusted : it->second.health;
}

std::vector<WorkerIndex> Evidence::Quarantined() const {
  std::vector<WorkerIndex> found;
  if (quarantined_ == 0) return found;
  for (const auto& [worker, evidence] : workers_) {
    if (evidence.health != WorkerHealth::kTrusted) found.push_back(worker);
  }
  std::sort(found.begin(), found.end());
  return found;
}

void Evidence::RestoreQuarantine(WorkerIndex worker, Instant now) {
  WorkerEvidence& evidence = workers_[worker];
  if (evidence.health == WorkerHealth::kTrusted) Quarantine(evidence, now);
}

void Evidence::RestoreFailures(const JobId& job, std::uint32_t failures) {
  if (failures > 0) jobs_[job].total_failures = failures;
}

void Evidence::Forget(const JobId& job) { jobs_.erase(job); }

std::size_t Evidence::MaxQuarantined(std::size_t workers) const {
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(settings_.max_quarantined_share *
                                  static_cast<double>(workers)));
}

}  // namespace pomelomill
