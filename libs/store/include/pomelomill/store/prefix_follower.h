#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/store/transaction_client.h"

namespace pomelomill {

struct PrefixFollowerOptions {
  /// Longest wait of one watch. A connection that went silent is noticed after
  /// this time and the grace, which must stay below the 2 s within which a
  /// configuration is in force.
  Duration wait = std::chrono::milliseconds(1200);
  Duration read_timeout = std::chrono::milliseconds(1500);
  /// Pause after a failed call; doubles up to the longest pause.
  Duration first_pause = std::chrono::milliseconds(100);
  Duration longest_pause = std::chrono::milliseconds(800);
};

struct PrefixFollowerHooks {
  /// A key was written or removed. Versions of one key only rise.
  std::function<void(const StoredKey&)> on_change;
  /// All keys have been delivered once.
  std::function<void()> on_loaded;
  /// A call failed after one that succeeded, and the reverse.
  std::function<void(std::error_code)> on_lost;
  std::function<void()> on_regained;
};

/// Follows all keys of a prefix: reads them, then waits for changes, and reads
/// them again when the service has lost the history.
class PrefixFollower {
 public:
  PrefixFollower(const TransactionClient& client, TimerService& timers,
                 std::string prefix, PrefixFollowerHooks hooks,
                 const PrefixFollowerOptions& options = {});
  ~PrefixFollower();
  PrefixFollower(const PrefixFollower&) = delete;
  PrefixFollower& operator=(const PrefixFollower&) = delete;

  void Start();

  bool is_loaded() const;
  /// When the store last answered; nothing before the first answer.
  std::optional<Instant> last_contact() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
