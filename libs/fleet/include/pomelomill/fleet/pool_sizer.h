#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "pomelomill/base/late_calls.h"
#include "pomelomill/fleet/fleet_vm.h"
#include "pomelomill/fleet/wave_planner.h"

namespace pomelomill {

/// Demand of one pool, as the pool's owner reports it.
struct PoolDemand {
  /// CPU of the tasks that have been placed on workers.
  std::uint64_t running_cpu_millis = 0;
  /// CPU of the tasks that are ready to run but fit on no worker.
  std::uint64_t waiting_cpu_millis = 0;
  /// Workers without tasks.
  std::vector<WorkerId> idle_workers;
  /// Workers with few tasks, none of them long-running, and the CPU that these
  /// tasks use, in thousandths of a core.
  std::map<WorkerId, std::uint32_t> lightly_used_workers;
  Instant reported_at{};
};

struct PoolSizerOptions {
  /// Cores provided for each core of demand. Above 1 because tasks never fill
  /// every VM completely.
  double headroom = 1.25;
  /// The headroom that a pool keeps while another pool has too few VMs. It
  /// covers about what a full VM of 32 cores leaves unused between tasks of
  /// four cores.
  double donor_headroom = 1.1;
  /// Extra cores for each core by which demand has grown within
  /// `trend_window`, because demand keeps growing while VMs are emptied and
  /// moved.
  double growth_headroom = 1.0;
  Duration trend_window = std::chrono::seconds(1);
  /// Minimum number of VMs of a pool, whatever its demand.
  std::uint32_t min_vms = 3;
  /// Older demand reports are ignored.
  Duration max_demand_age = std::chrono::milliseconds(1500);
  /// A worker that is not empty this long after it was closed is reopened.
  /// Shorter than the time after which a pool's owner stops the tasks of a
  /// closed worker.
  Duration close_timeout = std::chrono::milliseconds(2000);
  /// A pool that has more VMs than its demand requires may keep this share of
  /// all VMs as a reserve. VMs beyond the reserve are parked in a spare pool
  /// once the pool has had them for `park_after`: a move costs as much as some
  /// seconds of a VM in a pool.
  double reserve_share = 0.17;
  Duration park_after = std::chrono::seconds(6);
  /// Maximum share of all VMs that may be relocating at a time. A peak needs
  /// half of all VMs within seconds, and VMs that were closed for the peak
  /// before it still count when it begins.
  double max_relocating_share = 0.7;
  /// Pause before an unanswered move is sent again.
  Duration move_retry_delay = std::chrono::milliseconds(100);
  /// A move that got no answer may be carried out for this long.
  Duration late_move_lifetime = kLateCallLifetime;
};

/// Actions that `PoolSizer` wants carried out.
struct SizePlan {
  struct WorkerClosure {
    PoolId pool;
    WorkerId worker;
  };
  struct Move {
    VmId vm;
    PoolId to;
  };

  /// Workers that must get no more tasks, so that they can be emptied.
  std::vector<WorkerClosure> workers_to_close;
  /// Closed workers that may get tasks again because their VM stays.
  std::vector<WorkerClosure> workers_to_reopen;
  std::vector<Move> moves;
  /// Number of VMs examined, counting each VM as often as it was examined.
  std::uint64_t examined = 0;
};

/// Moves VMs to the pools whose demand exceeds their capacity, and parks the
/// VMs that no pool needs in a spare pool. Idle VMs are taken first, then
/// lightly used ones, which are moved after their tasks have ended.
///
/// Designed for queues whose peaks alternate: for some seconds one queue needs
/// several times its mean capacity, more than its pool has, while the other
/// queues are nearly idle.
class PoolSizer {
 public:
  explicit PoolSizer(const PoolSizerOptions& options = {})
      : options_(options) {}

  /// Replaces the list of all VMs. VMs of `spare_pools` are parked. See
  /// `SetReservedVms` for `reserved_vms`.
  void SetVms(const std::vector<FleetVm>& vms,
              const std::set<PoolId>& spare_pools,
              const std::set<VmId>& reserved_vms);
  /// Sets the VMs that `WavePlanner` has reserved; they are not relocated.
  void SetReservedVms(const std::set<VmId>& vms);
  void SetDemand(const PoolId& pool, const PoolDemand& demand);
  /// The owner of the worker's pool reports that no task runs on the worker
  /// and that none will be started there.
  void OnWorkerEmptied(const WorkerId& worker);
  /// Handles the platform's answer to a `SizePlan::Move`.
  void OnMoveAnswer(const VmId& vm, VmCallOutcome outcome, Instant now);

  /// Returns the actions to take now; each action is returned once.
  SizePlan Plan(Instant now);

  /// VMs that are being closed or moved.
  std::set<VmId> relocating_vms() const;

 private:
  enum class Stage { kClosing, kRequested, kMoving };
  /// A VM on its way to another pool.
  struct Relocation {
    Stage stage = Stage::kClosing;
    PoolId from;
    PoolId to;
    WorkerId worker;
    Instant since{};
    /// The platform has answered that it does not move the VM now.
    bool is_refused = false;
    Instant retry_at{};
    /// A copy of the move that got no answer may be carried out until then.
    Instant open_until{};
  };

  struct DemandHistory {
    PoolDemand latest;
    std::set<WorkerId> idle_workers;
    /// CPU demand in thousandths of a core within the trend window, oldest
    /// first.
    std::deque<std::pair<Instant, double>> cpu_millis;
  };
  /// Capacity of one pool in one plan, updated as the plan relocates VMs.
  struct PoolCapacity {
    /// VMs that are in the pool or on their way to it, without those that are
    /// down or reserved for maintenance.
    std::uint32_t vm_count = 0;
    /// VMs that the demand requires; absent without a recent demand report.
    std::optional<std::uint32_t> required;
    /// VMs that the pool keeps while another pool has too few; absent without
    /// a recent demand report.
    std::optional<std::uint32_t> required_as_donor;
    /// VMs that the pool can give away, the next one last: idle VMs by id, and
    /// lightly used VMs by the CPU that they use.
    std::vector<const FleetVm*> idle_vms;
    std::vector<std::pair<std::uint32_t, const FleetVm*>> lightly_used_vms;
  };
  struct Snapshot {
    std::map<PoolId, PoolCapacity> pools;
    /// In descending order of ids; the next VM to use is the last.
    std::vector<const FleetVm*> parked_vms;
    std::uint64_t examined = 0;
  };

  Snapshot TakeSnapshot(Instant now) const;
  void AddDonor(const FleetVm& vm, Snapshot& snapshot) const;
  /// Sets the required numbers of VMs; leaves them absent when the pool has no
  /// recent demand report.
  void ComputeRequirement(const PoolId& pool, Instant now,
                          PoolCapacity& capacity) const;
  /// The given share of all VMs, rounded down.
  std::uint32_t VmCountForShare(double share) const;
  /// Removes the VM that pool `to` should get next from the snapshot's lists
  /// and returns it; null when there is none.
  static const FleetVm* PopDonor(const PoolId& to, Snapshot& snapshot);
  void StartRelocation(const FleetVm& vm, const PoolId& to, Instant now,
                       Snapshot& snapshot, SizePlan& plan);
  void AdvanceRelocations(Instant now, SizePlan& plan);
  /// Redirects closed VMs whose target pool now has enough VMs to another pool,
  /// or reopens their workers.
  void RedirectRelocations(Instant now, Snapshot& snapshot, SizePlan& plan);
  /// The pool with the smallest ratio of VMs to required VMs, so that a new
  /// peak goes before the headroom of a lasting one; null when no pool has too
  /// few VMs.
  static const PoolId* FindMostUnderprovisioned(const Snapshot& snapshot);
  void PlanGrowth(Instant now, Snapshot& snapshot, SizePlan& plan);
  void PlanParking(Instant now, Snapshot& snapshot, SizePlan& plan);

  PoolSizerOptions options_;
  std::map<VmId, FleetVm> vms_;
  /// CPU of one VM; all VMs are taken to be of the same size.
  std::uint32_t cpu_millis_per_vm_ = 0;
  std::set<PoolId> pools_;
  std::set<PoolId> spare_pools_;
  std::set<VmId> reserved_vms_;
  std::map<PoolId, DemandHistory> demand_;
  std::map<VmId, Relocation> relocations_;
  std::set<WorkerId> emptied_workers_;
  /// Since when each pool has had more VMs than it requires and may keep in
  /// reserve.
  std::map<PoolId, Instant> surplus_since_;
};

}  // namespace pomelomill
