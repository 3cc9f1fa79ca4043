#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "cluster_view.h"
#include "inherited_leases.h"
#include "pomelomill/base/event_log.h"
#include "pomelomill/base/timer_service.h"
#include "pomelomill/config/job_service_settings.h"
#include "pomelomill/jobserver/decision_hook.h"
#include "pomelomill/jobserver/fleet_config.h"
#include "pomelomill/jobserver/platform_hooks.h"
#include "store_records.h"

namespace pomelomill {

struct PoolOwnerHooks {
  /// The pool has another owner; this object must be destroyed.
  std::function<void()> on_lost;
  /// Time until which the pool is certainly owned. Tasks are started only
  /// before it: a new incarnation of a worker knows no fencing token, so the
  /// token alone does not prevent a replaced owner from starting tasks there.
  std::function<Instant()> starts_allowed_until;
  /// Time until which tasks may be stopped and leases extended. Later than
  /// starts_allowed_until by JobServiceSettings::order_grace, so that a short
  /// outage of the store ends no task. A worker that the next owner has called
  /// rejects these orders.
  std::function<Instant()> orders_allowed_until;
  /// Whether a process that owned the pool certainly sends no more orders under
  /// that ownership.
  std::function<bool(const OwnerRecord&)> has_stopped;
  /// A start that was sent to the worker has no answer: changes of its
  /// registration are to be passed on without delay while the start may still
  /// be carried out. Optional.
  std::function<void(const WorkerId&)> follow_worker;
  /// Lease to which the owner key is attached.
  LeaseId lease;
  bool publishes_backlog = false;
  /// Incarnation of this process.
  IncarnationId incarnation;
  /// The latest ownership of the pool that this process had before, if any.
  std::optional<PoolOwnership> former;
  /// The end of the pool's last ownership that this process has seen, if any.
  std::optional<ClusterView::Vacancy> vacancy;
  /// Unix time in milliseconds.
  std::function<std::int64_t()> wall_ms;
  EventHook event;
  /// Receives the share of a workspace that is stored for the pool; optional.
  std::function<void(const WorkspaceId&, const ResourceAmount&)> on_share;
  /// Receives the times that the dispatcher measures; optional.
  Dispatcher::TimingHook time;
  /// Receives the number of items and the duration of each decision; optional.
  DecisionHook on_decision;
};

/// Runs the jobs of one pool under one fencing token: loads the jobs, renews
/// the leases of the workers' tasks, carries out the dispatcher's plans and
/// stores the progress of the jobs.
class PoolOwner {
 public:
  PoolOwner(const PlatformHooks& platform, TimerService& timers,
            const JobServiceSettings& settings, PoolId pool, FencingToken token,
            PoolOwnerHooks hooks);
  ~PoolOwner();
  PoolOwner(const PoolOwner&) = delete;
  PoolOwner& operator=(const PoolOwner&) = delete;

  /// Loads the pool's state from the store and then runs its jobs.
  void Start(const FleetConfig& config);
  void OnConfig(const FleetConfig& config);
  /// PoolOwnerHooks::has_stopped may have changed.
  void OnClusterChange();
  /// Takes over the list of all workers that are registered for the pool.
  void OnWorkers(const std::vector<ListedWorker>& workers);
  /// Stops sending orders, stores the remaining progress and removes the owner
  /// key. `done` runs when the store has responded or after one second.
  void Release(std::function<void()> done);

  /// What a later ownership of the pool by this process may rely on; empty
  /// while the roster that names this one is not stored.
  std::optional<PoolOwnership> ownership() const;
  /// Whether all jobs of the pool have been loaded.
  bool is_loaded() const;
  /// The job's phase as it may be shown to callers; empty for an unknown job.
  std::optional<JobPhase> ShownPhase(const JobId& job) const;
  /// Accepted jobs of the queue of which no task has started.
  std::uint32_t Waiting(const QueueId& queue) const;
  DispatchLoad load() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
