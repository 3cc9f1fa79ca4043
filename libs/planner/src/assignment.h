#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pomelomill/planner/exhaustive_planner.h"
#include "pomelomill/planner/planner.h"

namespace pomelomill {

/// Number of VMs that one pool lacks. Events are a peak, the loss of the
/// largest rack, the loss of the largest zone, and a wave.
struct Shortage {
  /// VMs lacking for the mean demand or the declared minimum size.
  std::uint32_t base = 0;
  /// VMs lacking for the event that needs the most VMs; at least `base`.
  std::uint32_t worst_event = 0;
  /// Sum of the VMs lacking for the minimum and for each event.
  std::uint32_t event_total = 0;

  bool operator==(const Shortage&) const = default;
};

/// Number of VMs of one pool in one failure domain (a rack or a zone).
struct DomainCount {
  int domain = 0;
  std::uint32_t count = 0;
};

/// One VM with its pool, rack and zone as indices.
struct AssignedVm {
  VmId id;
  int pool = -1;
  int rack = 0;
  int zone = 0;
  /// Whether the VM counts as capacity of its pool. VMs in maintenance count,
  /// because they return before a moved VM could serve.
  bool is_in_service = false;
  bool is_movable = false;
  bool is_stopped = false;
};

/// One pool with its need and its VMs by failure domain.
struct AssignedPool {
  const PoolDeclaration* declaration = nullptr;
  PoolNeed need;
  /// The need that the pool must still meet after it has released a VM, at
  /// `PlannerOptions::donor_demand_scale` times the planned demand.
  PoolNeed donor_need;
  /// VMs reserved for waves, see `PoolTarget::wave_reserve`.
  std::uint32_t wave_reserve = 0;
  /// Whether a running wave has VMs of this pool pending.
  bool is_in_running_wave = false;
  std::uint32_t in_service = 0;
  std::uint32_t lost = 0;
  std::vector<DomainCount> racks;
  std::vector<DomainCount> zones;
};

/// The assignment of the VMs of one region to its pools, with indices in place
/// of ids. The planner tries moves on it before it proposes them.
class Assignment {
 public:
  Assignment(const PlannerInput& input, const PlannerOptions& options);
  /// `input` contains the planned demand. `measured` is the demand by which the
  /// wave scheduler decides; pools with a running wave must meet the need of
  /// both, because the scheduler takes no VM of a pool that is large enough for
  /// the planned demand only.
  Assignment(const PlannerInput& input,
             const std::map<QueueId, QueueDemand>& measured,
             const PlannerOptions& options);

  std::vector<AssignedPool>& pools() { return pools_; }
  const std::vector<AssignedPool>& pools() const { return pools_; }
  const std::vector<AssignedVm>& vms() const { return vms_; }
  std::uint32_t open_moves() const { return open_moves_; }
  std::uint32_t rack_count() const { return rack_count_; }
  std::uint32_t zone_count() const { return zone_count_; }

  /// Moves a VM to `pool`; a stopped VM is in service afterwards.
  void Move(int vm, int pool);
  /// Restores a VM to `before`.
  void Restore(int vm, const AssignedVm& before);
  void Start(int vm);
  void Stop(int vm);

  /// What the pool lacks for `need` with its VMs in their present racks and
  /// zones.
  Shortage ShortageOf(int pool, const PoolNeed& need) const;

  /// `ShortageOf` as if `vm` were added (`delta` 1) or removed (`delta` -1).
  Shortage ShortageWith(int pool, const PoolNeed& need, int vm,
                        int delta) const;

  /// Number of VMs in service in `pool` that are in `rack`.
  std::uint32_t CountInRack(int pool, int rack) const;
  /// Number of VMs in service in `pool` that are in `zone`.
  std::uint32_t CountInZone(int pool, int zone) const;

  /// Number of queues of the pool whose peak the pool cannot serve; all of its
  /// queues if it cannot lose its largest rack or zone or release a VM to a
  /// wave.
  std::uint32_t UncoveredQueues(int pool, const PoolNeed& need) const;
  /// `UncoveredQueues` as if `vm` were added (`delta` 1) or removed (-1).
  std::uint32_t UncoveredWith(int pool, const PoolNeed& need, int vm,
                              int delta) const;

  /// Smallest number of VMs that covers each event, with the VMs spread evenly
  /// over the racks and zones of the region.
  std::uint32_t TargetSize(int pool, const PoolNeed& need) const;

  /// The cost of this assignment; `moves` is 0.
  AssignmentCost Cost() const;

 private:
  void ReadVms(const PlannerInput& input);
  void ReadWaves(const PlannerInput& input,
                 const std::map<QueueId, QueueDemand>& measured,
                 const NeedOptions& options);
  void AdjustCounts(const AssignedVm& vm, int delta);
  std::uint32_t Uncovered(const AssignedPool& pool, const PoolNeed& need,
                          std::uint32_t count, std::uint32_t rack,
                          std::uint32_t zone) const;
  Shortage Evaluate(const AssignedPool& pool, const PoolNeed& need,
                    std::uint32_t count, std::uint32_t rack,
                    std::uint32_t zone) const;

  std::vector<AssignedPool> pools_;
  std::vector<AssignedVm> vms_;
  std::uint32_t open_moves_ = 0;
  std::uint32_t rack_count_ = 0;
  std::uint32_t zone_count_ = 0;
};

}  // namespace pomelomill
