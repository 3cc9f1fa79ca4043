#pragma once

#include <functional>
#include <map>
#include <memory>

#include "cluster_view.h"
#include "pomelomill/base/event_log.h"
#include "pomelomill/base/timer_service.h"
#include "pomelomill/config/job_service_settings.h"
#include "pomelomill/jobserver/fleet_config.h"
#include "pomelomill/jobserver/worker_calls.h"
#include "pomelomill/store/lease_keeper.h"
#include "pomelomill/store/transaction_client.h"

namespace pomelomill {

struct OwnershipHooks {
  /// The entry acquired the role (a pool or kFleetRole) and owns it as long as
  /// it holds the given lease.
  std::function<void(const PoolId&, FencingToken, const LeaseId&)> on_acquired;
  /// The entry no longer owns the role, which has another owner or none.
  std::function<void(const PoolId&)> on_lost;
  /// The entry hands the role over. The receiver stops acting as the owner and
  /// then calls the function, upon which the owner key is removed. Optional.
  std::function<void(const PoolId&, std::function<void()>)> on_hand_over;
  EventHook event;
};

/// Registers this entry as a member of the cluster and acquires roles (pools
/// and the fleet) that have no owner. All keys are attached to the entry's
/// lease. A role is first left to the entry that ChooseOwners() selects; the
/// other entries try to acquire it after a delay if it still has no owner. An
/// entry with more roles than it should keep hands them over one at a time, see
/// ChooseHandOver().
class Ownership {
 public:
  Ownership(const TransactionClient& client, TimerService& timers,
            const LeaseKeeper& lease, const ClusterView& view,
            const JobServiceSettings& settings, IncarnationId incarnation,
            OwnershipHooks hooks);
  ~Ownership();
  Ownership(const Ownership&) = delete;
  Ownership& operator=(const Ownership&) = delete;

  /// Must be called after each change of the view and whenever a lease becomes
  /// held.
  void Update();
  /// Replaces the set of roles that need an owner.
  void SetRoles(Roles roles);
  /// Leaves the cluster: acquires nothing more, removes the entry's
  /// registration and releases the fleet role. Pools are released by
  /// PoolOwner::Release() instead.
  void Leave();

  /// Roles that this entry owns, with the fencing token of each.
  const std::map<PoolId, FencingToken>& owned() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
