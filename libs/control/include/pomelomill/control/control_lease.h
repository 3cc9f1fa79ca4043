#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/time.h"
#include "pomelomill/store/store_client.h"

namespace pomelomill {

class TimerService;

/// Store key of the control lease of `region`.
std::string ControlLeaseKey(const RegionId& region);

/// A store lease that this entry holds.
struct HeldLease {
  LeaseId id;
  /// The store does not expire the lease before this instant.
  Instant valid_until{};
};

/// Acquires and holds the control lease of one region. The lease's key is
/// attached to the store lease of the entry's registration, so it needs no
/// renewals of its own and expires together with the registration.
class ControlLease {
 public:
  struct Settings {
    RegionId region;
    IncarnationId self;
    /// Minimum time between two reads of the key. A random delay of up to the
    /// same length is added to each interval.
    Duration poll_interval = std::chrono::seconds(1);
    /// Timeout of each store call.
    Duration timeout = std::chrono::seconds(2);
  };

  /// `entry_lease` returns the store lease of the entry's registration, or
  /// nullopt while the entry is not registered. `jitter` returns a random
  /// number in [0, 1).
  ControlLease(Settings settings, StoreClient store, TimerService& timers,
               std::function<std::optional<HeldLease>()> entry_lease,
               std::function<double()> jitter);
  ~ControlLease();

  /// Reads the key if the poll interval has passed, and claims the key if it
  /// does not exist. To be called periodically.
  void Tick();

  /// Whether the control lease is held and cannot expire within `margin` from
  /// now.
  bool IsHeldFor(Duration margin) const;

  /// Deletes the key, so that another entry can claim it before the store
  /// lease expires. This object does not claim the key again.
  void Release();

  /// The incarnation that held the key at the last read; empty if the key did
  /// not exist or has not been read yet.
  IncarnationId holder() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
