#pragma once

#include <functional>
#include <memory>

#include "pomelomill/base/event_log.h"
#include "pomelomill/base/timer_service.h"
#include "pomelomill/config/job_service_settings.h"
#include "pomelomill/jobserver/decision_hook.h"
#include "pomelomill/jobserver/platform_hooks.h"

namespace pomelomill {

struct FleetManagerHooks {
  /// The fleet has another owner; this object must be destroyed.
  std::function<void()> on_lost;
  /// Time until which VM operations may be requested from the platform.
  std::function<Instant()> vm_orders_allowed_until;
  /// Asks the pool's owner for the demand of the pool; an error when the owner
  /// is unknown or does not answer.
  std::function<void(const PoolId&, std::function<void(Result<DispatchLoad>)>)>
      load;
  EventHook event;
  /// Receives the number of VMs and the duration of each decision; optional.
  DecisionHook on_decision;
};

/// Owner of the fleet's VMs under one fencing token. Carries out maintenance
/// waves: reads the waves and the list of VMs, has workers emptied by the
/// owners of their pools, requests the maintenance from the platform, and
/// reports the state of each wave. Also moves VMs between pools according to
/// demand.
class FleetManager {
 public:
  FleetManager(const PlatformHooks& platform, TimerService& timers,
               const JobServiceSettings& settings, FencingToken token,
               FleetManagerHooks hooks);
  ~FleetManager();
  FleetManager(const FleetManager&) = delete;
  FleetManager& operator=(const FleetManager&) = delete;

  void Start(const FleetConfig& config);
  void OnConfig(const FleetConfig& config);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
