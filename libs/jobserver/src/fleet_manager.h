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
  /// The fleet has another owner now; destroy this object.
  std::function<void()> on_lost;
  /// VM operations are asked for before then only.
  std::function<Instant()> vm_orders_allowed_until;
  /// The demand of a pool, from its owner.
  std::function<void(const PoolId&, std::function<void(Result<DispatchLoad>)>)>
      load;
  EventHook event;
  /// A decision was taken on so many items and took so long; optional.
  DecisionHook on_decision;
};

/// Carries out maintenance waves under one fencing token: reads them and the
/// list of VMs, has workers emptied by their pools' owners, asks the platform
/// for the maintenance, and reports how far each wave is.
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
