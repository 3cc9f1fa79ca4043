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

/// Callbacks by which a Coordinator reports and reaches the rest of its
/// process.
struct CoordinatorHooks {
  /// Returns Unix time in milliseconds; decides when a timed job is due.
  std::function<std::int64_t()> wall_ms;
  EventHook event;
  /// Receives the start delay of each job and the duration of each run, for the
  /// metrics; optional.
  std::function<void(DispatchTiming, const QueueId&, Duration)> on_job_time;
  /// Receives the duration of each decision; optional.
  DecisionHook on_decision;
  /// Owners of pools store their backlog for all entries.
  bool publishes_backlogs = false;
  /// Receives the share of a workspace's cap that is stored for a pool;
  /// optional.
  std::function<void(const PoolId&, const WorkspaceId&, const ResourceAmount&)>
      on_share;
  /// Sends a GET request for `path` to the entry at `address` ("HOST:PORT") and
  /// passes on the body of the response, or an error. When it is not set, loads
  /// of pools that other entries own are reported as kUnavailable.
  std::function<void(const std::string& address, const std::string& path,
                     std::function<void(Result<std::string>)>)>
      query_peer;
};

/// Cluster state and ownership of one entry: follows the configuration, the
/// members and the owners in the store, holds the entry's lease, and runs a
/// PoolOwner for each pool that it acquired.
class Coordinator {
 public:
  /// `platform` and `timers` must outlive the coordinator.
  Coordinator(const PlatformHooks& platform, TimerService& timers,
              const JobServiceSettings& settings, IncarnationId incarnation,
              CoordinatorHooks hooks);
  /// Stops as if the process had been killed: releases no pool and stores
  /// nothing.
  ~Coordinator();
  Coordinator(const Coordinator&) = delete;
  Coordinator& operator=(const Coordinator&) = delete;

  /// Starts to renew the lease and to follow the cluster and the configuration.
  void Start();
  /// Leaves the cluster: acquires no further pool, stores outstanding progress
  /// and releases all owned pools. has_released_pools() tells when it is done.
  void Leave();
  /// Whether this entry owns no pool; the fleet role does not count.
  bool has_released_pools() const;

  /// The configuration in force; null before the first one was read.
  const FleetConfig* config() const;
  const ClusterView& view() const;
  /// Time of the store's latest response to the configuration watch; nullopt
  /// before the first one.
  std::optional<Instant> last_store_contact() const;
  /// Backlog that the pool's owner has published; null when there is none, or
  /// when the store has not responded for the time of an entry's lease, so that
  /// the owner may be lost. Valid until the next event.
  const PoolBacklog* FindBacklog(const PoolId& pool) const;
  /// Number of pools that this entry owns, without the fleet role.
  std::size_t owned_pools() const;

  /// State of a pool of this entry. Each returns nullopt when the entry does
  /// not own the pool or has not loaded it yet, and FindJobPhase() also when
  /// the pool does not have the job.
  std::optional<JobPhase> FindJobPhase(const PoolId& pool,
                                       const JobId& job) const;
  std::optional<DispatchLoad> FindPoolLoad(const PoolId& pool) const;
  std::optional<std::uint32_t> FindWaitingJobs(const PoolId& pool,
                                               const QueueId& queue) const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
