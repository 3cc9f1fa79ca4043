#include "accept_batch.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "pomelomill/store/store_error.h"
#include "store_keys.h"

namespace pomelomill {
namespace {

/// The expectation, the place and the job.
constexpr std::size_t kEntriesPerJob = 3;
constexpr std::size_t kJobsPerTransaction =
    kMaxTransactionEntries / kEntriesPerJob;
/// The store answers in some milliseconds, and within 300 ms when it is slow;
/// a longer silence means that the answer is lost.
constexpr Duration kCommitTimeout = std::chrono::milliseconds(900);
/// Callers wait 3 s; a request whose outcome is unknown after this time is
/// given back, so that the caller can ask another entry.
constexpr Duration kGiveUpAfter = std::chrono::milliseconds(1200);
/// A read that takes longer fails: 1.5 times the answer of a slow store.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(450);
constexpr Duration kProbePause = std::chrono::milliseconds(100);

/// What the latest calls said of the store.
enum class StoreHealth {
  kUp,
  /// A transaction failed; nothing else is known.
  kDoubtful,
  /// A read failed as well.
  kDown,
};

struct Pending {
  JobId id;
  JobPlace place;
  std::string encoded_job;
  AcceptBatch::Done done;
  Instant since{};
  /// An earlier transaction with this job ended without an answer.
  bool may_be_stored = false;
};

}  // namespace

class AcceptBatch::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const TransactionClient& client, TimerService& timers,
       AcceptBatchHooks hooks)
      : client_(client), timers_(timers), hooks_(std::move(hooks)) {}

  void Add(Pending job) {
    if (health_ == StoreHealth::kDown) return job.done(AcceptOutcome::kRefused);
    job.since = timers_.Now();
    waiting_.push_back(std::move(job));
    if (!is_busy_) Commit();
  }

  std::size_t waiting() const { return waiting_.size(); }

 private:
  void Commit() {
    if (waiting_.empty() || health_ != StoreHealth::kUp) return;
    is_busy_ = true;
    std::vector<Pending> jobs;
    while (!waiting_.empty() && jobs.size() < kJobsPerTransaction) {
      // Two requests with one id cannot be in one transaction.
      const bool is_there = std::any_of(
          jobs.begin(), jobs.end(),
          [&](const Pending& it) { return it.id == waiting_.front().id; });
      if (is_there) break;
      jobs.push_back(std::move(waiting_.front()));
      waiting_.pop_front();
    }
    Transaction transaction;
    for (const Pending& it : jobs) {
      const std::string id_key = JobIdKey(it.id);
      transaction.expectations.push_back({id_key, Version()});
      transaction.writes.push_back({id_key, EncodeJobPlace(it.place), {}});
      transaction.writes.push_back(
          {JobKey(it.place.pool, it.id), it.encoded_job, {}});
    }
    auto shared = std::make_shared<std::vector<Pending>>(std::move(jobs));
    client_.commit(
        std::move(transaction), kCommitTimeout,
        [weak = weak_from_this(), shared](const Result<CommitResult>& result) {
          const auto self = weak.lock();
          if (self != nullptr) self->OnResult(*shared, result);
        });
  }

  void OnResult(std::vector<Pending>& jobs,
                const Result<CommitResult>& result) {
    is_busy_ = false;
    if (!result) {
      const bool is_unknown = result.error() == StoreError::kOutcomeUnknown ||
                              result.error() == StoreError::kBadResponse;
      for (Pending& it : jobs) OnError(it, is_unknown);
      Doubt();
    } else if (result->is_committed) {
      for (const Pending& it : jobs) it.done(AcceptOutcome::kAccepted);
    } else {
      for (Pending& it : jobs) {
        if (IsStored(it, *result)) {
          it.done(AcceptOutcome::kAccepted);
        } else {
          waiting_.push_front(std::move(it));
        }
      }
    }
    if (!is_busy_) Commit();
  }

  static bool IsStored(const Pending& job, const CommitResult& result) {
    const std::string key = JobIdKey(job.id);
    return std::any_of(result.current.begin(), result.current.end(),
                       [&](const StoredKey& it) {
                         return it.key == key && it.version != Version();
                       });
  }

  void OnError(Pending& job, bool is_unknown) {
    job.may_be_stored |= is_unknown;
    if (!job.may_be_stored) return job.done(AcceptOutcome::kRefused);
    // Another try finds the key when the first one took effect.
    if (!is_unknown || timers_.Now() - job.since >= kGiveUpAfter)
      return job.done(AcceptOutcome::kUnknown);
    waiting_.push_front(std::move(job));
  }

  void Doubt() {
    if (health_ != StoreHealth::kUp) return;
    health_ = StoreHealth::kDoubtful;
    if (timers_.Now() >= probed_at_ + kProbePause) return Probe();
    ProbeLater();
  }

  void ProbeLater() {
    timers_.ScheduleAfter(kProbePause, [weak = weak_from_this()] {
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
      if (health_ == StoreHealth::kDown && hooks_.on_store)
        hooks_.on_store(true);
      health_ = StoreHealth::kUp;
      return Commit();
    }
    if (health_ != StoreHealth::kDown && hooks_.on_store)
      hooks_.on_store(false);
    health_ = StoreHealth::kDown;
    EndWaiting();
    ProbeLater();
  }

  /// Refuses what was never sent, and gives up what is unknown for too long.
  void EndWaiting() {
    std::deque<Pending> kept;
    for (Pending& it : std::exchange(waiting_, {})) {
      if (!it.may_be_stored) {
        it.done(AcceptOutcome::kRefused);
      } else if (timers_.Now() - it.since >= kGiveUpAfter) {
        it.done(AcceptOutcome::kUnknown);
      } else {
        kept.push_back(std::move(it));
      }
    }
    for (Pending& it : waiting_) kept.push_back(std::move(it));
    waiting_ = std::move(kept);
  }

  const TransactionClient& client_;
  TimerService& timers_;
  AcceptBatchHooks hooks_;
  std::deque<Pending> waiting_;
  StoreHealth health_ = StoreHealth::kUp;
  Instant probed_at_{};
  bool is_busy_ = false;
};

AcceptBatch::AcceptBatch(const TransactionClient& client, TimerService& timers,
                         AcceptBatchHooks hooks)
    : impl_(std::make_shared<Impl>(client, timers, std::move(hooks))) {}
AcceptBatch::~AcceptBatch() = default;

void AcceptBatch::Add(const JobId& id, const JobPlace& place,
                      std::string encoded_job, Done done) {
  impl_->Add({.id = id,
              .place = place,
              .encoded_job = std::move(encoded_job),
              .done = std::move(done)});
}

std::size_t AcceptBatch::waiting() const { return impl_->waiting(); }

}  // namespace pomelomill
