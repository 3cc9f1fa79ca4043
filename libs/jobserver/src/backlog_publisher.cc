#include "backlog_publisher.h"

#include <utility>

#include "pomelomill/store/store_error.h"
#include "store_keys.h"
#include "store_records.h"

namespace pomelomill {
namespace {

constexpr Duration kInterval = std::chrono::milliseconds(200);
constexpr Duration kStoreTimeout = std::chrono::milliseconds(900);
/// A backlog is stored again when it differs by more than the stored one
/// divided by this number.
constexpr int kChangeDivisor = 4;

}  // namespace

class BacklogPublisher::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const TransactionClient& client, TimerService& timers, PoolId pool,
       FencingToken token, LeaseId lease, BacklogPublisherHooks hooks)
      : client_(client),
        timers_(timers),
        pool_(std::move(pool)),
        token_(token),
        lease_(std::move(lease)),
        hooks_(std::move(hooks)) {}

  void Start() { ScheduleTick(); }

  void Halt() {
    is_halted_ = true;
    timers_.Cancel(timer_);
  }

 private:
  void ScheduleTick() {
    timer_ = timers_.ScheduleAfter(kInterval, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self != nullptr && !self->is_halted_) self->Tick();
    });
  }

  void Tick() {
    ScheduleTick();
    if (is_write_in_flight_ || !hooks_.may_publish()) return;
    const auto backlog = hooks_.estimate();
    Duration delay = backlog ? backlog->DrainTime() : Duration(0);
    if (delay < kMinBacklog) delay = Duration(0);
    if (is_stored_delay_known_ && !HasChanged(delay)) return;
    Write(delay, delay == Duration(0) ? nullptr : &*backlog);
  }

  bool HasChanged(Duration delay) const {
    if ((delay == Duration(0)) != (stored_delay_ == Duration(0))) return true;
    return std::chrono::abs(delay - stored_delay_) >
           stored_delay_ / kChangeDivisor;
  }

  /// Writes the backlog, or removes the record when `backlog` is null.
  void Write(Duration delay, const PoolBacklog* backlog) {
    const std::string key = BacklogKey(pool_);
    Transaction transaction;
    transaction.expectations = {{OwnerKey(pool_), Version(token_.value())},
                                {key, record_version_}};
    if (backlog != nullptr) {
      transaction.writes = {
          {key, EncodeBacklog({.token = token_, .backlog = *backlog}), lease_}};
    } else {
      transaction.removals = {key};
    }
    is_write_in_flight_ = true;
    client_.commit(
        std::move(transaction), kStoreTimeout,
        [weak = weak_from_this(), delay](const Result<CommitResult>& result) {
          const auto self = weak.lock();
          if (self != nullptr && !self->is_halted_)
            self->OnWritten(delay, result);
        });
  }

  void OnWritten(Duration delay, const Result<CommitResult>& result) {
    is_write_in_flight_ = false;
    // After an error the next tick writes again; a write that is carried out
    // late conflicts with that.
    is_stored_delay_known_ = false;
    if (!result) return hooks_.on_published(delay, Unexpected(result.error()));
    if (result->is_committed) {
      is_stored_delay_known_ = true;
      stored_delay_ = delay;
      record_version_ = delay == Duration(0) ? Version() : result->version;
      return hooks_.on_published(delay, {});
    }
    for (const StoredKey& it : result->current) {
      if (it.key == BacklogKey(pool_)) record_version_ = it.version;
    }
    hooks_.on_published(delay,
                        Unexpected(make_error_code(StoreError::kConflict)));
  }

  const TransactionClient& client_;
  TimerService& timers_;
  const PoolId pool_;
  const FencingToken token_;
  const LeaseId lease_;
  const BacklogPublisherHooks hooks_;
  TimerId timer_ = 0;
  bool is_write_in_flight_ = false;
  bool is_halted_ = false;
  /// False while it is not known whether the latest write took effect. A record
  /// of an earlier owner is ignored by the entries and counts as none.
  bool is_stored_delay_known_ = true;
  Duration stored_delay_{};
  /// Expected version of the record; 0 for none.
  Version record_version_;
};

BacklogPublisher::BacklogPublisher(const TransactionClient& client,
                                   TimerService& timers, PoolId pool,
                                   FencingToken token, LeaseId lease,
                                   BacklogPublisherHooks hooks)
    : impl_(std::make_shared<Impl>(client, timers, std::move(pool), token,
                                   std::move(lease), std::move(hooks))) {}
BacklogPublisher::~BacklogPublisher() { impl_->Halt(); }

void BacklogPublisher::Start() { impl_->Start(); }

}  // namespace pomelomill
