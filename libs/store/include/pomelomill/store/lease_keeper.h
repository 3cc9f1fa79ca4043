#pragma once

#include <functional>
#include <memory>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/store/store_client.h"

namespace pomelomill {

struct LeaseKeeperOptions {
  Duration ttl = std::chrono::seconds(10);
  /// Allowance for a store clock that runs faster than the local one.
  Duration drift_margin = std::chrono::milliseconds(500);
  Duration call_timeout = std::chrono::seconds(1);
  /// Pause after a failed call.
  Duration retry_pause = std::chrono::milliseconds(500);
};

/// Events of a LeaseKeeper; hooks that are not set are skipped. They run from
/// a timer or a store callback.
struct LeaseKeeperHooks {
  /// The lease is held, again after on_uncertain or for the first time. A new
  /// id means that the keys attached to the old lease are gone.
  std::function<void(const LeaseId&)> on_held;
  /// The lease may have lapsed. Runs late after a pause of the process;
  /// is_held() is correct at any time.
  std::function<void()> on_uncertain;
  /// The store has deleted the lease and its keys.
  std::function<void()> on_lapsed;
};

/// Holds one store lease: grants it, renews it at a third of its time to live,
/// sooner when the process or the store is late, and grants a new one after it
/// has lapsed. The lease counts as held from the
/// moment before the latest successful call was sent, for the time to live
/// less the drift margin: the store started its own count later than that.
class LeaseKeeper {
 public:
  LeaseKeeper(const StoreClient& client, TimerService& timers,
              const LeaseKeeperOptions& options, LeaseKeeperHooks hooks);
  /// Stops without revoking and without events.
  ~LeaseKeeper();
  LeaseKeeper(const LeaseKeeper&) = delete;
  LeaseKeeper& operator=(const LeaseKeeper&) = delete;

  void Start();

  /// Gives the lease up: it counts as not held at once, and `done` runs when
  /// the store has answered or the call has ended.
  void Stop(std::function<void()> done);

  /// Empty before the first grant and after the lease has lapsed.
  const LeaseId& lease() const;
  bool is_held() const;
  /// The lease is certainly held before this moment.
  Instant held_until() const;
  /// Nobody else can have seen the lease lapse before held_until(); after this
  /// moment it has certainly lapsed, unless a call in flight renews it.
  Instant lapsed_after() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
