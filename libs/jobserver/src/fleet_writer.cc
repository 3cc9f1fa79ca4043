#include "fleet_writer.h"

#include <map>
#include <optional>
#include <utility>

#include "pomelomill/store/adaptive_committer.h"
#include "pomelomill/store/store_error.h"
#include "store_keys.h"

namespace pomelomill {
namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
/// After a conflict the expected version is known; a short delay bounds the
/// number of calls.
constexpr Duration kConflictDelay = std::chrono::milliseconds(20);
/// A transaction also has two expectations and the write of the common key.
constexpr std::size_t kKeysPerBatch = kMaxTransactionEntries - 3;

/// Values to write by key; empty for a key to remove.
using Changes = std::map<std::string, std::optional<std::string>>;

}  // namespace

class FleetWriter::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const TransactionClient& client, TimerService& timers,
       FencingToken token, FleetWriterHooks hooks)
      : timers_(timers),
        committer_(client, timers),
        token_(token),
        hooks_(std::move(hooks)) {}

  void Halt() {
    is_halted_ = true;
    hooks_ = {};
    timers_.Cancel(timer_);
  }

  void Enqueue(const std::string& key, std::optional<std::string> value) {
    queued_[key] = std::move(value);
    if (!in_flight_.empty()) return;
    TakeBatch();
    Commit();
  }

 private:
  void TakeBatch() {
    ++batch_number_;
    while (!queued_.empty() && in_flight_.size() < kKeysPerBatch)
      in_flight_.insert(queued_.extract(queued_.begin()));
  }

  std::string BatchId() const {
    return std::to_string(token_.value()) + " " + std::to_string(batch_number_);
  }

  void Commit() {
    Transaction transaction;
    transaction.expectations = {
        {OwnerKey(PoolId(kFleetRole)), Version(token_.value())},
        {kFleetWritesKey, last_write_version_}};
    transaction.writes = {{kFleetWritesKey, BatchId(), {}}};
    for (const auto& [key, value] : in_flight_) {
      if (value) {
        transaction.writes.push_back({key, *value, {}});
      } else {
        transaction.removals.push_back(key);
      }
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
    if (result->is_committed) return OnCommitted(result->version);
    bool is_owned = false;
    bool is_own_batch = false;
    last_write_version_ = Version();
    for (const StoredKey& it : result->current) {
      if (it.key == OwnerKey(PoolId(kFleetRole)))
        is_owned = it.version.value() == token_.value();
      if (it.key != kFleetWritesKey) continue;
      last_write_version_ = it.version;
      is_own_batch = it.value == BatchId();
    }
    if (!is_owned) return hooks_.on_lost();
    // An earlier attempt to write this batch took effect, but its response was
    // lost.
    if (is_own_batch) return OnCommitted(last_write_version_);
    Retry(StoreError::kConflict);
  }

  void OnCommitted(Version version) {
    last_write_version_ = version;
    in_flight_.clear();
    if (queued_.empty()) return;
    TakeBatch();
    Commit();
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

  TimerService& timers_;
  AdaptiveCommitter committer_;
  const FencingToken token_;
  FleetWriterHooks hooks_;
  Changes queued_;
  Changes in_flight_;
  /// Number of the batch in flight.
  std::uint64_t batch_number_ = 0;
  /// Version of the common key. A conflict returns the version that an earlier
  /// owner left.
  Version last_write_version_;
  TimerId timer_ = 0;
  bool is_halted_ = false;
};

FleetWriter::FleetWriter(const TransactionClient& client, TimerService& timers,
                         FencingToken token, FleetWriterHooks hooks)
    : impl_(std::make_shared<Impl>(client, timers, token, std::move(hooks))) {}

FleetWriter::~FleetWriter() { impl_->Halt(); }

void FleetWriter::Write(const std::string& key, std::string value) {
  impl_->Enqueue(key, std::move(value));
}
void FleetWriter::Remove(const std::string& key) {
  impl_->Enqueue(key, std::nullopt);
}

}  // namespace pomelomill
