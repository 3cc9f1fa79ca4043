#include "roster_keeper.h"

#include <utility>

#include "pomelomill/store/store_error.h"
#include "store_keys.h"

namespace pomelomill {
namespace {

constexpr Duration kStoreTimeout = std::chrono::milliseconds(1500);
constexpr Duration kRetryPause = std::chrono::milliseconds(100);

}  // namespace

class RosterKeeper::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const TransactionClient& client, TimerService& timers, PoolId pool,
       FencingToken token, RosterKeeperHooks hooks)
      : client_(client),
        timers_(timers),
        pool_(std::move(pool)),
        token_(token),
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
    if (is_busy_ || workers == current_.workers) return;
    RosterRecord roster = current_;
    roster.workers = std::move(workers);
    Write(roster, false);
  }

  const RosterRecord& earlier() const { return earlier_; }
  const RosterRecord& current() const { return current_; }

 private:
  void Later(std::function<void(Impl&)> work) {
    timers_.ScheduleAfter(kRetryPause,
                          [weak = weak_from_this(), work = std::move(work)] {
                            const auto self = weak.lock();
                            if (self != nullptr && !self->is_halted_)
                              work(*self);
                          });
  }

  void OnRead(const Result<StoredKey>& result) {
    if (!result && result.error() != StoreError::kNotFound)
      return Later([](Impl& self) { self.Load(); });
    if (result) {
      version_ = result->version;
      const auto roster = DecodeRoster(result->value);
      if (roster) {
        earlier_ = *roster;
      } else {
        hooks_.on_bad_record(result->key);
      }
    }
    RosterRecord roster = earlier_;
    ++roster.owner_count;
    Write(roster, true);
  }

  /// Stores the roster under the condition that the pool is still owned.
  void Write(const RosterRecord& roster, bool is_first) {
    is_busy_ = true;
    Transaction transaction;
    transaction.expectations = {{OwnerKey(pool_), Version(token_.value())},
                                {RosterKey(pool_), version_}};
    transaction.writes = {{RosterKey(pool_), EncodeRoster(roster), {}}};
    client_.commit(std::move(transaction), kStoreTimeout,
                   [weak = weak_from_this(), roster,
                    is_first](const Result<CommitResult>& result) {
                     const auto self = weak.lock();
                     if (self != nullptr && !self->is_halted_)
                       self->OnWritten(roster, is_first, result);
                   });
  }

  void OnWritten(const RosterRecord& roster, bool is_first,
                 const Result<CommitResult>& result) {
    if (result && result->is_committed) {
      is_busy_ = false;
      version_ = result->version;
      current_ = roster;
      return is_first ? hooks_.on_loaded() : hooks_.on_written();
    }
    if (result) {
      for (const StoredKey& it : result->current) {
        if (it.key == OwnerKey(pool_) && it.version.value() != token_.value())
          return hooks_.on_lost();
        // A write without an answer took effect.
        if (it.key == RosterKey(pool_)) version_ = it.version;
      }
    }
    Later([roster, is_first](Impl& self) { self.Write(roster, is_first); });
  }

  const TransactionClient& client_;
  TimerService& timers_;
  const PoolId pool_;
  const FencingToken token_;
  RosterKeeperHooks hooks_;
  RosterRecord earlier_;
  RosterRecord current_;
  Version version_;
  bool is_busy_ = false;
  bool is_halted_ = false;
};

RosterKeeper::RosterKeeper(const TransactionClient& client,
                           TimerService& timers, PoolId pool,
                           FencingToken token, RosterKeeperHooks hooks)
    : impl_(std::make_shared<Impl>(client, timers, std::move(pool), token,
                                   std::move(hooks))) {}
RosterKeeper::~RosterKeeper() { impl_->Halt(); }

void RosterKeeper::Load() { impl_->Load(); }
void RosterKeeper::SetWorkers(std::map<WorkerId, std::string> workers) {
  impl_->SetWorkers(std::move(workers));
}
const RosterRecord& RosterKeeper::earlier() const { return impl_->earlier(); }
const RosterRecord& RosterKeeper::current() const { return impl_->current(); }

}  // namespace pomelomill
