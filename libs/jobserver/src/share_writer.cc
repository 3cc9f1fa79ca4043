#include "share_writer.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "owner_condition.h"
#include "pomelomill/store/adaptive_committer.h"
#include "pomelomill/store/prefix_follower.h"
#include "pomelomill/workspaces/share_ledger.h"
#include "store_keys.h"
#include "store_records.h"

namespace pomelomill {
namespace {

/// A change has an expectation and a write, beside the expectation of the owner
/// key.
constexpr std::size_t kChangesPerTransaction = (kMaxTransactionEntries - 1) / 2;
/// Least time between two writes of a pool, a fraction of the run time of a
/// task.
constexpr Duration kMinWriteInterval = std::chrono::milliseconds(50);
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
/// Shares that are not needed any more are noticed this often.
constexpr Duration kCheckPeriod = std::chrono::milliseconds(250);

}  // namespace

class ShareWriter::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const TransactionClient& client, TimerService& timers, PoolId pool,
       FencingToken token, ShareWriterHooks hooks)
      : client_(client),
        timers_(timers),
        pool_(std::move(pool)),
        token_(token),
        hooks_(std::move(hooks)),
        ledger_(pool_) {}

  void Halt() {
    is_halted_ = true;
    hooks_ = {};
    follower_.reset();
    for (const TimerId it : {write_timer_, check_timer_}) timers_.Cancel(it);
  }

  void SetCaps(const std::vector<WorkspaceConfig>& workspaces) {
    if (is_halted_) return;
    std::map<WorkspaceId, ResourceAmount> caps;
    for (const WorkspaceConfig& it : workspaces) caps[it.id] = it.cap;
    ledger_.SetCaps(caps);
    if (!follower_ && !ledger_.CappedWorkspaces().empty()) Follow();
    PublishLimits();
    Update();
  }

  void SetTakeoverComplete() {
    if (is_halted_ || std::exchange(is_takeover_complete_, true)) return;
    ledger_.SetTakeoverComplete();
    PublishLimits();
  }

  void Update() {
    if (is_halted_ || !follower_ || !changes_.empty() || is_write_scheduled_)
      return;
    const Instant now = timers_.Now();
    if (now < next_write_at_) return ScheduleWrite(next_write_at_);
    changes_ = ledger_.Plan(hooks_.uses(), now, kChangesPerTransaction);
    if (changes_.empty()) return;
    // Reductions count from now on.
    PublishLimits();
    Commit();
  }

 private:
  void Follow() {
    follower_.emplace(client_, timers_, kSharePrefix,
                      PrefixFollowerHooks{.on_change =
                                              [this](const StoredKey& it) {
                                                ApplyRecord(it);
                                                if (!follower_->is_loaded())
                                                  return;
                                                PublishLimits();
                                                Update();
                                              },
                                          .on_loaded =
                                              [this] {
                                                ledger_.SetLoaded();
                                                PublishLimits();
                                                Update();
                                              }});
    follower_->Start();
    Check();
  }

  void Check() {
    Update();
    check_timer_ =
        timers_.ScheduleAfter(kCheckPeriod, [weak = weak_from_this()] {
          const auto self = weak.lock();
          if (self != nullptr && !self->is_halted_) self->Check();
        });
  }

  /// Returns the shares of a record; none for a malformed one, which the next
  /// write replaces.
  ShareRecord Decode(const StoredKey& it) const {
    if (it.is_removed) return {};
    auto shares = DecodeShares(it.value);
    if (!shares && hooks_.on_bad_record) hooks_.on_bad_record(it.key);
    return shares.value_or(ShareRecord{});
  }

  void ApplyRecord(const StoredKey& it) {
    const std::string prefix = kSharePrefix;
    if (!it.key.starts_with(prefix)) return;
    ledger_.SetRecord(WorkspaceId(it.key.substr(prefix.size())), Decode(it),
                      it.version);
  }

  /// Takes over the record with which a change conflicts.
  void Reconcile(const ShareChange& change,
                 const std::vector<StoredKey>& current) {
    const auto it = std::find_if(
        current.begin(), current.end(), [&](const StoredKey& stored) {
          return stored.key == ShareKey(change.workspace);
        });
    if (it == current.end()) {
      ledger_.OnConflict(change, {}, Version());
    } else {
      ledger_.OnConflict(change, Decode(*it), it->version);
    }
  }

  void PublishLimits() {
    for (const WorkspaceId& it : ledger_.CappedWorkspaces())
      published_.try_emplace(it);
    // With those that have no cap any more.
    for (auto& [id, published] : published_) {
      const WorkspaceLimits limits{ledger_.Limit(id), ledger_.Cap(id)};
      if (published == limits) continue;
      published = limits;
      hooks_.on_limits(id, limits);
    }
  }

  void Commit() {
    next_write_at_ = timers_.Now() + kMinWriteInterval;
    Transaction transaction;
    transaction.expectations.push_back(OwnerExpectation(pool_, token_));
    for (const ShareChange& it : changes_) {
      const std::string key = ShareKey(it.workspace);
      transaction.expectations.push_back({key, it.expected});
      transaction.writes.push_back({key, EncodeShares(it.record), {}});
    }
    committer_.Commit(
        std::move(transaction),
        [weak = weak_from_this()](const Result<CommitResult>& result) {
          const auto self = weak.lock();
          if (self != nullptr && !self->is_halted_) self->OnResult(result);
        });
  }

  void OnResult(const Result<CommitResult>& result) {
    if (!result) {
      // The transaction may have taken effect, or may still. Once it has, its
      // repetition conflicts.
      write_timer_ =
          timers_.ScheduleAfter(kRetryDelay, [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (self != nullptr && !self->is_halted_) self->Commit();
          });
      return;
    }
    const auto changes = std::exchange(changes_, {});
    if (result->is_committed) {
      hooks_.on_committed(result->version);
      for (const ShareChange& it : changes) {
        ledger_.OnStored(it, result->version);
        hooks_.on_share(it.workspace, it.former, it.share);
      }
    } else {
      if (!IsStillOwned(result->current, pool_, token_))
        return hooks_.on_lost();
      for (const ShareChange& it : changes) Reconcile(it, result->current);
    }
    PublishLimits();
    Update();
  }

  void ScheduleWrite(Instant when) {
    is_write_scheduled_ = true;
    write_timer_ = timers_.ScheduleAt(when, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self == nullptr || self->is_halted_) return;
      self->is_write_scheduled_ = false;
      self->Update();
    });
  }

  const TransactionClient& client_;
  TimerService& timers_;
  AdaptiveCommitter committer_{client_, timers_};
  const PoolId pool_;
  const FencingToken token_;
  ShareWriterHooks hooks_;
  ShareLedger ledger_;
  std::optional<PrefixFollower> follower_;
  /// Limits that were passed on last.
  std::map<WorkspaceId, WorkspaceLimits> published_;
  /// Changes whose outcome is not known yet.
  std::vector<ShareChange> changes_;
  Instant next_write_at_{};
  TimerId write_timer_ = 0;
  TimerId check_timer_ = 0;
  bool is_write_scheduled_ = false;
  bool is_takeover_complete_ = false;
  bool is_halted_ = false;
};

ShareWriter::ShareWriter(const TransactionClient& client, TimerService& timers,
                         PoolId pool, FencingToken token,
                         ShareWriterHooks hooks)
    : impl_(std::make_shared<Impl>(client, timers, std::move(pool), token,
                                   std::move(hooks))) {}
ShareWriter::~ShareWriter() { impl_->Halt(); }

void ShareWriter::SetCaps(const std::vector<WorkspaceConfig>& workspaces) {
  impl_->SetCaps(workspaces);
}
void ShareWriter::SetTakeoverComplete() { impl_->SetTakeoverComplete(); }
void ShareWriter::Update() { impl_->Update(); }
void ShareWriter::Stop() { impl_->Halt(); }

}  // namespace pomelomill
