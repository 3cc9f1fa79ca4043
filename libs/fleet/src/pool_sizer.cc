#include "pomelomill/fleet/pool_sizer.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace pomelomill {
namespace {

/// A VM with the CPU that its worker uses, in thousandths of a core.
using LightlyUsedVm = std::pair<std::uint32_t, const FleetVm*>;

bool IsLessUsed(const LightlyUsedVm& a, const LightlyUsedVm& b) {
  return std::tie(a.first, a.second->vm) < std::tie(b.first, b.second->vm);
}

/// Returns the median CPU of the VMs of which it is known, 0 when there are
/// none. A few VMs of an odd size do not change it.
std::uint32_t MedianCpuMillis(const std::vector<FleetVm>& vms) {
  std::vector<std::uint32_t> known;
  known.reserve(vms.size());
  for (const FleetVm& it : vms)
    if (it.cpu_millis != 0) known.push_back(it.cpu_millis);
  if (known.empty()) return 0;
  const auto middle =
      known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
  std::nth_element(known.begin(), middle, known.end());
  return *middle;
}

}  // namespace

void PoolSizer::SetVms(const std::vector<FleetVm>& vms,
                       const std::set<PoolId>& spare_pools,
                       const std::set<VmId>& reserved_vms) {
  vms_.clear();
  pools_.clear();
  for (const FleetVm& it : vms) {
    vms_[it.vm] = it;
    if (!spare_pools.contains(it.pool)) pools_.insert(it.pool);
  }
  cpu_millis_per_vm_ = MedianCpuMillis(vms);
  spare_pools_ = spare_pools;
  SetReservedVms(reserved_vms);
  // A move has ended when the VM is up in its new pool with another worker.
  std::erase_if(relocations_, [&](const auto& entry) {
    const auto& [id, relocation] = entry;
    const auto it = vms_.find(id);
    if (it == vms_.end()) return true;
    const FleetVm& vm = it->second;
    const bool has_arrived =
        vm.pool == relocation.to && vm.state == FleetVmState::kUp;
    const bool worker_has_ended =
        relocation.stage == Stage::kClosing && vm.worker != relocation.worker;
    return (relocation.stage == Stage::kMoving && has_arrived) ||
           worker_has_ended;
  });
}

void PoolSizer::SetReservedVms(const std::set<VmId>& vms) {
  reserved_vms_ = vms;
}

void PoolSizer::SetDemand(const PoolId& pool, const PoolDemand& demand) {
  DemandHistory& it = demand_[pool];
  it.latest = demand;
  it.idle_workers = {demand.idle_workers.begin(), demand.idle_workers.end()};
  it.cpu_millis.emplace_back(
      demand.reported_at, static_cast<double>(demand.running_cpu_millis) +
                              static_cast<double>(demand.waiting_cpu_millis));
  while (demand.reported_at - it.cpu_millis.front().first >
         options_.trend_window)
    it.cpu_millis.pop_front();
}

void PoolSizer::OnWorkerEmptied(const WorkerId& worker) {
  emptied_workers_.insert(worker);
}

void PoolSizer::OnMoveAnswer(const VmId& vm, VmCallOutcome outcome,
                             Instant now) {
  const auto it = relocations_.find(vm);
  if (it == relocations_.end() || it->second.stage != Stage::kRequested) return;
  it->second.since = now;
  switch (outcome) {
    case VmCallOutcome::kAccepted:
      it->second.stage = Stage::kMoving;
      break;
    case VmCallOutcome::kUnknown:
      // The call is repeated, which is safe: the platform accepts it without a
      // second move if the first call took effect.
      it->second.stage = Stage::kClosing;
      it->second.retry_at = now + options_.move_retry_delay;
      it->second.open_until = now + options_.late_move_lifetime;
      break;
    case VmCallOutcome::kBusy:
      if (now < it->second.open_until) {
        // Says nothing about the copy that got no answer.
        it->second.stage = Stage::kClosing;
        it->second.retry_at = now + options_.move_retry_delay;
        break;
      }
      [[fallthrough]];
    case VmCallOutcome::kRefused:
      it->second.stage = Stage::kClosing;
      it->second.is_refused = true;
      break;
  }
}

std::set<VmId> PoolSizer::relocating_vms() const {
  std::set<VmId> vms;
  for (const auto& [id, relocation] : relocations_) vms.insert(id);
  return vms;
}

std::uint32_t PoolSizer::VmCountForShare(double share) const {
  return static_cast<std::uint32_t>(static_cast<double>(vms_.size()) * share);
}

void PoolSizer::ComputeRequirement(const PoolId& pool, Instant now,
                                   PoolCapacity& capacity) const {
  const auto it = demand_.find(pool);
  if (it == demand_.end() ||
      now - it->second.latest.reported_at > options_.max_demand_age ||
      cpu_millis_per_vm_ == 0)
    return;
  const auto vms_for = [&](double cpu_millis) {
    // Any larger number has the same effect on a fleet of any size.
    constexpr double kMostVms = 1e6;
    const double vms =
        std::min(std::ceil(cpu_millis / cpu_millis_per_vm_), kMostVms);
    return std::max(static_cast<std::uint32_t>(vms), options_.min_vms);
  };
  const double demand = it->second.cpu_millis.back().second;
  const double growth =
      std::max(0.0, demand - it->second.cpu_millis.front().second);
  capacity.required =
      vms_for(demand * options_.headroom + growth * options_.growth_headroom);
  capacity.required_as_donor = vms_for(demand * options_.donor_headroom);
}

void PoolSizer::AddDonor(const FleetVm& vm, Snapshot& snapshot) const {
  if (spare_pools_.contains(vm.pool)) {
    snapshot.parked_vms.push_back(&vm);
    return;
  }
  const auto it = demand_.find(vm.pool);
  if (it == demand_.end()) return;
  PoolCapacity& capacity = snapshot.pools[vm.pool];
  if (it->second.idle_workers.contains(vm.worker)) {
    capacity.idle_vms.push_back(&vm);
    return;
  }
  const auto& light = it->second.latest.lightly_used_workers;
  if (const auto used = light.find(vm.worker); used != light.end())
    capacity.lightly_used_vms.emplace_back(used->second, &vm);
}

PoolSizer::Snapshot PoolSizer::TakeSnapshot(Instant now) const {
  Snapshot snapshot;
  for (const PoolId& it : pools_) {
    ComputeRequirement(it, now, snapshot.pools[it]);
  }
  for (const auto& [id, vm] : vms_) {
    ++snapshot.examined;
    if (const auto it = relocations_.find(id); it != relocations_.end()) {
      ++snapshot.pools[it->second.to].vm_count;
      continue;
    }
    if (reserved_vms_.contains(id)) continue;
    if (vm.state != FleetVmState::kDown) ++snapshot.pools[vm.pool].vm_count;
    if (vm.state == FleetVmState::kUp) AddDonor(vm, snapshot);
  }
  std::reverse(snapshot.parked_vms.begin(), snapshot.parked_vms.end());
  for (auto& [id, pool] : snapshot.pools) {
    std::reverse(pool.idle_vms.begin(), pool.idle_vms.end());
    snapshot.examined += pool.lightly_used_vms.size();
    std::sort(pool.lightly_used_vms.begin(), pool.lightly_used_vms.end(),
              [](const LightlyUsedVm& a, const LightlyUsedVm& b) {
                return IsLessUsed(b, a);
              });
  }
  return snapshot;
}

const FleetVm* PoolSizer::PopDonor(const PoolId& to, Snapshot& snapshot) {
  const auto pop = [&](auto& list) {
    const auto it = list.back();
    list.pop_back();
    ++snapshot.examined;
    return it;
  };
  // Parked VMs run no tasks, so they cost only the move.
  if (!snapshot.parked_vms.empty()) return pop(snapshot.parked_vms);
  PoolCapacity* idle_donor = nullptr;
  PoolCapacity* light_donor = nullptr;
  std::uint32_t idle_surplus = 0;
  for (auto& [id, pool] : snapshot.pools) {
    if (id == to || !pool.required_as_donor ||
        pool.vm_count <= *pool.required_as_donor + 1)
      continue;
    const std::uint32_t surplus = pool.vm_count - *pool.required_as_donor;
    if (!pool.idle_vms.empty() &&
        (surplus > idle_surplus ||
         (surplus == idle_surplus &&
          pool.idle_vms.back()->vm < idle_donor->idle_vms.back()->vm))) {
      idle_donor = &pool;
      idle_surplus = surplus;
    }
    if (!pool.lightly_used_vms.empty() &&
        (light_donor == nullptr ||
         IsLessUsed(pool.lightly_used_vms.back(),
                    light_donor->lightly_used_vms.back())))
      light_donor = &pool;
  }
  if (idle_donor != nullptr) return pop(idle_donor->idle_vms);
  return light_donor != nullptr ? pop(light_donor->lightly_used_vms).second
                                : nullptr;
}

void PoolSizer::StartRelocation(const FleetVm& vm, const PoolId& to,
                                Instant now, Snapshot& snapshot,
                                SizePlan& plan) {
  --snapshot.pools[vm.pool].vm_count;
  ++snapshot.pools[to].vm_count;
  emptied_workers_.erase(vm.worker);
  Relocation& relocation = relocations_[vm.vm];
  relocation = {.from = vm.pool, .to = to, .worker = vm.worker, .since = now};
  if (spare_pools_.contains(vm.pool)) {
    relocation.stage = Stage::kRequested;
    plan.moves.push_back({vm.vm, to});
  } else {
    plan.workers_to_close.push_back({vm.pool, vm.worker});
  }
}

void PoolSizer::AdvanceRelocations(Instant now, SizePlan& plan) {
  for (auto it = relocations_.begin(); it != relocations_.end();) {
    auto& [id, relocation] = *it;
    if (relocation.stage == Stage::kClosing && !relocation.is_refused &&
        now >= relocation.retry_at &&
        (emptied_workers_.contains(relocation.worker) ||
         spare_pools_.contains(relocation.from))) {
      relocation.stage = Stage::kRequested;
      plan.moves.push_back({id, relocation.to});
    }
    const bool is_cancelled = relocation.stage == Stage::kClosing &&
                              now >= relocation.open_until &&
                              (relocation.is_refused ||
                               now - relocation.since > options_.close_timeout);
    if (is_cancelled) {
      if (!spare_pools_.contains(relocation.from))
        plan.workers_to_reopen.push_back({relocation.from, relocation.worker});
      it = relocations_.erase(it);
    } else {
      ++it;
    }
  }
}

const PoolId* PoolSizer::FindMostUnderprovisioned(const Snapshot& snapshot) {
  const PoolId* lowest = nullptr;
  double lowest_ratio = 1;
  for (const auto& [id, pool] : snapshot.pools) {
    if (!pool.required) continue;
    const double ratio = static_cast<double>(pool.vm_count) / *pool.required;
    if (ratio >= lowest_ratio) continue;
    lowest_ratio = ratio;
    lowest = &id;
  }
  return lowest;
}

void PoolSizer::RedirectRelocations(Instant now, Snapshot& snapshot,
                                    SizePlan& plan) {
  for (auto it = relocations_.begin(); it != relocations_.end();) {
    auto& [id, relocation] = *it;
    PoolCapacity& to = snapshot.pools[relocation.to];
    const PoolId* const recipient = FindMostUnderprovisioned(snapshot);
    if (relocation.stage != Stage::kClosing || now < relocation.open_until ||
        !to.required || to.vm_count <= *to.required || recipient == nullptr) {
      ++it;
      continue;
    }
    --to.vm_count;
    ++snapshot.pools[*recipient].vm_count;
    if (*recipient == relocation.from) {
      plan.workers_to_reopen.push_back({relocation.from, relocation.worker});
      it = relocations_.erase(it);
    } else {
      relocation.to = *recipient;
      ++it;
    }
  }
}

void PoolSizer::PlanGrowth(Instant now, Snapshot& snapshot, SizePlan& plan) {
  const std::size_t max_relocations =
      std::max(1U, VmCountForShare(options_.max_relocating_share));
  while (relocations_.size() < max_relocations) {
    const PoolId* const recipient = FindMostUnderprovisioned(snapshot);
    if (recipient == nullptr) return;
    const FleetVm* const donor = PopDonor(*recipient, snapshot);
    if (donor == nullptr) return;
    StartRelocation(*donor, *recipient, now, snapshot, plan);
  }
}

void PoolSizer::PlanParking(Instant now, Snapshot& snapshot, SizePlan& plan) {
  if (spare_pools_.empty()) return;
  const std::uint32_t reserve = VmCountForShare(options_.reserve_share);
  for (const PoolId& id : pools_) {
    PoolCapacity& pool = snapshot.pools[id];
    if (!pool.required || pool.vm_count <= *pool.required + reserve) {
      surplus_since_.erase(id);
      continue;
    }
    const Instant since = surplus_since_.try_emplace(id, now).first->second;
    if (now - since < options_.park_after) continue;
    while (!pool.idle_vms.empty() && pool.vm_count > *pool.required + reserve) {
      const FleetVm& vm = *pool.idle_vms.back();
      pool.idle_vms.pop_back();
      ++snapshot.examined;
      StartRelocation(vm, *spare_pools_.begin(), now, snapshot, plan);
    }
  }
}

SizePlan PoolSizer::Plan(Instant now) {
  SizePlan plan;
  AdvanceRelocations(now, plan);
  Snapshot snapshot = TakeSnapshot(now);
  RedirectRelocations(now, snapshot, plan);
  PlanGrowth(now, snapshot, plan);
  PlanParking(now, snapshot, plan);
  plan.examined = snapshot.examined;
  return plan;
}

}  // namespace pomelomill
