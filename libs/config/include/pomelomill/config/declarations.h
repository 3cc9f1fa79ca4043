#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/time.h"

namespace pomelomill {

/// The deployment as a whole.
struct FleetDeclaration {
  std::string name;
  std::vector<RegionId> regions;
  /// Zones of each region, in the order of the file.
  std::map<RegionId, std::vector<ZoneId>> zones;
  /// Machines that share one rack; a rack is the smallest unit that fails as a
  /// whole.
  std::uint32_t rack_size = 4;
  /// Control may spend this many store calls a second in each region.
  double store_calls_per_s = 50;

  bool operator==(const FleetDeclaration&) const = default;
};

/// VMs that serve the same services. Sizes count VMs.
struct PoolDeclaration {
  PoolId id;
  RegionId region;
  /// VMs wanted at mean load.
  std::uint32_t size = 0;
  /// The planner never goes below this.
  std::uint32_t min_size = 0;
  /// Requests that one VM runs at once.
  std::uint32_t slots = 8;
  /// Connections that one VM accepts.
  std::uint32_t connections = 64;
  /// From the start of a VM until it answers its first request.
  Duration cold_start = std::chrono::seconds(60);
  /// VMs of a spare pool may be lent to any other pool of the region.
  bool is_spare = false;
  /// VMs that join this pool when the region state is first written; others
  /// are assigned by the planner.
  std::vector<VmId> vms;

  bool operator==(const PoolDeclaration&) const = default;
};

struct ServiceDeclaration {
  ServiceId id;
  PoolId pool;
  std::string title;

  bool operator==(const ServiceDeclaration&) const = default;
};

enum class Urgency { kInteractive, kNormal, kBatch };

/// One queue of a service.
struct QueueDeclaration {
  QueueId id;
  ServiceId service;
  Urgency urgency = Urgency::kNormal;
  /// A response counts when it is complete within this time.
  Duration deadline = std::chrono::seconds(2);
  /// Share of requests that must be answered within the deadline, in (0, 1).
  double availability = 0.999;
  /// Window over which the budget is counted.
  Duration window = std::chrono::hours(1);
  /// False for requests that must run at most once.
  bool is_repeatable = true;
  /// Prior for the planner, requests a second.
  double mean_rate = 1;
  /// Prior for the planner, time that one request occupies a slot.
  Duration service_time = std::chrono::milliseconds(100);
  /// Waiting requests beyond this are refused, for one entry.
  std::uint32_t max_waiting = 1024;

  bool operator==(const QueueDeclaration&) const = default;
};

/// A customer with a share of the queues and of the workers.
struct TeamDeclaration {
  TeamId id;
  /// Weight in fair sharing.
  double weight = 1;
  /// Requests a second that are admitted before the team is refused for
  /// quota; 0 means no limit.
  double max_rate = 0;
  /// Worker cores that the team may always have.
  std::uint32_t quota_cores = 0;

  bool operator==(const TeamDeclaration&) const = default;
};

/// A class of jobs for the workers.
struct JobClassDeclaration {
  std::string id;
  TeamId team;
  bool is_urgent = false;
  std::uint32_t cores = 1;
  std::uint32_t memory_mb = 1024;
  std::uint32_t accelerators = 0;
  Duration run_time = std::chrono::minutes(10);
  bool can_checkpoint = false;
  bool can_throttle = false;
  std::uint32_t max_attempts = 5;

  bool operator==(const JobClassDeclaration&) const = default;
};

enum class MaintenanceAction { kReboot, kStop };

/// Operators' wish to have every VM of some pools maintained.
struct MaintenanceDeclaration {
  WaveId id;
  /// Empty means all pools.
  std::vector<PoolId> pools;
  MaintenanceAction action = MaintenanceAction::kReboot;
  /// Every VM is maintained once in this time; 0 means once in all.
  Duration every = Duration(0);
  /// Minutes after local midnight at which the wave may start and must have
  /// ended; absent means any time.
  std::optional<std::uint32_t> not_before_minute;
  std::optional<std::uint32_t> deadline_minute;
  /// Share of VMs that may fail to return before the wave stops by itself.
  double max_failed_share = 0.1;

  bool operator==(const MaintenanceDeclaration&) const = default;
};

/// One operators' file, checked.
struct Declarations {
  FleetDeclaration fleet;
  std::map<PoolId, PoolDeclaration> pools;
  std::map<ServiceId, ServiceDeclaration> services;
  std::map<QueueId, QueueDeclaration> queues;
  std::map<TeamId, TeamDeclaration> teams;
  std::map<std::string, JobClassDeclaration> job_classes;
  std::map<WaveId, MaintenanceDeclaration> maintenance;

  bool operator==(const Declarations&) const = default;
};

}  // namespace pomelomill
