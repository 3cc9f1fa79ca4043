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

/// Key of the control lease of a region in the store.
std::string ControlLeaseKey(const RegionId& region);

/// A store lease that this entry holds, and until when it is certain not to
/// have lapsed.
struct HeldLease {
  LeaseId id;
  Instant certain_until{};
};

/// Holds, or tries to get, the right to control one region. The key is
/// attached to the entry's own store lease, so that control costs no renewals
/// of its own and ends with the entry's registration.
class ControlLease {
 public:
  struct Settings {
    RegionId region;
    IncarnationId self;
    /// Pause between two reads while another entry holds the key; a random
    /// part of up to the same length is added.
    Duration poll_interval = std::chrono::seconds(1);
    Duration timeout = std::chrono::seconds(2);
  };

  /// `entry_lease` returns the entry's own lease, or nothing while it has
  /// none. `jitter` returns a number in [0, 1).
  ControlLease(Settings settings, StoreClient store, TimerService& timers,
               std::function<std::optional<HeldLease>()> entry_lease,
               std::function<double()> jitter);
  ~ControlLease();

  /// Reads or claims the key when that is due.
  void Tick();

  /// Whether the lease is certain to be held for at least `margin` from now.
  bool IsHeldFor(Duration margin) const;

  /// Deletes the key, so that another entry need not wait for the lease to
  /// lapse. Not claimed again afterwards.
  void Release();

  /// The incarnation that held the key at the last read; empty when unknown.
  IncarnationId holder() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
