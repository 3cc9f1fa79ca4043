#include "worker_directory.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "entry_follower.h"
#include "pomelomill/store/store_error.h"

namespace pomelomill {
namespace {

/// Polling period. A draining worker must get no more tasks after 2 s.
constexpr Duration kPollPeriod = std::chrono::milliseconds(400);
/// Allows for the whole list of a large fleet on a slow link.
constexpr Duration kReadTimeout = std::chrono::milliseconds(1500);
/// Shorter than the polling period, so that there is one call in each period.
constexpr Duration kWatchWait = std::chrono::milliseconds(200);

}  // namespace

class WorkerDirectory::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const TransactionClient& client, TimerService& timers,
       std::string prefix, WorkerDirectoryHooks hooks)
      : client_(client),
        timers_(timers),
        prefix_(std::move(prefix)),
        hooks_(std::move(hooks)),
        follower_(client, timers,
                  [this](const StoredKey& it) { OnEntryChange(it); }) {}

  void Start() {
    if (is_running_) return;
    is_running_ = true;
    Poll();
  }

  void Stop() {
    is_running_ = false;
    ++generation_;
    timers_.Cancel(timer_);
    follower_.Clear();
    entries_.clear();
    version_.reset();
  }

  void Follow(const WorkerId& id, Duration time) {
    if (version_)
      follower_.Follow(prefix_ + id.value(), *version_, timers_.Now() + time);
  }

  void Halt() {
    Stop();
    hooks_ = {};
  }

  bool is_loaded() const { return version_.has_value(); }

  std::vector<ListedWorker> WorkersOf(const PoolId& pool) const {
    std::vector<ListedWorker> workers;
    for (const auto& [key, entry] : entries_) {
      if (entry.worker && entry.worker->pool == pool)
        workers.push_back(*entry.worker);
    }
    return workers;
  }

 private:
  struct Entry {
    Version version;
    /// Empty when the registration cannot be decoded.
    std::optional<ListedWorker> worker;
  };

  void Poll() {
    next_poll_at_ = timers_.Now() + kPollPeriod;
    auto done = [weak = weak_from_this(), generation = generation_,
                 is_full_read = !version_](const Result<PrefixRead>& result) {
      const auto self = weak.lock();
      if (self != nullptr && self->generation_ == generation)
        self->OnAnswer(is_full_read, result);
    };
    if (version_) {
      client_.watch_prefix(prefix_, *version_, kWatchWait, std::move(done));
    } else {
      client_.read_prefix(prefix_, kReadTimeout, std::move(done));
    }
  }

  void OnAnswer(bool is_full_read, const Result<PrefixRead>& result) {
    if (result) {
      if (is_full_read) RemoveMissing(*result);
      for (const StoredKey& it : result->items) Apply(it);
      version_ = std::max(version_.value_or(Version()), result->version);
    } else if (result.error() == StoreError::kHistoryLost) {
      // Known workers are kept until the list has been read again.
      version_.reset();
    }
    // After any other failure the next poll requests the same changes again.
    timer_ = timers_.ScheduleAt(
        std::max(next_poll_at_, timers_.Now()),
        [weak = weak_from_this(), generation = generation_] {
          const auto self = weak.lock();
          if (self != nullptr && self->generation_ == generation) self->Poll();
        });
    if (result) hooks_.on_refreshed();
  }

  void OnEntryChange(const StoredKey& change) {
    const auto before = Find(change.key);
    Apply(change);
    // Most changes are heartbeats.
    if (Find(change.key) != before) hooks_.on_refreshed();
  }

  std::optional<ListedWorker> Find(const std::string& key) const {
    const auto it = entries_.find(key);
    return it == entries_.end() ? std::nullopt : it->second.worker;
  }

  void RemoveMissing(const PrefixRead& list) {
    std::set<std::string> listed;
    for (const StoredKey& it : list.items) listed.insert(it.key);
    std::erase_if(entries_, [&](const auto& it) {
      return !listed.contains(it.first) && it.second.version <= list.version;
    });
  }

  void Apply(const StoredKey& change) {
    Entry& entry = entries_[change.key];
    if (change.version <= entry.version) return;
    if (change.is_removed) {
      entries_.erase(change.key);
      return;
    }
    entry.version = change.version;
    auto worker = hooks_.decode(change);
    if (worker) {
      reported_bad_keys_.erase(change.key);
      entry.worker = *std::move(worker);
      return;
    }
    entry.worker.reset();
    if (reported_bad_keys_.insert(change.key).second)
      hooks_.on_bad_record(change.key, worker.error());
  }

  const TransactionClient& client_;
  TimerService& timers_;
  const std::string prefix_;
  WorkerDirectoryHooks hooks_;
  std::map<std::string, Entry> entries_;
  /// Keys that were reported to on_bad_record.
  std::set<std::string> reported_bad_keys_;
  /// Version of the store up to which all changes are known; empty while the
  /// whole list must be read.
  std::optional<Version> version_;
  Instant next_poll_at_{};
  TimerId timer_ = 0;
  EntryFollower follower_;
  /// Incremented by Stop(), so that responses to earlier calls are ignored.
  std::uint64_t generation_ = 0;
  bool is_running_ = false;
};

WorkerDirectory::WorkerDirectory(const TransactionClient& client,
                                 TimerService& timers, std::string prefix,
                                 WorkerDirectoryHooks hooks)
    : impl_(std::make_shared<Impl>(client, timers, std::move(prefix),
                                   std::move(hooks))) {}

WorkerDirectory::~WorkerDirectory() { impl_->Halt(); }

void WorkerDirectory::Start() { impl_->Start(); }
void WorkerDirectory::Stop() { impl_->Stop(); }
void WorkerDirectory::Follow(const WorkerId& id, Duration time) {
  impl_->Follow(id, time);
}
bool WorkerDirectory::is_loaded() const { return impl_->is_loaded(); }
std::vector<ListedWorker> WorkerDirectory::WorkersOf(const PoolId& pool) const {
  return impl_->WorkersOf(pool);
}

}  // namespace pomelomill
