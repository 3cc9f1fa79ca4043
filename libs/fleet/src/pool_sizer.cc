#include "pomelomill/fleet/pool_sizer.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace pomelomill {
namespace {

/// Cores in thousandths used on the VM's worker.
using LightVm = std::pair<std::uint32_t, const FleetVm*>;

/// The least used one goes first.
bool GivesBefore(const LightVm& a, const LightVm& b) {
  return std::tie(a.first, a.second->vm) < std::tie(b.first, b.second->vm);
}

}  // namespace

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
  SetBlocked(blocked);
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

void PoolSizer::SetBlocked(const std::set<VmId>& blocked) {
  blocked_ = blocked;
}

void PoolSizer::SetLoad(const PoolId& pool, const PoolLoad& load) {
  Load& it = loads_[pool];
  it.load = load;
  it.idle = {load.idle.begin(), load.idle.end()};
  it.demand.emplace_back(
      load.at, static_cast<double>(load.running_cpu + load.waiting_cpu));
  while (load.at - it.demand.front().first > options_.trend_window)
    it.demand.pop_front();
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

void PoolSizer::CountNeeds(const PoolId& pool, Instant now,
                           PoolCount& count) const {
  const auto it = loads_.find(pool);
  if (it == loads_.end() || now - it->second.load.at > options_.load_lasts ||
      CpuOfVm() == 0)
    return;
  const auto vms = [&](double cpu) {
    return std::max(static_cast<std::uint32_t>(std::ceil(cpu / CpuOfVm())),
                    options_.min_vms);
  };
  const double demand = it->second.demand.back().second;
  const double growth =
      std::max(0.0, demand - it->second.demand.front().second);
  count.need = vms(demand * options_.headroom + growth * options_.growth_ahead);
  count.giving_need = vms(demand * options_.giving_headroom);
}

void PoolSizer::AddDonor(const FleetVm& vm, Snapshot& snapshot) const {
  if (spare_.contains(vm.pool)) {
    snapshot.parked.push_back(&vm);
    return;
  }
  const auto it = loads_.find(vm.pool);
  if (it == loads_.end()) return;
  PoolCount& count = snapshot.pools[vm.pool];
  if (it->second.idle.contains(vm.worker)) {
    count.idle.push_back(&vm);
    return;
  }
  const auto& light = it->second.load.light;
  if (const auto use = light.find(vm.worker); use != light.end())
    count.light.emplace_back(use->second, &vm);
}

PoolSizer::Snapshot PoolSizer::TakeSnapshot(Instant now) const {
  Snapshot snapshot;
  for (const PoolId& it : pools_) {
    CountNeeds(it, now, snapshot.pools[it]);
  }
  for (const auto& [id, vm] : vms_) {
    ++snapshot.examined;
    if (const auto it = taken_.find(id); it != taken_.end()) {
      ++snapshot.pools[it->second.to].have;
      continue;
    }
    if (blocked_.contains(id)) continue;
    if (vm.state != FleetVmState::kDown) ++snapshot.pools[vm.pool].have;
    if (vm.state == FleetVmState::kUp) AddDonor(vm, snapshot);
  }
  std::reverse(snapshot.parked.begin(), snapshot.parked.end());
  for (auto& [id, pool] : snapshot.pools) {
    std::reverse(pool.idle.begin(), pool.idle.end());
    snapshot.examined += pool.light.size();
    std::sort(
        pool.light.begin(), pool.light.end(),
        [](const LightVm& a, const LightVm& b) { return GivesBefore(b, a); });
  }
  return snapshot;
}

const FleetVm* PoolSizer::TakeDonor(const PoolId& to, Snapshot& snapshot) {
  const auto take = [&](auto& list) {
    const auto it = list.back();
    list.pop_back();
    ++snapshot.examined;
    return it;
  };
  // Parked VMs end nobody's work and cost only the move.
  if (!snapshot.parked.empty()) return take(snapshot.parked);
  PoolCount* idle = nullptr;
  PoolCount* light = nullptr;
  std::uint32_t idle_surplus = 0;
  for (auto& [id, pool] : snapshot.pools) {
    if (id == to || !pool.giving_need || pool.have <= *pool.giving_need + 1)
      continue;
    const std::uint32_t surplus = pool.have - *pool.giving_need;
    if (!pool.idle.empty() &&
        (surplus > idle_surplus ||
         (surplus == idle_surplus &&
          pool.idle.back()->vm < idle->idle.back()->vm))) {
      idle = &pool;
      idle_surplus = surplus;
    }
    if (!pool.light.empty() &&
        (light == nullptr ||
         GivesBefore(pool.light.back(), light->light.back())))
      light = &pool;
  }
  if (idle != nullptr) return take(idle->idle);
  return light != nullptr ? take(light->light).second : nullptr;
}

void PoolSizer::Take(const FleetVm& vm, const PoolId& to, Instant now,
                     Snapshot& snapshot, SizePlan& plan) {
  --snapshot.pools[vm.pool].have;
  ++snapshot.pools[to].have;
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

const PoolId* PoolSizer::FindNeediest(const Snapshot& snapshot) {
  const PoolId* neediest = nullptr;
  double least = 1;
  for (const auto& [id, pool] : snapshot.pools) {
    if (!pool.need) continue;
    const double share = static_cast<double>(pool.have) / *pool.need;
    if (share >= least) continue;
    least = share;
    neediest = &id;
  }
  return neediest;
}

void PoolSizer::RedirectTaken(Snapshot& snapshot, SizePlan& plan) {
  for (auto it = taken_.begin(); it != taken_.end();) {
    auto& [id, taken] = *it;
    PoolCount& to = snapshot.pools[taken.to];
    const PoolId* const neediest = FindNeediest(snapshot);
    if (taken.stage != Stage::kClosing || !to.need || to.have <= *to.need ||
        neediest == nullptr) {
      ++it;
      continue;
    }
    --to.have;
    ++snapshot.pools[*neediest].have;
    if (*neediest == taken.from) {
      plan.reopens.push_back({taken.from, taken.worker});
      it = taken_.erase(it);
    } else {
      taken.to = *neediest;
      ++it;
    }
  }
}

void PoolSizer::PlanGrowth(Instant now, Snapshot& snapshot, SizePlan& plan) {
  const std::size_t max_moves =
      std::max(1U, ShareOfVms(options_.max_move_share));
  while (taken_.size() < max_moves) {
    const PoolId* const neediest = FindNeediest(snapshot);
    if (neediest == nullptr) return;
    const FleetVm* const donor = TakeDonor(*neediest, snapshot);
    if (donor == nullptr) return;
    Take(*donor, *neediest, now, snapshot, plan);
  }
}

void PoolSizer::PlanParking(Instant now, Snapshot& snapshot, SizePlan& plan) {
  if (spare_.empty()) return;
  const std::uint32_t reserve = ShareOfVms(options_.reserve_share);
  for (const PoolId& id : pools_) {
    PoolCount& pool = snapshot.pools[id];
    if (!pool.need || pool.have <= *pool.need + reserve) {
      surplus_since_.erase(id);
      continue;
    }
    const Instant since = surplus_since_.try_emplace(id, now).first->second;
    if (now - since < options_.park_after) continue;
    while (!pool.idle.empty() && pool.have > *pool.need + reserve) {
      const FleetVm& vm = *pool.idle.back();
      pool.idle.pop_back();
      ++snapshot.examined;
      Take(vm, *spare_.begin(), now, snapshot, plan);
    }
  }
}

SizePlan PoolSizer::Plan(Instant now) {
  SizePlan plan;
  AdvanceTaken(now, plan);
  Snapshot snapshot = TakeSnapshot(now);
  RedirectTaken(snapshot, plan);
  PlanGrowth(now, snapshot, plan);
  PlanParking(now, snapshot, plan);
  plan.examined = snapshot.examined;
  return plan;
}

}  // namespace pomelomill
