#include "job_acceptor.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "pomelomill/base/late_calls.h"
#include "pomelomill/store/adaptive_committer.h"
#include "pomelomill/store/store_error.h"
#include "store_keys.h"

namespace pomelomill {
namespace {

/// Expectation that the job's id is unused, and writes of its location and its
/// specification.
constexpr std::size_t kTransactionEntriesPerJob = 3;
constexpr std::size_t kJobsPerTransaction =
    kMaxTransactionEntries / kTransactionEntriesPerJob;
/// Callers time out after 3 s. A submission whose outcome is still unknown
/// after this time ends as kUnknown, which leaves the caller time to retry at
/// another entry.
constexpr Duration kOutcomeTimeout = std::chrono::milliseconds(1200);
/// 1.5 times the response time of a slow store.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(450);
constexpr Duration kProbeInterval = std::chrono::milliseconds(100);
/// About 200 kB; the jobs that end as kUnknown until an outage is noticed are
/// far fewer.
constexpr std::size_t kMaxRememberedUnknown = 2'048;

/// Availability of the store, judged by the latest commits and probes.
enum class StoreHealth {
  kUp,
  /// A commit failed; the first probe has not been answered yet.
  kSuspect,
  /// The latest probe failed.
  kDown,
};

struct PendingJob {
  JobId id;
  JobLocation location;
  std::string encoded_job;
  JobAcceptor::Done done;
  Instant submitted_at{};
  /// An earlier commit of this job had an unknown outcome.
  bool may_be_stored = false;
};

}  // namespace

class JobAcceptor::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const TransactionClient& client, TimerService& timers,
       JobAcceptorHooks hooks)
      : client_(client), timers_(timers), hooks_(std::move(hooks)) {}

  void Submit(PendingJob job) {
    job.may_be_stored = unknown_.contains(job.id);
    if (health_ == StoreHealth::kDown) {
      return End(job, job.may_be_stored ? AcceptOutcome::kUnknown
                                        : AcceptOutcome::kRefused);
    }
    job.submitted_at = timers_.Now();
    pending_.push_back(std::move(job));
    if (!is_commit_in_flight_) Commit();
  }

  std::size_t pending_jobs() const { return pending_.size(); }

  bool MayBecomeStored(const JobId& job) const {
    const auto it = unknown_.find(job);
    return it != unknown_.end() &&
           timers_.Now() - it->second < kLateCallLifetime;
  }

 private:
  void End(const PendingJob& job, AcceptOutcome outcome) {
    End(job, outcome, job.location);
  }

  void End(const PendingJob& job, AcceptOutcome outcome,
           const JobLocation& location) {
    if (outcome == AcceptOutcome::kUnknown) {
      RememberUnknown(job.id);
    } else if (outcome == AcceptOutcome::kAccepted) {
      unknown_.erase(job.id);
    }
    job.done(outcome, location);
  }

  void RememberUnknown(const JobId& job) {
    unknown_.insert_or_assign(job, timers_.Now());
    if (unknown_.size() <= kMaxRememberedUnknown) return;
    unknown_.erase(std::min_element(
        unknown_.begin(), unknown_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }

  void Commit() {
    if (pending_.empty() || health_ != StoreHealth::kUp) return;
    is_commit_in_flight_ = true;
    std::vector<PendingJob> jobs;
    while (!pending_.empty() && jobs.size() < kJobsPerTransaction) {
      // A transaction cannot hold a key twice; a second submission of the same
      // id waits for the next one.
      const bool is_duplicate = std::any_of(
          jobs.begin(), jobs.end(),
          [&](const PendingJob& it) { return it.id == pending_.front().id; });
      if (is_duplicate) break;
      jobs.push_back(std::move(pending_.front()));
      pending_.pop_front();
    }
    Transaction transaction;
    for (const PendingJob& it : jobs) {
      const std::string id_key = JobLocationKey(it.id);
      transaction.expectations.push_back({id_key, Version()});
      transaction.writes.push_back(
          {id_key, EncodeJobLocation(it.location), {}});
      transaction.writes.push_back(
          {JobKey(it.location.pool, it.id), it.encoded_job, {}});
    }
    auto shared = std::make_shared<std::vector<PendingJob>>(std::move(jobs));
    committer_.Commit(
        std::move(transaction),
        [weak = weak_from_this(), shared](const Result<CommitResult>& result) {
          const auto self = weak.lock();
          if (self != nullptr) self->OnCommitResult(*shared, result);
        });
  }

  void OnCommitResult(std::vector<PendingJob>& jobs,
                      const Result<CommitResult>& result) {
    is_commit_in_flight_ = false;
    if (!result) {
      const bool is_unknown = result.error() == StoreError::kOutcomeUnknown ||
                              result.error() == StoreError::kBadResponse;
      for (PendingJob& it : jobs) OnCommitError(it, is_unknown);
      SuspectStore();
    } else if (result->is_committed) {
      for (const PendingJob& it : jobs) End(it, AcceptOutcome::kAccepted);
    } else {
      for (PendingJob& it : jobs) {
        if (const auto stored = FindStoredLocation(it, *result)) {
          End(it, AcceptOutcome::kAccepted, *stored);
        } else {
          pending_.push_front(std::move(it));
        }
      }
    }
    if (!is_commit_in_flight_) Commit();
  }

  /// Returns the location of the job's id in the store; nullopt when the id is
  /// unused.
  static std::optional<JobLocation> FindStoredLocation(
      const PendingJob& job, const CommitResult& result) {
    const std::string key = JobLocationKey(job.id);
    for (const StoredKey& it : result.current) {
      if (it.key != key || it.version == Version()) continue;
      return DecodeJobLocation(it.value).value_or(job.location);
    }
    return std::nullopt;
  }

  void OnCommitError(PendingJob& job, bool is_unknown) {
    job.may_be_stored |= is_unknown;
    if (!job.may_be_stored) return End(job, AcceptOutcome::kRefused);
    // Unless is_unknown, this commit took no effect for certain, but an earlier
    // one may have.
    if (!is_unknown || timers_.Now() - job.submitted_at >= kOutcomeTimeout)
      return End(job, AcceptOutcome::kUnknown);
    // Committing again is safe: the commit conflicts with the job's key if an
    // earlier one took effect.
    pending_.push_front(std::move(job));
  }

  void SuspectStore() {
    if (health_ != StoreHealth::kUp) return;
    health_ = StoreHealth::kSuspect;
    if (timers_.Now() >= probed_at_ + kProbeInterval) return Probe();
    ScheduleProbe();
  }

  void ScheduleProbe() {
    timers_.ScheduleAfter(kProbeInterval, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self != nullptr) self->Probe();
    });
  }

  void Probe() {
    probed_at_ = timers_.Now();
    client_.read(kFleetWritesKey, kProbeTimeout,
                 [weak = weak_from_this()](const Result<StoredKey>& key) {
                   const auto self = weak.lock();
                   if (self != nullptr) self->OnProbe(key);
                 });
  }

  void OnProbe(const Result<StoredKey>& key) {
    const bool is_up = key || key.error() == StoreError::kNotFound;
    if (is_up) {
      if (health_ == StoreHealth::kDown && hooks_.on_store_availability)
        hooks_.on_store_availability(true);
      health_ = StoreHealth::kUp;
      return Commit();
    }
    if (health_ != StoreHealth::kDown && hooks_.on_store_availability)
      hooks_.on_store_availability(false);
    health_ = StoreHealth::kDown;
    FailPending();
    ScheduleProbe();
  }

  /// Refuses jobs that were never sent, and ends jobs whose outcome has been
  /// unknown for kOutcomeTimeout.
  void FailPending() {
    std::deque<PendingJob> kept;
    for (PendingJob& it : std::exchange(pending_, {})) {
      if (!it.may_be_stored) {
        End(it, AcceptOutcome::kRefused);
      } else if (timers_.Now() - it.submitted_at >= kOutcomeTimeout) {
        End(it, AcceptOutcome::kUnknown);
      } else {
        kept.push_back(std::move(it));
      }
    }
    for (PendingJob& it : pending_) kept.push_back(std::move(it));
    pending_ = std::move(kept);
  }

  const TransactionClient& client_;
  TimerService& timers_;
  AdaptiveCommitter committer_{client_, timers_};
  JobAcceptorHooks hooks_;
  std::deque<PendingJob> pending_;
  /// Jobs that have ended as kUnknown and not as kAccepted since, at most
  /// kMaxRememberedUnknown, and when they did last.
  std::map<JobId, Instant> unknown_;
  StoreHealth health_ = StoreHealth::kUp;
  Instant probed_at_{};
  bool is_commit_in_flight_ = false;
};

JobAcceptor::JobAcceptor(const TransactionClient& client, TimerService& timers,
                         JobAcceptorHooks hooks)
    : impl_(std::make_shared<Impl>(client, timers, std::move(hooks))) {}
JobAcceptor::~JobAcceptor() = default;

void JobAcceptor::Submit(const JobId& id, const JobLocation& location,
                         std::string encoded_job, Done done) {
  impl_->Submit({.id = id,
                 .location = location,
                 .encoded_job = std::move(encoded_job),
                 .done = std::move(done)});
}

bool JobAcceptor::MayBecomeStored(const JobId& job) const {
  return impl_->MayBecomeStored(job);
}

std::size_t JobAcceptor::pending_jobs() const { return impl_->pending_jobs(); }

}  // namespace pomelomill
