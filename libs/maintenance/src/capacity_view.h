#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "pomelomill/maintenance/wave_scheduler.h"

namespace pomelomill {

/// Present capacity of one pool, in VMs.
struct PoolCapacity {
  const PoolDeclaration* declaration = nullptr;
  PoolNeed need;
  std::vector<PooledQueue> queues;
  std::uint32_t in_service = 0;
  /// VMs in service in each rack.
  std::map<RackId, std::uint32_t> racks;
  /// A queue that is in a peak now; empty when there is none.
  QueueId peaking_queue;
};

/// Whether a VM may be taken out of service.
struct RemovalCheck {
  /// Why the VM must stay in service; empty when it may be taken out.
  std::string refusal;
  /// VMs that the pool has beyond its need without this VM; negative when it
  /// would have too few.
  int margin = 0;
};

/// VMs in service by pool and rack. VMs that are out, lost or chosen to be
/// taken out are not in service.
class CapacityView {
 public:
  CapacityView(const WaveInput& input, const WaveOptions& options);

  /// A rack that is lost at present; empty when there is none.
  const std::string& lost_rack() const { return lost_rack_; }
  /// Whether the VM has an open intent or was chosen to be taken out of
  /// service.
  bool has_pending_operation(const VmId& vm) const {
    return open_intents_.contains(vm) || removed_.contains(vm);
  }
  const std::map<PoolId, PoolCapacity>& pools() const { return pools_; }

  RemovalCheck CheckRemoval(const VmId& vm) const;
  void RemoveFromService(const VmId& vm);
  /// Puts the VM in service whatever its state is; for forecasts.
  void ReturnToService(const VmId& vm);
  /// Clears all current peaks, which end within seconds. For forecasts of a
  /// whole wave, which account for the time spent in peaks separately.
  void IgnoreCurrentPeaks();

  /// Whether the VM is stopped, in which case its maintenance costs no
  /// capacity.
  bool is_stopped(const VmId& vm) const {
    return this->vm(vm).phase == VmPhase::kStopped && !returned_.contains(vm);
  }

  /// Number of VMs in service in the VM's rack and pool; the VM itself counts
  /// if it is in service.
  std::uint32_t InServiceInRack(const VmId& vm) const;

  bool is_lost(const VmId& vm) const;
  bool is_in_service(const VmId& vm) const;
  const VmState& vm(const VmId& id) const { return input_->state->vms.at(id); }

 private:
  void FindLostRack();
  /// VMs in service in the pool's largest rack after one VM in `rack` is taken
  /// out of service.
  std::uint32_t LargestRackAfterRemoval(const PoolCapacity& pool,
                                        const RackId& rack) const;
  /// The part of `vms` whose slots the active entries may use. The share of a
  /// joining or leaving entry is unused until it is active or handed over.
  int UsableVms(int vms) const;

  const WaveInput* input_;
  std::map<PoolId, PoolCapacity> pools_;
  std::unordered_map<VmId, const Intent*> open_intents_;
  std::set<VmId> removed_;
  std::set<VmId> returned_;
  std::string lost_rack_;
  std::int64_t total_weight_ = 0;
  std::int64_t active_weight_ = 0;
};

}  // namespace pomelomill
