#include "pomelomill/jobs/evidence.h"

#include <algorithm>
#include <utility>

namespace pomelomill {
namespace {

// A worker remembers at most this many failed jobs; more do not change the
// verdict and would let memory grow with the number of jobs.
constexpr std::size_t kMaxFailedJobs = 16;

}  // namespace

bool Evidence::TaskSucceeded(const JobId& job, WorkerIndex worker, Instant now,
                             std::size_t workers) {
  JobRecord& record = jobs_[job];
  ++record.successes;
  record.failures.erase(worker);
  for (const auto& [other, n] : record.failures) {
    const auto failed = workers_[other].failed_jobs.find(job);
    if (failed == workers_[other].failed_jobs.end()) continue;
    failed->second = true;
    Consider(other, now, workers);
  }
  WorkerEvidence& evidence = workers_[worker];
  ++evidence.successes;
  evidence.failed_jobs.clear();
  Consider(worker, now, workers);
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

void Evidence::TaskFailed(const JobId& job, WorkerIndex worker, Instant now,
                          std::size_t workers) {
  JobRecord& record = jobs_[job];
  ++record.total_failures;
  ++record.failures[worker];
  WorkerEvidence& evidence = workers_[worker];
  if (evidence.failed_jobs.size() < kMaxFailedJobs)
    evidence.failed_jobs[job] |= record.successes > 0;
  if (evidence.health == WorkerHealth::kProbing && evidence.probe == job) {
    evidence.health = WorkerHealth::kQuarantined;
    evidence.probe_after =
        std::min(settings_.max_probe_after, 2 * evidence.probe_after);
    evidence.probe_at = now + evidence.probe_after;
    evidence.probe = {};
    return;
  }
  Consider(worker, now, workers);
}

bool Evidence::HasCaseAgainst(const WorkerEvidence& record) const {
  const auto proven =
      std::count_if(record.failed_jobs.begin(), record.failed_jobs.end(),
                    [](const auto& it) { return it.second; });
  return record.failed_jobs.size() >= settings_.worker_jobs &&
         static_cast<std::uint32_t>(proven) >= settings_.proven_jobs;
}

void Evidence::Consider(WorkerIndex worker, Instant now, std::size_t workers) {
  WorkerEvidence& evidence = workers_[worker];
  if (evidence.health != WorkerHealth::kTrusted) return;
  const bool is_blamed = HasCaseAgainst(evidence);
  const bool has_room = quarantined_ < MaxQuarantined(workers);
  const bool is_outside = is_blamed && !has_room;
  if (is_outside != evidence.is_blamed_outside) {
    evidence.is_blamed_outside = is_outside;
    blamed_outside_ += is_outside ? 1 : -1;
  }
  if (!is_blamed || !has_room) return;
  Quarantine(evidence, now);
  newly_quarantined_.push_back(worker);
}

std::vector<WorkerIndex> Evidence::TakeQuarantined() {
  return std::exchange(newly_quarantined_, {});
}

bool Evidence::IsBlamed(WorkerIndex worker) const {
  const auto it = workers_.find(worker);
  return it != workers_.end() && (it->second.health != WorkerHealth::kTrusted ||
                                  it->second.is_blamed_outside);
}

void Evidence::TaskEndedOtherwise(const JobId& job, WorkerIndex worker) {
  const auto it = workers_.find(worker);
  if (it == workers_.end() || it->second.health != WorkerHealth::kProbing ||
      it->second.probe != job)
    return;
  it->second.health = WorkerHealth::kQuarantined;
  it->second.probe = {};
}

void Evidence::Quarantine(WorkerEvidence& record, Instant now) {
  record.health = WorkerHealth::kQuarantined;
  record.probe_after = settings_.probe_after;
  record.probe_at = now + record.probe_after;
  ++quarantined_;
}

std::optional<Evidence::Verdict> Evidence::Judge(
    const JobId& job, const std::vector<WorkerIndex>& failed_on,
    std::uint32_t losses, std::uint32_t max_attempts) const {
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
      std::to_string(losses) + " lost with the worker; " +
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
  // Many tasks that fail on few workers say little about the job; failures on
  // that many workers without a single success do.
  if (failed_on.size() + losses >= hard ||
      (record.successes == 0 && record.failures.size() >= hard))
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
