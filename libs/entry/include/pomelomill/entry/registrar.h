#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/result.h"
#include "pomelomill/base/time.h"
#include "pomelomill/control/control_lease.h"
#include "pomelomill/membership/member_report.h"
#include "pomelomill/store/store_client.h"

namespace pomelomill {

class TimerService;

/// Prefix of the keys of a region's entries in the store.
std::string EntryKeyPrefix(const RegionId& region);

/// The members that a listing of the entries' keys names; malformed values
/// are left out.
std::vector<MemberInfo> MembersOf(const std::vector<StoreItem>& listing);

/// Admin address of each incarnation in such a listing that names one.
std::map<IncarnationId, std::string> AdminAddressesOf(
    const std::vector<StoreItem>& listing);

/// Keeps this entry's key in the store, attached to a lease of its own. The
/// key is created with version 0 expected, so two incarnations of one entry
/// are never registered at the same time.
class Registrar {
 public:
  struct Settings {
    MemberInfo self;
    /// "HOST:PORT" that commands reach this entry at; may be empty.
    std::string admin_address;
    Duration ttl = std::chrono::seconds(10);
    Duration timeout = std::chrono::seconds(2);
    /// Pause before a failed call is made again.
    Duration retry = std::chrono::milliseconds(500);
  };
  struct Hooks {
    /// The key exists; `lease_sent` is when the call was sent that the lease's
    /// validity rests on.
    std::function<void(Instant lease_sent, Version version)> registered;
    std::function<void()> lapsed;
  };

  Registrar(Settings settings, StoreClient store, TimerService& timers,
            Hooks hooks);
  ~Registrar();

  void Start();

  /// Revokes the lease, which deletes the key; `done` runs when the store has
  /// answered or the call has failed.
  void Stop(std::function<void()> done);

  /// The lease, while the entry is registered and certain to hold it.
  std::optional<HeldLease> lease() const;

  /// When the latest successful grant or renewal was sent; nothing while the
  /// entry is not registered.
  std::optional<Instant> lease_sent() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
