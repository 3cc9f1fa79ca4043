#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "pomelomill/base/event_log.h"
#include "pomelomill/base/timer_service.h"
#include "pomelomill/config/job_service_settings.h"
#include "pomelomill/jobserver/decision_hook.h"
#include "pomelomill/jobserver/fleet_config.h"
#include "pomelomill/jobserver/platform_hooks.h"

namespace pomelomill {

class ClusterView;

struct CoordinatorHooks {
  /// Unix time in milliseconds, for jobs that are due at a time.
  std::function<std::int64_t()> wall_ms;
  EventHook event;
  /// Times of jobs and runs, for the metrics; optional.
  std::function<void(DispatchTime, const QueueId&, Duration)> on_job_time;
  /// A decision was taken on so many items and took so long; optional.
  DecisionHook on_decision;
  /// Asks another entry at "HOST:PORT" and returns the body of its answer;
  /// nothing is asked when it is not set.
  std::function<void(const std::string& address, const std::string& path,
                     std::function<void(Result<std::string>)>)>
      query_peer;
};

/// What one entry believes and owns: the configuration in force, the other
/// entries, its lease, and the pools that it acquired.
class Coordinator {
 public:
  /// `platform` must outlive the coordinator.
  Coordinator(const PlatformHooks& platform, TimerService& timers,
              const JobServiceSettings& settings, IncarnationId incarnation,
              CoordinatorHooks hooks);
  /// Ends as a killed process does: nothing is given up or stored.
  ~Coordinator();
  Coordinator(const Coordinator&) = delete;
  Coordinator& operator=(const Coordinator&) = delete;

  void Start();
  /// Acquires nothing more, stores what is left and gives the pools up.
  void Leave();
  /// Whether all pools have been given up.
  bool has_released_pools() const;

  /// Null before the first configuration.
  const FleetConfig* config() const;
  const ClusterView& view() const;
  /// When the store last answered; nothing before the first answer.
  std::optional<Instant> last_store_contact() const;
  std::size_t owned_pools() const;

  /// Answers about a pool of this entry; nothing when it does not own it, has
  /// not loaded it or does not know the job.
  std::optional<JobPhase> FindJobPhase(const PoolId& pool, const JobId& job) const;
  std::optional<DispatchLoad> FindPoolLoad(const PoolId& pool) const;
  std::optional<std::uint32_t> FindWaitingJobs(const PoolId& pool,
                                       const QueueId& queue) const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
