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

/// Capacity of one pool at present.
struct PoolCapacity {
  const PoolDeclaration* declaration = nullptr;
  PoolNeed need;
  std::vector<PooledQueue> queues;
  std::uint32_t in_service = 0;
  std::map<RackId, std::uint32_t> racks;
  /// The queue that is in a peak now; empty when there is none.
  QueueId peaking;
};

/// Whether a VM can be spared, and by how many VMs to spare or to lack.
struct TakeCheck {
  /// Empty when the VM can be taken.
  std::string refusal;
  int margin = 0;
};

/// VMs in service by pool and rack, less all that are out, lost or about to
/// be taken.
class CapacityView {
 public:
  CapacityView(const WaveInput& input, const WaveOptions& options);

  /// A rack or zone that is lost at present; empty when there is none.
  const std::string& lost_domain() const { return lost_domain_; }
  /// Whether the VM is being stopped or moved already, or about to be.
  bool is_in_use(const VmId& vm) const {
    return open_.contains(vm) || taken_.contains(vm);
  }
  const std::map<PoolId, PoolCapacity>& pools() const { return pools_; }

  TakeCheck CheckTake(const VmId& vm) const;
  void Take(const VmId& vm);

  /// VMs of the pool in the same rack that are in service.
  std::uint32_t InRack(const VmId& vm) const;

  bool is_lost(const VmId& vm) const;
  bool is_in_service(const VmId& vm) const;
  const VmState& vm(const VmId& id) const { return input_->state->vms.at(id); }

 private:
  void FindLostDomain();
  std::uint32_t LargestRackWithout(const PoolCapacity& pool,
                                   const RackId& rack) const;
  /// VMs whose slots the active entries may use out of `vms`: slots of an
  /// entry that joins or leaves serve nothing until they are passed on.
  int Usable(int vms) const;

  const WaveInput* input_;
  std::map<PoolId, PoolCapacity> pools_;
  std::unordered_map<VmId, const Intent*> open_;
  std::set<VmId> taken_;
  std::string lost_domain_;
  std::int64_t all_weight_ = 0;
  std::int64_t active_weight_ = 0;
};

}  // namespace pomelomill
