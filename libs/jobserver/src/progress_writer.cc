#include "progress_writer.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "owner_condition.h"
#include "pomelomill/store/adaptive_committer.h"
#include "pomelomill/store/store_error.h"
#include "store_keys.h"

namespace pomelomill {
namespace {

constexpr Duration kRemovalTimeout = std::chrono::milliseconds(900);
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
/// After a conflict the expected versions are known; a short delay bounds the
/// number of calls.
constexpr Duration kConflictDelay = std::chrono::milliseconds(20);
/// A transaction has an expectation and a write for each job, and the
/// expectation of the owner key.
constexpr std::size_t kJobsPerTransaction = (kMaxTransactionEntries - 1) / 2;
/// A removal has four keys for each job, and the expectation of the owner key.
constexpr std::size_t kRemovalsPerTransaction =
    (kMaxTransactionEntries - 1) / 4;

struct PendingWrite {
  JobId job;
  std::string value;
};

}  // namespace

class ProgressWriter::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const TransactionClient& client, TimerService& timers, PoolId pool,
       FencingToken token, ProgressWriterHooks hooks)
      : client_(client),
        timers_(timers),
        pool_(std::move(pool)),
        token_(token),
        hooks_(std::move(hooks)) {}

  void Halt() {
    is_halted_ = true;
    hooks_ = {};
    timers_.Cancel(timer_);
  }

  void SetStoredVersion(const JobId& job, Version version) {
    stored_versions_[job] = version;
  }

  bool is_idle() const { return batch_number_ == 0; }

  void Write(const ProgressBatch& batch) {
    batch_number_ = batch.number;
    pending_writes_.clear();
    for (const auto& it : batch.writes)
      pending_writes_.push_back({it.job, EncodeJobProgress(it.progress)});
    Commit();
  }

  void Remove(const std::vector<JobId>& jobs) {
    for (std::size_t i = 0; i < jobs.size(); i += kRemovalsPerTransaction) {
      Transaction transaction;
      transaction.expectations.push_back(OwnerExpectation(pool_, token_));
      const std::size_t end =
          std::min(jobs.size(), i + kRemovalsPerTransaction);
      for (std::size_t n = i; n < end; ++n) {
        stored_versions_.erase(jobs[n]);
        transaction.removals.push_back(JobLocationKey(jobs[n]));
        transaction.removals.push_back(JobKey(pool_, jobs[n]));
        transaction.removals.push_back(CancelKey(pool_, jobs[n]));
        transaction.removals.push_back(ProgressKey(pool_, jobs[n]));
      }
      client_.commit(
          std::move(transaction), kRemovalTimeout,
          [weak = weak_from_this()](const Result<CommitResult>& result) {
            const auto self = weak.lock();
            if (self != nullptr && !result && self->hooks_.on_retry)
              self->hooks_.on_retry(result.error());
          });
    }
  }

 private:
  void Commit() {
    if (pending_writes_.empty()) {
      const std::uint64_t number = std::exchange(batch_number_, 0);
      return hooks_.on_stored(number);
    }
    in_flight_count_ = std::min(pending_writes_.size(), kJobsPerTransaction);
    Transaction transaction;
    transaction.expectations.push_back(OwnerExpectation(pool_, token_));
    for (std::size_t i = 0; i < in_flight_count_; ++i) {
      const std::string key = ProgressKey(pool_, pending_writes_[i].job);
      transaction.expectations.push_back(
          {key, stored_versions_[pending_writes_[i].job]});
      transaction.writes.push_back({key, pending_writes_[i].value, {}});
    }
    committer_.Commit(
        std::move(transaction),
        [weak = weak_from_this()](const Result<CommitResult>& result) {
          const auto self = weak.lock();
          if (self != nullptr && !self->is_halted_) self->OnResult(result);
        });
  }

  void OnResult(const Result<CommitResult>& result) {
    if (!result) return Retry(result.error());
    if (result->is_committed) {
      hooks_.on_committed(result->version);
      for (std::size_t i = 0; i < in_flight_count_; ++i)
        stored_versions_[pending_writes_[i].job] = result->version;
      pending_writes_.erase(pending_writes_.begin(),
                            pending_writes_.begin() +
                                static_cast<std::ptrdiff_t>(in_flight_count_));
      return Commit();
    }
    if (!IsStillOwned(result->current, pool_, token_)) return hooks_.on_lost();
    // A transaction whose response was lost has taken effect; its versions are
    // expected from now on.
    const std::string prefix = ProgressPrefix(pool_);
    for (const StoredKey& it : result->current) {
      if (it.key.starts_with(prefix))
        stored_versions_[JobId(it.key.substr(prefix.size()))] = it.version;
    }
    Retry(StoreError::kConflict);
  }

  void Retry(std::error_code ec) {
    if (hooks_.on_retry) hooks_.on_retry(ec);
    const Duration delay =
        ec == StoreError::kConflict ? kConflictDelay : kRetryDelay;
    timer_ = timers_.ScheduleAfter(delay, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self != nullptr && !self->is_halted_) self->Commit();
    });
  }

  const TransactionClient& client_;
  TimerService& timers_;
  AdaptiveCommitter committer_{client_, timers_};
  const PoolId pool_;
  const FencingToken token_;
  ProgressWriterHooks hooks_;
  std::map<JobId, Version> stored_versions_;
  std::vector<PendingWrite> pending_writes_;
  /// Writes at the front of pending_writes_ that the current transaction has.
  std::size_t in_flight_count_ = 0;
  /// Number of the batch being written; 0 for none.
  std::uint64_t batch_number_ = 0;
  TimerId timer_ = 0;
  bool is_halted_ = false;
};

ProgressWriter::ProgressWriter(const TransactionClient& client,
                               TimerService& timers, PoolId pool,
                               FencingToken token, ProgressWriterHooks hooks)
    : impl_(std::make_shared<Impl>(client, timers, std::move(pool), token,
                                   std::move(hooks))) {}
ProgressWriter::~ProgressWriter() { impl_->Halt(); }

void ProgressWriter::SetStoredVersion(const JobId& job, Version version) {
  impl_->SetStoredVersion(job, version);
}
bool ProgressWriter::is_idle() const { return impl_->is_idle(); }
void ProgressWriter::Write(const ProgressBatch& batch) { impl_->Write(batch); }
void ProgressWriter::Remove(const std::vector<JobId>& jobs) {
  impl_->Remove(jobs);
}

}  // namespace pomelomill
