#include "pomelomill/fleet/pool_sizer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pomelomill {

void PoolSizer::SetVms(const std::vector<FleetVm>& vms,
                       const std::set<PoolId>& spare,
                       const std::set<VmId>& blocked) {
  vms_.clear();
  pools_.clear();
  for (const FleetVm& it : vms) {
    vms_[it.vm] = it;
    if (!spare.contains(it.pool)) pools_.insert(it.pool);
  }
  spare_ = spare;
  blocked_ = blocked;
  // A move has ended when the VM is up in its new pool with another worker.
  std::erase_if(taken_, [&](const auto& entry) {
    const auto& [id, taken] = entry;
    const auto it = vms_.find(id);
    if (it == vms_.end()) return true;
    const FleetVm& vm = it->second;
    const bool has_arrived =
        vm.pool == taken.to && vm.state == FleetVmState::kUp;
    const bool is_gone =
        taken.stage == Stage::kClosing && vm.worker != taken.worker;
    return (taken.stage == Stage::kMoving && has_arrived) || is_gone;
  });
}

void PoolSizer::SetLoad(const PoolId& pool, const PoolLoad& load) {
  loads_[pool] = load;
}

void PoolSizer::OnEmptied(const WorkerId& worker) { emptied_.insert(worker); }

void PoolSizer::OnMoved(const VmId& vm, MaintainOutcome outcome, Instant now) {
  const auto it = taken_.find(vm);
  if (it == taken_.end() || it->second.stage != Stage::kAsked) return;
  it->second.since = now;
  switch (outcome) {
    case MaintainOutcome::kAccepted:
      it->second.stage = Stage::kMoving;
      break;
    case MaintainOutcome::kUnknown:
      // The repeat is answered as done when the first call took effect.
      it->second.stage = Stage::kClosing;
      break;
    case MaintainOutcome::kBusy:
    case MaintainOutcome::kRefused:
      it->second.stage = Stage::kClosing;
      it->second.is_refused = true;
      break;
  }
}

std::set<VmId> PoolSizer::taken() const {
  std::set<VmId> vms;
  for (const auto& [id, taken] : taken_) vms.insert(id);
  return vms;
}

std::uint32_t PoolSizer::CpuOfVm() const {
  return vms_.empty() ? 0 : vms_.begin()->second.cpu_millis;
}

std::uint32_t PoolSizer::ShareOfVms(double share) const {
  return static_cast<std::uint32_t>(static_cast<double>(vms_.size()) * share);
}

std::uint32_t PoolSizer::Have(const PoolId& pool) const {
  std::uint32_t n = 0;
  examined_ += vms_.size();
  for (const auto& [id, vm] : vms_) {
    const auto taken = taken_.find(id);
    if (taken != taken_.end()) {
      n += taken->second.to == pool;
    } else {
      n += vm.pool == pool && vm.state != FleetVmState::kDown &&
           !blocked_.contains(id);
    }
  }
  return n;
}

std::optional<std::uint32_t> PoolSizer::Need(const PoolId& pool,
                                             double headroom,
                                             Instant now) const {
  const auto it = loads_.find(pool);
  if (it == loads_.end() || now - it->second.at > options_.load_lasts ||
      CpuOfVm() == 0)
    return std::nullopt;
  const auto demand =
      static_cast<double>(it->second.running_cpu + it->second.waiting_cpu);
  const auto vms =
      static_cast<std::uint32_t>(std::ceil(demand * headroom / CpuOfVm()));
  return std::max(vms, options_.min_vms);
}

bool PoolSizer::IsIdle(const FleetVm& vm) const {
  const auto it = loads_.find(vm.pool);
  if (it == loads_.end()) return false;
  const auto& idle = it->second.idle;
  return std::find(idle.begin(), idle.end(), vm.worker) != idle.end();
}

std::optional<std::uint32_t> PoolSizer::LightUse(const FleetVm& vm) const {
  const auto load = loads_.find(vm.pool);
  if (load == loads_.end()) return std::nullopt;
  const auto it = load->second.light.find(vm.worker);
  if (it == load->second.light.end()) return std::nullopt;
  return it->second;
}

const FleetVm* PoolSizer::FindDonor(const PoolId& to, Instant now) const {
  const FleetVm* idle = nullptr;
  const FleetVm* light = nullptr;
  std::uint32_t idle_surplus = 0;
  std::uint32_t light_use = 0;
  for (const auto& [id, vm] : vms_) {
    ++examined_;
    if (vm.pool == to || vm.state != FleetVmState::kUp || taken_.contains(id) ||
        blocked_.contains(id))
      continue;
    // Parked VMs end nobody's work and cost only the move.
    if (spare_.contains(vm.pool)) return &vm;
    const auto need = Need(vm.pool, options_.giving_headroom, now);
    const std::uint32_t have = Have(vm.pool);
    if (!need || have <= *need + 1) continue;
    const std::uint32_t surplus = have - *need;
    if (IsIdle(vm)) {
      if (idle != nullptr && surplus <= idle_surplus) continue;
      idle = &vm;
      idle_surplus = surplus;
    } else if (const auto use = LightUse(vm)) {
      if (light != nullptr && *use >= light_use) continue;
      light = &vm;
      light_use = *use;
    }
  }
  return idle != nullptr ? idle : light;
}

void PoolSizer::Take(const FleetVm& vm, const PoolId& to, Instant now,
                     SizePlan& plan) {
  emptied_.erase(vm.worker);
  Taken& taken = taken_[vm.vm];
  taken = {.from = vm.pool, .to = to, .worker = vm.worker, .since = now};
  if (spare_.contains(vm.pool)) {
    taken.stage = Stage::kAsked;
    plan.moves.push_back({vm.vm, to});
  } else {
    plan.closes.push_back({vm.pool, vm.worker});
  }
}

void PoolSizer::AdvanceTaken(Instant now, SizePlan& plan) {
  for (auto it = taken_.begin(); it != taken_.end();) {
    auto& [id, taken] = *it;
    if (taken.stage == Stage::kClosing && !taken.is_refused &&
        (emptied_.contains(taken.worker) || spare_.contains(taken.from))) {
      taken.stage = Stage::kAsked;
      plan.moves.push_back({id, taken.to});
    }
    const bool is_given_up =
        taken.stage == Stage::kClosing &&
        (taken.is_refused || now - taken.since > options_.close_limit);
    if (is_given_up) {
      if (!spare_.contains(taken.from))
        plan.reopens.push_back({taken.from, taken.worker});
      it = taken_.erase(it);
    } else {
      ++it;
    }
  }
}

void PoolSizer::PlanGrowth(Instant now, SizePlan& plan) {
  const std::size_t max_moves =
      std::max(1U, ShareOfVms(options_.max_move_share));
  while (taken_.size() < max_moves) {
    const PoolId* neediest = nullptr;
    std::uint32_t deficit = 0;
    for (const PoolId& it : pools_) {
      const auto need = Need(it, options_.headroom, now);
      const std::uint32_t have = Have(it);
      if (!need || *need <= have || *need - have <= deficit) continue;
      deficit = *need - have;
      neediest = &it;
    }
    if (neediest == nullptr) return;
    const FleetVm* const donor = FindDonor(*neediest, now);
    if (donor == nullptr) return;
    Take(*donor, *neediest, now, plan);
  }
}

void PoolSizer::PlanParking(Instant now, SizePlan& plan) {
  if (spare_.empty()) return;
  const std::uint32_t reserve = ShareOfVms(options_.reserve_share);
  for (const PoolId& pool : pools_) {
    const auto need = Need(pool, options_.headroom, now);
    const bool has_surplus = need && Have(pool) > *need + reserve;
    if (!has_surplus) {
      surplus_since_.erase(pool);
      continue;
    }
    const Instant since = surplus_since_.try_emplace(pool, now).first->second;
    if (now - since < options_.park_after) continue;
    for (const auto& [id, vm] : vms_) {
      if (Have(pool) <= *need + reserve) break;
      if (vm.pool != pool || vm.state != FleetVmState::kUp ||
          taken_.contains(id) || blocked_.contains(id) || !IsIdle(vm))
        continue;
      Take(vm, *spare_.begin(), now, plan);
    }
  }
}

SizePlan PoolSizer::Plan(Instant now) {
  SizePlan plan;
  AdvanceTaken(now, plan);
  PlanGrowth(now, plan);
  PlanParking(now, plan);
  plan.examined = std::exchange(examined_, 0);
  return plan;
}

}  // namespace pomelomill
