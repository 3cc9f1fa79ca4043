#include "entry_follower.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

#include "pomelomill/store/store_error.h"

namespace pomelomill {

class EntryFollower::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const TransactionClient& client, TimerService& timers,
       std::function<void(const StoredKey&)> on_change,
       const EntryFollowerOptions& options)
      : client_(client),
        timers_(timers),
        on_change_(std::move(on_change)),
        options_(options) {}

  void Follow(const std::string& key, Version after, Instant until) {
    const auto it = ends_.find(key);
    if (it != ends_.end()) {
      it->second = std::max(it->second, until);
    } else if (ends_.size() < options_.max_keys) {
      ends_[key] = until;
      Watch(key, after);
    }
  }

  void Clear() {
    ends_.clear();
    ++generation_;
  }

 private:
  void Watch(const std::string& key, Version after) {
    const auto it = ends_.find(key);
    if (it == ends_.end()) return;
    const Duration left = it->second - timers_.Now();
    if (left <= Duration(0)) {
      ends_.erase(it);
      return;
    }
    client_.watch_prefix(
        key, after, std::min(left, options_.watch_wait),
        [weak = weak_from_this(), generation = generation_, key, after,
         called_at = timers_.Now()](const Result<PrefixRead>& result) {
          const auto self = weak.lock();
          if (self != nullptr && self->generation_ == generation)
            self->OnAnswer(key, after, called_at, result);
        });
  }

  void OnAnswer(const std::string& key, Version after, Instant called_at,
                const Result<PrefixRead>& result) {
    // The follower of the whole prefix reads all keys again.
    if (!result && result.error() == StoreError::kHistoryLost) {
      ends_.erase(key);
      return;
    }
    Duration interval = options_.retry_delay;
    if (result) {
      after = std::max(after, result->version);
      interval = options_.min_interval;
    }
    timers_.ScheduleAt(
        std::max(timers_.Now(), called_at + interval),
        [weak = weak_from_this(), generation = generation_, key, after] {
          const auto self = weak.lock();
          if (self != nullptr && self->generation_ == generation)
            self->Watch(key, after);
        });
    if (!result) return;
    for (const StoredKey& it : result->items) on_change_(it);
  }

  const TransactionClient& client_;
  TimerService& timers_;
  const std::function<void(const StoredKey&)> on_change_;
  const EntryFollowerOptions options_;
  /// Until when each key is followed.
  std::map<std::string, Instant> ends_;
  /// Incremented by Clear(), so that responses to earlier calls are ignored.
  std::uint64_t generation_ = 0;
};

EntryFollower::EntryFollower(const TransactionClient& client,
                             TimerService& timers,
                             std::function<void(const StoredKey&)> on_change,
                             EntryFollowerOptions options)
    : impl_(std::make_shared<Impl>(client, timers, std::move(on_change),
                                   options)) {}

EntryFollower::~EntryFollower() { impl_->Clear(); }

void EntryFollower::Follow(const std::string& key, Version after,
                           Instant until) {
  impl_->Follow(key, after, until);
}

void EntryFollower::Clear() { impl_->Clear(); }

}  // namespace pomelomill
