#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pomelomill/planner/exhaustive_planner.h"
#include "pomelomill/planner/planner.h"

namespace pomelomill {

/// VMs that one pool lacks.
struct Shortage {
  /// For its mean demand, or for its declared smallest size.
  std::uint32_t base = 0;
  /// For a peak, the loss of its largest rack or zone, or a wave.
  std::uint32_t joint = 0;
  /// Sum over all events of what each one lacks.
  std::uint32_t sum = 0;

  bool operator==(const Shortage&) const = default;
};

/// Number of VMs in one rack or zone.
struct DomainCount {
  int domain = 0;
  std::uint32_t count = 0;
};

struct AssignedVm {
  VmId id;
  int pool = -1;
  int rack = 0;
  int zone = 0;
  /// Counts as capacity of its pool. VMs in maintenance count, because they
  /// return sooner than a moved VM would serve.
  bool is_in_service = false;
  bool is_movable = false;
  bool is_stopped = false;
};

struct AssignedPool {
  const PoolDeclaration* declaration = nullptr;
  PoolNeed need;
  /// The need at the demand that a donor must still be able to serve.
  PoolNeed donor_need;
  std::uint32_t wave = 0;
  /// Whether a running wave has VMs of this pool to take.
  bool is_in_running_wave = false;
  std::uint32_t in_service = 0;
  std::uint32_t lost = 0;
  std::vector<DomainCount> racks;
  std::vector<DomainCount> zones;
};

/// The VMs of one region by pool, with indices in place of names. Moves are
/// tried on it before they are proposed.
class Assignment {
 public:
  Assignment(const PlannerInput& input, const PlannerOptions& options);
  /// `input` holds the demand to plan for. `measured` is the demand by which
  /// the wave scheduler decides: a wave takes no VM of a pool that is large
  /// enough only by the planned one.
  Assignment(const PlannerInput& input,
             const std::map<QueueId, QueueDemand>& measured,
             const PlannerOptions& options);

  std::vector<AssignedPool>& pools() { return pools_; }
  const std::vector<AssignedPool>& pools() const { return pools_; }
  const std::vector<AssignedVm>& vms() const { return vms_; }
  std::uint32_t open_moves() const { return open_moves_; }
  std::uint32_t rack_count() const { return rack_count_; }
  std::uint32_t zone_count() const { return zone_count_; }

  /// Changes the pool of a VM; a stopped VM is in service afterwards.
  void Move(int vm, int pool);
  /// Undoes changes of one VM.
  void Restore(int vm, const AssignedVm& before);
  void Start(int vm);
  void Stop(int vm);

  /// What the pool lacks by `need` at its present spread.
  Shortage ShortageOf(int pool, const PoolNeed& need) const;

  /// The same if the VM were added (`delta` 1) or taken away (-1).
  Shortage ShortageWith(int pool, const PoolNeed& need, int vm,
                        int delta) const;

  /// VMs of this pool in the same rack.
  std::uint32_t InRack(int pool, int rack) const;
  std::uint32_t InZone(int pool, int zone) const;

  /// Queues of the pool whose peak or whose largest loss is not covered.
  std::uint32_t UncoveredQueues(int pool, const PoolNeed& need) const;
  std::uint32_t UncoveredWith(int pool, const PoolNeed& need, int vm,
                              int delta) const;

  /// Smallest size that covers all events at the best spread that the region
  /// allows.
  std::uint32_t TargetSize(int pool, const PoolNeed& need) const;

  AssignmentCost Cost() const;

 private:
  void ReadVms(const PlannerInput& input);
  void ReadWaves(const PlannerInput& input,
                 const std::map<QueueId, QueueDemand>& measured,
                 const NeedOptions& options);
  void Add(const AssignedVm& vm, int delta);
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
