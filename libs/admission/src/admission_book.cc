#include "pomelomill/admission/admission_book.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace pomelomill {
namespace {

/// A job is of no use after this many times its objective.
constexpr int kExpiryFactor = 3;
constexpr Duration kMaxObjective = std::chrono::hours(24 * 365 * 10);
/// A caller counts as returning in time for this long after the time that it
/// was given: three waits for an answer of 3 s.
constexpr Duration kReturnWindow = std::chrono::seconds(9);
/// Bounds the sum of all promised work to 64 bits.
constexpr std::uint64_t kMaxCoreMs = 1'000'000'000'000'000;

/// Callers' estimates of run times are off by up to 90%; averaged with the
/// learned mean, a task takes up to about twice as long as expected, and the
/// objective grows with it.
constexpr int kEstimateError = 2;

Duration ObjectiveOf(const QueuePolicy& policy, Duration critical_path) {
  const auto stretched = std::chrono::duration_cast<Duration>(
      std::min<std::chrono::duration<double, Duration::period>>(
          critical_path * policy.stretch, kMaxObjective));
  return std::min(policy.target_latency, kMaxObjective) + stretched;
}

/// Whether a job with this delay can end within its objective, when its tasks
/// take as long as expected or longer by the error of the estimates.
bool CanBeInTime(const Submission& submission, Duration delay) {
  for (const int factor : {1, kEstimateError}) {
    const Duration critical_path = factor * submission.demand.critical_path;
    if (delay + critical_path <= ObjectiveOf(submission.policy, critical_path))
      return true;
  }
  return false;
}

std::uint32_t WholeSeconds(double seconds) {
  return static_cast<std::uint32_t>(std::clamp(
      std::ceil(seconds), 1.0, ToSeconds(AdmissionBook::kMaxRetryAfter)));
}

}  // namespace

const char* ToText(RejectReason reason) {
  switch (reason) {
    case RejectReason::kNoUse:
      return "no-use";
    case RejectReason::kLate:
      return "late";
    case RejectReason::kEarly:
      break;
  }
  return "early";
}

std::optional<Rejection> AdmissionBook::Decide(const Submission& submission,
                                               const PoolState& state,
                                               Instant now) {
  Expire(now);
  // A queue whose objective leaves no time to wait has no objective in fact:
  // its jobs may take as long as the backlog.
  const bool has_objective = submission.policy.target_latency > Duration(0) ||
                             submission.policy.stretch > 1;
  if (!has_objective || state.backlog == nullptr ||
      state.backlog->DrainTime() < kMinBacklog) {
    Forget(submission.job);
    return std::nullopt;
  }
  const PoolBacklog& backlog = *state.backlog;
  const Duration delay =
      backlog.DelayOf(submission.policy.priority, submission.demand.core_ms);
  const Duration critical_path = submission.demand.critical_path;
  const Duration expiry =
      kExpiryFactor * ObjectiveOf(submission.policy, critical_path);
  const auto promise = promises_.find(submission.job);
  const bool is_early =
      promise != promises_.end() && now < promise->second.return_at;
  const bool has_returned = promise != promises_.end() && !is_early;
  if (CanBeInTime(submission, delay)) {
    Forget(submission.job);
    return std::nullopt;
  }
  if (is_early) {
    return Rejection{RejectReason::kEarly,
                     WholeSeconds(ToSeconds(promise->second.return_at - now))};
  }
  const bool is_of_use = delay + critical_path <= expiry;
  if (has_returned && is_of_use) {
    // Served before new jobs.
    Forget(submission.job);
    return std::nullopt;
  }
  const std::uint32_t retry_after_s = ChooseReturn(submission.pool, state);
  const Duration returned_end =
      std::chrono::seconds(retry_after_s) + critical_path;
  Forget(submission.job);
  if (is_of_use && returned_end > expiry) return std::nullopt;
  RememberPromise(submission, now + std::chrono::seconds(retry_after_s));
  return Rejection{is_of_use ? RejectReason::kLate : RejectReason::kNoUse,
                   retry_after_s};
}

std::uint32_t AdmissionBook::ChooseReturn(const PoolId& pool,
                                          const PoolState& state) {
  const auto it = promised_core_ms_.find(pool);
  const std::uint64_t promised = it == promised_core_ms_.end() ? 0 : it->second;
  const double wait = ToSeconds(state.backlog->DrainTime()) +
                      ToSeconds(state.backlog->TimeFor(promised)) *
                          static_cast<double>(state.entries);
  return WholeSeconds(wait + std::max(1.0, wait / 4) * random_.Unit());
}

void AdmissionBook::RememberPromise(const Submission& submission,
                                    Instant return_at) {
  // The first one is the next to be forgotten anyway.
  if (promises_.size() >= kMaxPromises)
    Forget(JobId(expiries_.begin()->second));
  const std::uint64_t core_ms = std::min(submission.demand.core_ms, kMaxCoreMs);
  promises_[submission.job] = {
      .pool = submission.pool, .core_ms = core_ms, .return_at = return_at};
  expiries_.emplace(return_at, submission.job);
  promised_core_ms_[submission.pool] += core_ms;
}

void AdmissionBook::StopCounting(Promise& promise) {
  if (!std::exchange(promise.is_counted, false)) return;
  const auto it = promised_core_ms_.find(promise.pool);
  if (it == promised_core_ms_.end()) return;
  it->second -= promise.core_ms;
  if (it->second == 0) promised_core_ms_.erase(it);
}

void AdmissionBook::Expire(Instant now) {
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    const JobId job = expiries_.begin()->second;
    expiries_.erase(expiries_.begin());
    const auto it = promises_.find(job);
    if (it->second.is_counted) {
      StopCounting(it->second);
      expiries_.emplace(it->second.return_at + kReturnWindow, job);
    } else {
      promises_.erase(it);
    }
  }
}

void AdmissionBook::Forget(const JobId& job) {
  const auto it = promises_.find(job);
  if (it == promises_.end()) return;
  Promise& promise = it->second;
  const Instant expires_at = promise.is_counted
                                 ? promise.return_at
                                 : promise.return_at + kReturnWindow;
  const auto [first, last] = expiries_.equal_range(expires_at);
  const auto expiry = std::find_if(
      first, last, [&](const auto& entry) { return entry.second == job; });
  if (expiry != last) expiries_.erase(expiry);
  StopCounting(promise);
  promises_.erase(it);
}

}  // namespace pomelomill
