#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/store/transaction_client.h"

namespace pomelomill {

struct EntryFollowerOptions {
  /// Most keys that are followed at a time: each keeps a call open.
  std::size_t max_keys = 16;
  /// Longest time for which the store holds a call without a change.
  Duration watch_wait = std::chrono::seconds(2);
  /// Least time between a failed call for a key and the next.
  Duration retry_delay = std::chrono::milliseconds(400);
  /// Least time between two calls for one key.
  Duration min_interval = std::chrono::milliseconds(100);
};

/// Learns of changes of single keys of the store within the time of a call,
/// where a follower of the whole prefix would learn of them at its next poll.
class EntryFollower {
 public:
  /// `on_change` receives the changes of the keys that are followed, and may
  /// receive those of keys of which they are a prefix.
  EntryFollower(const TransactionClient& client, TimerService& timers,
                std::function<void(const StoredKey&)> on_change,
                EntryFollowerOptions options = {});
  ~EntryFollower();
  EntryFollower(const EntryFollower&) = delete;
  EntryFollower& operator=(const EntryFollower&) = delete;

  /// Follows the key until `until`, from the version `after` on. A key that is
  /// followed already is followed for longer. Has no effect while the largest
  /// number of keys is followed.
  void Follow(const std::string& key, Version after, Instant until);
  /// Follows nothing any more.
  void Clear();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
