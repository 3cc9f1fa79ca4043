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
  /// The pool is owned as long as that lease is held.
  std::function<void(const PoolId&, FencingToken, const LeaseId&)> on_acquired;
  /// Another entry owns the pool, or nobody does.
  std::function<void(const PoolId&)> on_lost;
  EventHook event;
};

/// Registers this entry and acquires pools that have no owner, under one
/// lease. An entry that was not chosen for a pool acquires it a little later
/// when the chosen one does not.
class Ownership {
 public:
  Ownership(const TransactionClient& client, TimerService& timers,
            const LeaseKeeper& lease, const ClusterView& view,
            const JobServiceSettings& settings, IncarnationId incarnation,
            OwnershipHooks hooks);
  ~Ownership();
  Ownership(const Ownership&) = delete;
  Ownership& operator=(const Ownership&) = delete;

  /// Call when the view, the lease or the pools have changed.
  void Update();
  void SetRoles(Roles roles);
  /// Acquires nothing more and removes the entry's registration.
  void Leave();

  const std::map<PoolId, FencingToken>& owned() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
