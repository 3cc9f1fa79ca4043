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
        pool.peaking = it.declaration->id;
    }
    pool.queues = queues;
  }
  for (const auto& [id, intent] : input.state->intents) {
    if (intent.step != IntentStep::kDone) open_[intent.vm] = &intent;
  }
  for (const auto& [id, vm] : input.state->vms) {
    const auto pool = pools_.find(vm.pool);
    if (pool == pools_.end() || !is_in_service(id)) continue;
    ++pool->second.in_service;
    ++pool->second.racks[vm.rack];
  }
  FindLostDomain();
  for (const EntryShare& it : input.state->shares) {
    all_weight_ += it.weight;
    if (it.phase == SharePhase::kActive) active_weight_ += it.weight;
  }
}

int CapacityView::Usable(int vms) const {
  if (all_weight_ == 0 || vms <= 0) return vms;
  return static_cast<int>(std::int64_t{vms} * active_weight_ / all_weight_);
}

bool CapacityView::is_lost(const VmId& vm) const {
  return input_->lost.contains(vm) ||
         input_->state->vms.at(vm).phase == VmPhase::kLost;
}

bool CapacityView::is_in_service(const VmId& vm) const {
  if (returned_.contains(vm)) return true;
  return input_->state->vms.at(vm).phase == VmPhase::kActive &&
         !open_.contains(vm) && !taken_.contains(vm) && !is_lost(vm);
}

void CapacityView::FindLostDomain() {
  // Single VMs fail every day; two or more in one rack, and more than half of
  // it, are taken for the loss of the rack.
  std::map<RackId, std::pair<std::uint32_t, std::uint32_t>> racks;
  for (const auto& [id, vm] : input_->state->vms) {
    auto& [lost, all] = racks[vm.rack];
    ++all;
    if (is_lost(id)) ++lost;
  }
  for (const auto& [rack, counts] : racks) {
    if (counts.first >= 2 && counts.first * 2 > counts.second) {
      lost_domain_ = rack.value();
      return;
    }
  }
}

std::uint32_t CapacityView::LargestRackWithout(const PoolCapacity& pool,
                                               const RackId& rack) const {
  std::uint32_t largest = 0;
  for (const auto& [id, count] : pool.racks)
    largest = std::max(largest, id == rack ? count - 1 : count);
  return largest;
}

std::uint32_t CapacityView::InRack(const VmId& vm) const {
  const VmState& state = input_->state->vms.at(vm);
  const auto pool = pools_.find(state.pool);
  if (pool == pools_.end()) return 0;
  const auto rack = pool->second.racks.find(state.rack);
  return rack == pool->second.racks.end() ? 0 : rack->second;
}

TakeCheck CapacityView::CheckTake(const VmId& vm) const {
  const VmState& state = input_->state->vms.at(vm);
  const auto it = pools_.find(state.pool);
  // A VM that serves nothing can always be spared.
  if (it == pools_.end() || is_stopped(vm)) return {};
  const PoolCapacity& pool = it->second;
  if (!pool.peaking.empty())
    return {"queue " + pool.peaking.value() + " is in a peak", 0};
  const int left = static_cast<int>(pool.in_service) - 1;
  const int without_rack =
      left - static_cast<int>(LargestRackWithout(pool, state.rack));
  const int for_peak = Usable(left) - static_cast<int>(pool.need.single_peak);
  const int for_rack = Usable(without_rack) - static_cast<int>(pool.need.base);
  if (for_rack < 0) {
    return {"pool " + state.pool.value() +
                " would break a budget if its largest rack were lost",
            for_rack};
  }
  if (for_peak < 0) {
    return {
        "pool " + state.pool.value() + " would break a budget in the next peak",
        for_peak};
  }
  return {"", std::min(for_peak, for_rack)};
}

void CapacityView::Take(const VmId& vm) {
  const VmState& state = input_->state->vms.at(vm);
  const auto pool = pools_.find(state.pool);
  if (pool != pools_.end() && is_in_service(vm)) {
    --pool->second.in_service;
    --pool->second.racks.at(state.rack);
  }
  returned_.erase(vm);
  taken_.insert(vm);
}

void CapacityView::Return(const VmId& vm) {
  if (is_in_service(vm)) return;
  const VmState& state = input_->state->vms.at(vm);
  const auto pool = pools_.find(state.pool);
  if (pool != pools_.end()) {
    ++pool->second.in_service;
    ++pool->second.racks[state.rack];
  }
  taken_.erase(vm);
  open_.erase(vm);
  returned_.insert(vm);
}

void CapacityView::IgnorePeaks() {
  for (auto& [id, pool] : pools_) pool.peaking = QueueId();
}

}  // namespace pomelomill
