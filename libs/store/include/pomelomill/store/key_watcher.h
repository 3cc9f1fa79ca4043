#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/store/store_client.h"

namespace pomelomill {

struct KeyWatcherOptions {
  /// Longest wait of one watch call. A call that the store never answers ends
  /// 2 s later; with the longest pause that must stay below the 10 s in which
  /// a configuration is in force everywhere.
  Duration wait = std::chrono::seconds(4);
  /// Pause after a failed call; doubles up to the longest pause.
  Duration first_pause = std::chrono::milliseconds(200);
  Duration longest_pause = std::chrono::seconds(1);
};

/// Follows one key by one waiting watch. Each version is delivered at most
/// once and never after a higher one, whatever source it comes from.
class KeyWatcher {
 public:
  using Deliver = std::function<void(const StoreItem&)>;

  KeyWatcher(const StoreClient& client, TimerService& timers, std::string key,
             Deliver deliver, const KeyWatcherOptions& options = {});
  ~KeyWatcher();
  KeyWatcher(const KeyWatcher&) = delete;
  KeyWatcher& operator=(const KeyWatcher&) = delete;

  void Start();

  /// Delivers an item from another source, such as a peer or a read back,
  /// unless its version or a higher one was delivered before. Returns whether
  /// it was delivered.
  bool Offer(const StoreItem& item);

  /// The highest version delivered; 0 before the first.
  Version version() const;

  /// When the store last answered a watch; nothing before the first answer.
  std::optional<Instant> last_contact() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
