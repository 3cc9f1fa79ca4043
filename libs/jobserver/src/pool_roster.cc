#include "pool_roster.h"

#include <utility>

#include "pomelomill/store/store_error.h"
#include "store_keys.h"

namespace pomelomill {
namespace {

constexpr Duration kStoreTimeout = std::chrono::milliseconds(1500);
constexpr Duration kReleaseTimeout = std::chrono::seconds(1);
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);

}  // namespace

class PoolRoster::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const TransactionClient& client, TimerService& timers, PoolId pool,
       FencingToken token, OwnerRecord owner, PoolRosterHooks hooks)
      : client_(client),
        timers_(timers),
        pool_(std::move(pool)),
        token_(token),
        owner_(std::move(owner)),
        hooks_(std::move(hooks)) {}

  void Halt() {
    is_halted_ = true;
    hooks_ = {};
  }

  void Load() {
    client_.read(RosterKey(pool_), kStoreTimeout,
                 [weak = weak_from_this()](const Result<StoredKey>& result) {
                   const auto self = weak.lock();
                   if (self != nullptr && !self->is_halted_)
                     self->OnRead(result);
                 });
  }

  void SetWorkers(std::map<WorkerId, std::string> workers) {
    if (is_write_in_flight_ || workers == current_.workers) return;
    RosterRecord roster = current_;
    roster.workers = std::move(workers);
    Write(roster, false);
  }

  void Rewrite() {
    if (!is_write_in_flight_) Write(current_, false);
  }

  void StoreEarlierOwnersGone() {
    const bool is_due = is_loaded_ && !is_released_ && !is_write_in_flight_ &&
                        !current_.are_earlier_owners_gone &&
                        timers_.Now() >= hooks_.alone_from();
    if (is_due) Write(current_, false);
  }

  void ReleasePool(std::function<void()> done) {
    is_released_ = true;
    Transaction transaction;
    transaction.expectations = {{OwnerKey(pool_), Version(token_.value())}};
    transaction.removals = {OwnerKey(pool_)};
    // A write that is in flight fails once the owner key is gone; what it would
    // have added has no tasks yet.
    if (is_loaded_) {
      RosterRecord roster = current_;
      roster.is_released = true;
      transaction.writes = {{RosterKey(pool_), EncodeRoster(roster), {}}};
    }
    client_.commit(std::move(transaction), kReleaseTimeout,
                   [weak = weak_from_this(),
                    done = std::move(done)](const Result<CommitResult>&) {
                     const auto self = weak.lock();
                     if (self != nullptr && !self->is_halted_) done();
                   });
  }

  bool Contains(const WorkerAddress& worker) const {
    const auto names = [&](const RosterRecord& roster) {
      const auto it = roster.workers.find(worker.id);
      return it != roster.workers.end() && it->second == worker.address;
    };
    return names(current_) && (!is_write_in_flight_ || names(written_));
  }

  const RosterRecord& previous() const { return previous_; }
  const RosterRecord& current() const { return current_; }

 private:
  void RetryLater(std::function<void(Impl&)> work) {
    timers_.ScheduleAfter(kRetryDelay,
                          [weak = weak_from_this(), work = std::move(work)] {
                            const auto self = weak.lock();
                            if (self != nullptr && !self->is_halted_)
                              work(*self);
                          });
  }

  void OnRead(const Result<StoredKey>& result) {
    if (!result && result.error() != StoreError::kNotFound)
      return RetryLater([](Impl& self) { self.Load(); });
    if (result) {
      version_ = result->version;
      const auto roster = DecodeRoster(result->value);
      if (roster) {
        previous_ = *roster;
      } else {
        hooks_.on_bad_record(result->key);
      }
    } else {
      // The pool has had no owner.
      previous_.are_earlier_owners_gone = true;
      previous_.is_released = true;
    }
    hooks_.on_read(previous_);
    RosterRecord roster = previous_;
    roster.owner = owner_;
    roster.is_released = false;
    ++roster.owner_count;
    Write(roster, true);
  }

  /// Stores the roster on condition that the pool still has this owner.
  void Write(RosterRecord roster, bool is_initial) {
    is_write_in_flight_ = true;
    roster.are_earlier_owners_gone = timers_.Now() >= hooks_.alone_from();
    roster.token = token_;
    roster.lease_terms = hooks_.lease_terms();
    written_ = roster;
    Transaction transaction;
    transaction.expectations = {{OwnerKey(pool_), Version(token_.value())},
                                {RosterKey(pool_), version_}};
    transaction.writes = {{RosterKey(pool_), EncodeRoster(roster), {}}};
    client_.commit(std::move(transaction), kStoreTimeout,
                   [weak = weak_from_this(), roster,
                    is_initial](const Result<CommitResult>& result) {
                     const auto self = weak.lock();
                     if (self != nullptr && !self->is_halted_)
                       self->OnWriteFinished(roster, is_initial, result);
                   });
  }

  void OnLoaded() {
    if (!current_.are_earlier_owners_gone) {
      timers_.ScheduleAt(hooks_.alone_from(), [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self != nullptr && !self->is_halted_)
          self->StoreEarlierOwnersGone();
      });
    }
    hooks_.on_loaded();
  }

  void OnWriteFinished(const RosterRecord& roster, bool is_initial,
                       const Result<CommitResult>& result) {
    if (result && result->is_committed) {
      is_write_in_flight_ = false;
      version_ = result->version;
      current_ = roster;
      is_loaded_ = true;
      hooks_.on_committed(version_);
      StoreEarlierOwnersGone();
      return is_initial ? OnLoaded() : hooks_.on_stored();
    }
    if (result) {
      for (const StoredKey& it : result->current) {
        if (it.key == OwnerKey(pool_) && it.version.value() != token_.value())
          return hooks_.on_lost();
        // A write whose response was lost has taken effect.
        if (it.key == RosterKey(pool_)) version_ = it.version;
      }
    }
    RetryLater(
        [roster, is_initial](Impl& self) { self.Write(roster, is_initial); });
  }

  const TransactionClient& client_;
  TimerService& timers_;
  const PoolId pool_;
  const FencingToken token_;
  const OwnerRecord owner_;
  PoolRosterHooks hooks_;
  RosterRecord previous_;
  RosterRecord current_;
  /// What the write in flight stores.
  RosterRecord written_;
  Version version_;
  bool is_write_in_flight_ = false;
  bool is_loaded_ = false;
  bool is_released_ = false;
  bool is_halted_ = false;
};

PoolRoster::PoolRoster(const TransactionClient& client, TimerService& timers,
                       PoolId pool, FencingToken token, OwnerRecord owner,
                       PoolRosterHooks hooks)
    : impl_(std::make_shared<Impl>(client, timers, std::move(pool), token,
                                   std::move(owner), std::move(hooks))) {}
PoolRoster::~PoolRoster() { impl_->Halt(); }

void PoolRoster::Load() { impl_->Load(); }
void PoolRoster::SetWorkers(std::map<WorkerId, std::string> workers) {
  impl_->SetWorkers(std::move(workers));
}
void PoolRoster::Rewrite() { impl_->Rewrite(); }
void PoolRoster::StoreEarlierOwnersGone() { impl_->StoreEarlierOwnersGone(); }
void PoolRoster::ReleasePool(std::function<void()> done) {
  impl_->ReleasePool(std::move(done));
}
bool PoolRoster::Contains(const WorkerAddress& worker) const {
  return impl_->Contains(worker);
}
const RosterRecord& PoolRoster::previous() const { return impl_->previous(); }
const RosterRecord& PoolRoster::current() const { return impl_->current(); }

}  // namespace pomelomill
