#include "capacity_view.h"

#include <algorithm>
#include <utility>

namespace pomelomill {

CapacityView::CapacityView(const WaveInput& input, const WaveOptions& options)
    : input_(&input) {
  for (auto& [id, queues] :
       CollectQueues(*input.declarations, input.state->region, input.demand)) {
    PoolCapacity& pool = pools_[id];
    pool.declaration = &input.declarations->pools.at(id);
    pool.need = ComputePoolNeed(*pool.declaration, queues, options.need);
    for (const PooledQueue& it : queues) {
      if (it.demand.current_rate > it.demand.mean_rate * options.peak_threshold)
        pool.peaking_queue = it.declaration->id;
    }
    pool.queues = queues;
  }
  for (const auto& [id, intent] : input.state->intents) {
    if (intent.step != IntentStep::kDone) open_intents_[intent.vm] = &intent;
  }
  for (const auto& [id, vm] : input.state->vms) {
    const auto pool = pools_.find(vm.pool);
    if (pool == pools_.end() || !is_in_service(id)) continue;
    ++pool->second.in_service;
    ++pool->second.racks[vm.rack];
  }
  FindLostRack();
  for (const EntryShare& it : input.state->shares) {
    total_weight_ += it.weight;
    if (it.phase == SharePhase::kActive) active_weight_ += it.weight;
  }
}

int CapacityView::UsableVms(int vms) const {
  if (total_weight_ == 0 || vms <= 0) return vms;
  return static_cast<int>(std::int64_t{vms} * active_weight_ / total_weight_);
}

bool CapacityView::is_lost(const VmId& vm) const {
  return input_->lost_vms.contains(vm) ||
         input_->state->vms.at(vm).phase == VmPhase::kLost;
}

bool CapacityView::is_in_service(const VmId& vm) const {
  if (returned_.contains(vm)) return true;
  return input_->state->vms.at(vm).phase == VmPhase::kActive &&
         !open_intents_.contains(vm) && !removed_.contains(vm) && !is_lost(vm);
}

void CapacityView::FindLostRack() {
  // Single VMs fail every day. A rack counts as lost when at least two of its
  // VMs and more than half of them are lost.
  struct RackCount {
    std::uint32_t lost = 0;
    std::uint32_t all = 0;
  };
  std::map<RackId, RackCount> racks;
  for (const auto& [id, vm] : input_->state->vms) {
    auto& [lost, all] = racks[vm.rack];
    ++all;
    if (is_lost(id)) ++lost;
  }
  for (const auto& [rack, counts] : racks) {
    if (counts.lost >= 2 && counts.lost * 2 > counts.all) {
      lost_rack_ = rack.value();
      return;
    }
  }
}

std::uint32_t CapacityView::LargestRackAfterRemoval(const PoolCapacity& pool,
                                                    const RackId& rack) const {
  std::uint32_t largest = 0;
  for (const auto& [id, count] : pool.racks)
    largest = std::max(largest, id == rack ? count - 1 : count);
  return largest;
}

std::uint32_t CapacityView::InServiceInRack(const VmId& vm) const {
  const VmState& state = input_->state->vms.at(vm);
  const auto pool = pools_.find(state.pool);
  if (pool == pools_.end()) return 0;
  const auto rack = pool->second.racks.find(state.rack);
  return rack == pool->second.racks.end() ? 0 : rack->second;
}

RemovalCheck CapacityView::CheckRemoval(const VmId& vm) const {
  const VmState& state = input_->state->vms.at(vm);
  const auto it = pools_.find(state.pool);
  // A VM that serves no requests can always be taken out.
  if (it == pools_.end() || is_stopped(vm)) return {};
  const PoolCapacity& pool = it->second;
  if (!pool.peaking_queue.empty())
    return {"queue " + pool.peaking_queue.value() + " is in a peak", 0};
  const int left = static_cast<int>(pool.in_service) - 1;
  const int without_rack =
      left - static_cast<int>(LargestRackAfterRemoval(pool, state.rack));
  const int peak_margin =
      UsableVms(left) - static_cast<int>(pool.need.single_peak);
  const int rack_margin =
      UsableVms(without_rack) - static_cast<int>(pool.need.base);
  if (rack_margin < 0) {
    return {"pool " + state.pool.value() +
                " would break a budget if its largest rack were lost",
            rack_margin};
  }
  if (peak_margin < 0) {
    return {
        "pool " + state.pool.value() + " would break a budget in the next peak",
        peak_margin};
  }
  return {"", std::min(peak_margin, rack_margin)};
}

void CapacityView::RemoveFromService(const VmId& vm) {
  const VmState& state = input_->state->vms.at(vm);
  const auto pool = pools_.find(state.pool);
  if (pool != pools_.end() && is_in_service(vm)) {
    --pool->second.in_service;
    --pool->second.racks.at(state.rack);
  }
  returned_.erase(vm);
  removed_.insert(vm);
}

void CapacityView::ReturnToService(const VmId& vm) {
  if (is_in_service(vm)) return;
  const VmState& state = input_->state->vms.at(vm);
  const auto pool = pools_.find(state.pool);
  if (pool != pools_.end()) {
    ++pool->second.in_service;
    ++pool->second.racks[state.rack];
  }
  removed_.erase(vm);
  open_intents_.erase(vm);
  returned_.insert(vm);
}

void CapacityView::IgnoreCurrentPeaks() {
  for (auto& [id, pool] : pools_) pool.peaking_queue = QueueId();
}

}  // namespace pomelomill
