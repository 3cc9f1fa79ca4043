#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "pomelomill/base/event_log.h"
#include "pomelomill/base/timer_service.h"
#include "pomelomill/config/job_service_settings.h"
#include "pomelomill/jobserver/decision_hook.h"
#include "pomelomill/jobserver/fleet_config.h"
#include "pomelomill/jobserver/platform_hooks.h"

namespace pomelomill {

struct PoolOwnerHooks {
  /// The pool belongs to another owner now; destroy this object.
  std::function<void()> on_lost;
  /// The pool is certainly owned until then; tasks are started before only. A
  /// worker that has begun a new life knows no fencing token, so the token
  /// alone does not keep an owner that was replaced from starting tasks.
  std::function<Instant()> starts_allowed_until;
  /// Until when tasks may be stopped and leases extended.
  std::function<Instant()> orders_allowed_until;
  std::function<std::int64_t()> wall_ms;
  EventHook event;
  Dispatcher::TimeHook time;
  /// A decision was taken on so many items and took so long; optional.
  DecisionHook on_decision;
};

/// Runs the jobs of one pool under one fencing token: loads them, keeps links
/// to the workers, carries out the dispatcher's plans and stores its progress.
class PoolOwner {
 public:
  PoolOwner(const PlatformHooks& platform, TimerService& timers,
            const JobServiceSettings& settings, PoolId pool, FencingToken token,
            PoolOwnerHooks hooks);
  ~PoolOwner();
  PoolOwner(const PoolOwner&) = delete;
  PoolOwner& operator=(const PoolOwner&) = delete;

  void Start(const FleetConfig& config);
  void OnConfig(const FleetConfig& config);
  /// All workers of the pool that the store lists.
  void OnWorkers(const std::vector<ListedWorker>& workers);
  /// Sends no further orders, stores what is left and gives the pool up;
  /// `done` runs when the store has answered or a second has passed.
  void Release(std::function<void()> done);

  const PoolId& pool() const;
  FencingToken token() const;
  bool is_loaded() const;
  /// Nothing when the job is not known here.
  std::optional<JobPhase> ShownPhase(const JobId& job) const;
  std::uint32_t Waiting(const QueueId& queue) const;
  DispatchLoad load() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
