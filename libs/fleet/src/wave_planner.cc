#include "pomelomill/fleet/wave_planner.h"

#include <algorithm>
#include <utility>

namespace pomelomill {

void WavePlanner::AddWave(const MaintenanceWave& wave,
                          const std::set<VmId>& maintained) {
  if (waves_.contains(wave.id)) return;
  WaveProgress& it = waves_[wave.id];
  it.wave = wave;
  for (const VmId& vm : wave.vms) {
    it.vms[vm].stage = maintained.contains(vm) ? Stage::kDone : Stage::kPending;
  }
}

void WavePlanner::RemoveWave(const WaveId& wave) {
  const auto it = waves_.find(wave);
  if (it == waves_.end()) return;
  for (const auto& [vm, progress] : it->second.vms) {
    if (progress.stage == Stage::kClosing) ReopenWorker(wave, vm);
  }
  waves_.erase(it);
}

void WavePlanner::ReopenWorker(const WaveId& wave, const VmId& vm) {
  const FleetVm* const it = FindVm(vm);
  if (it != nullptr && !it->worker.empty())
    workers_to_reopen_.push_back({it->pool, it->worker, wave});
}

void WavePlanner::SetVms(const std::vector<FleetVm>& vms,
                         const std::set<PoolId>& spare_pools) {
  vms_.clear();
  for (const FleetVm& it : vms) vms_[it.vm] = it;
  spare_pools_ = spare_pools;
  for (auto& [id, wave] : waves_) UpdateProgress(wave);
}

void WavePlanner::SetRelocatingVms(const std::set<VmId>& vms) {
  relocating_vms_ = vms;
  for (auto& [id, wave] : waves_) UpdateProgress(wave);
}

void WavePlanner::OnWorkerEmptied(const WorkerId& worker) {
  emptied_workers_.insert(worker);
}

const FleetVm* WavePlanner::FindVm(const VmId& vm) const {
  const auto it = vms_.find(vm);
  return it == vms_.end() ? nullptr : &it->second;
}

FleetVmState WavePlanner::EffectiveState(const FleetVm& vm) const {
  const bool is_relocating =
      vm.state == FleetVmState::kUp && relocating_vms_.contains(vm.vm);
  return is_relocating ? FleetVmState::kMoving : vm.state;
}

void WavePlanner::UpdateProgress(WaveProgress& wave) {
  for (auto& [id, progress] : wave.vms) {
    const FleetVm* const vm = FindVm(id);
    if (vm == nullptr) continue;
    const bool has_returned = EffectiveState(*vm) == FleetVmState::kUp &&
                              vm->worker != progress.worker &&
                              !vm->worker.empty();
    if (progress.stage == Stage::kDown && has_returned)
      progress.stage = Stage::kDone;
    // The worker ended before it was emptied; the VM's next worker must be
    // closed instead.
    if (progress.stage == Stage::kClosing && vm->worker != progress.worker)
      progress.stage = Stage::kPending;
  }
}

void WavePlanner::OnMaintenanceAnswer(const WaveId& wave, const VmId& vm,
                                      VmCallOutcome outcome, Instant now) {
  const auto found = waves_.find(wave);
  if (found == waves_.end()) return;
  const auto it = found->second.vms.find(vm);
  if (it == found->second.vms.end() || it->second.stage != Stage::kRequested)
    return;
  VmProgress& progress = it->second;
  progress.retry_at = now + options_.retry_after;
  switch (outcome) {
    case VmCallOutcome::kAccepted:
      progress.stage = Stage::kDown;
      if (!progress.first_unanswered_worker.empty() &&
          progress.first_unanswered_worker != progress.worker) {
        // An earlier, unanswered call has already taken effect, so the VM is
        // back with a new worker.
        progress.stage = Stage::kDone;
        ReopenWorker(wave, vm);
      }
      break;
    case VmCallOutcome::kRefused:
      progress.stage = Stage::kSkipped;
      break;
    case VmCallOutcome::kUnknown:
      if (progress.first_unanswered_worker.empty())
        progress.first_unanswered_worker = progress.worker;
      [[fallthrough]];
    case VmCallOutcome::kBusy:
      // The call is repeated, which is safe: the platform accepts it without a
      // second maintenance if the first call took effect. Until then the VM
      // counts as down.
      progress.stage = Stage::kClosing;
      break;
  }
}

bool WavePlanner::CountsAsDown(const VmId& id,
                               const VmProgress& progress) const {
  const FleetVm* const vm = FindVm(id);
  const bool is_listed_down =
      vm != nullptr && vm->state == FleetVmState::kInMaintenance;
  return is_listed_down || progress.stage == Stage::kRequested ||
         progress.stage == Stage::kDown ||
         (progress.stage == Stage::kClosing && progress.retry_at != Instant{});
}

bool WavePlanner::IsReserved(const VmProgress& progress) {
  return progress.stage == Stage::kClosing ||
         progress.stage == Stage::kRequested || progress.stage == Stage::kDown;
}

bool WavePlanner::IsBehindSchedule(const WaveProgress& wave,
                                   Instant now) const {
  const Duration planned = std::chrono::duration_cast<Duration>(
      wave.wave.duration * options_.planned_duration_share);
  const auto begun = static_cast<double>(std::count_if(
      wave.vms.begin(), wave.vms.end(),
      [](const auto& it) { return it.second.stage != Stage::kPending; }));
  const Duration elapsed = now - wave.started_at.value_or(now);
  return begun * static_cast<double>(planned.count()) <=
         static_cast<double>(wave.vms.size()) *
             static_cast<double>(elapsed.count());
}

WavePlanner::Snapshot WavePlanner::TakeSnapshot() const {
  Snapshot snapshot{.reserved_vms = reserved_vms(), .pools = {}};
  for (const auto& [id, vm] : vms_) {
    const FleetVmState state = EffectiveState(vm);
    PoolCount& pool = snapshot.pools[vm.pool];
    ++pool.size;
    pool.unavailable +=
        state != FleetVmState::kUp || snapshot.reserved_vms.contains(id);
    pool.moving += state == FleetVmState::kMoving;
  }
  return snapshot;
}

bool WavePlanner::CanCloseAnotherVm(const PoolCount& pool,
                                    bool is_behind_schedule) const {
  const std::size_t excluded = is_behind_schedule ? pool.moving : 0;
  const auto limit = static_cast<std::size_t>(
      static_cast<double>(pool.size - excluded) * options_.max_pool_share);
  return pool.unavailable - excluded < std::max<std::size_t>(1, limit);
}

void WavePlanner::PlanClosures(WaveProgress& wave, Instant now,
                               Snapshot& snapshot, WavePlan& plan) {
  const bool is_behind_schedule = IsBehindSchedule(wave, now);
  // As many workers may be closed in advance as VMs may be down, so that they
  // are emptied while the VMs before them are maintained.
  const std::uint32_t limit = 2 * wave.wave.max_down;
  std::uint32_t in_progress = 0;
  for (const auto& [id, progress] : wave.vms) {
    in_progress += IsReserved(progress);
  }
  for (auto& [id, progress] : wave.vms) {
    if (in_progress >= limit) return;
    const FleetVm* const vm = FindVm(id);
    if (progress.stage != Stage::kPending || vm == nullptr ||
        EffectiveState(*vm) != FleetVmState::kUp ||
        snapshot.reserved_vms.contains(id))
      continue;
    PoolCount& pool = snapshot.pools[vm->pool];
    if (!spare_pools_.contains(vm->pool) &&
        !CanCloseAnotherVm(pool, is_behind_schedule))
      continue;
    ++pool.unavailable;
    snapshot.reserved_vms.insert(id);
    progress.stage = Stage::kClosing;
    progress.worker = vm->worker;
    progress.retry_at = Instant{};
    ++in_progress;
    if (spare_pools_.contains(vm->pool) || vm->worker.empty()) {
      emptied_workers_.insert(vm->worker);
    } else {
      emptied_workers_.erase(vm->worker);
      plan.workers_to_close.push_back({vm->pool, vm->worker, wave.wave.id});
    }
  }
}

void WavePlanner::PlanMaintenanceCalls(WaveProgress& wave, Instant now,
                                       WavePlan& plan) {
  auto down = static_cast<std::uint32_t>(std::count_if(
      wave.vms.begin(), wave.vms.end(),
      [&](const auto& it) { return CountsAsDown(it.first, it.second); }));
  for (auto& [id, progress] : wave.vms) {
    if (progress.stage != Stage::kClosing ||
        !emptied_workers_.contains(progress.worker) || now < progress.retry_at)
      continue;
    const bool was_requested = progress.retry_at != Instant{};
    if (!was_requested && down >= wave.wave.max_down) continue;
    down += !CountsAsDown(id, progress);
    progress.stage = Stage::kRequested;
    plan.maintenance_calls.push_back({id, wave.wave.id});
  }
}

WavePlan WavePlanner::Plan(Instant now) {
  WavePlan plan;
  plan.workers_to_reopen = std::exchange(workers_to_reopen_, {});
  if (vms_.empty()) return plan;
  if (!has_open_waves()) return plan;
  Snapshot snapshot = TakeSnapshot();
  for (auto& [id, wave] : waves_) {
    if (wave.is_complete) continue;
    if (!wave.started_at) wave.started_at = now;
    PlanClosures(wave, now, snapshot, plan);
    PlanMaintenanceCalls(wave, now, plan);
    const bool is_complete =
        std::all_of(wave.vms.begin(), wave.vms.end(), [&](const auto& it) {
          return it.second.stage == Stage::kDone ||
                 it.second.stage == Stage::kDown ||
                 it.second.stage == Stage::kSkipped ||
                 FindVm(it.first) == nullptr;
        });
    if (!is_complete) continue;
    wave.is_complete = true;
    plan.completed_waves.push_back(id);
  }
  return plan;
}

std::set<VmId> WavePlanner::MaintainedVms(const WaveId& wave) const {
  std::set<VmId> maintained;
  const auto it = waves_.find(wave);
  if (it == waves_.end()) return maintained;
  for (const auto& [vm, progress] : it->second.vms) {
    if (progress.stage == Stage::kDone || progress.stage == Stage::kDown)
      maintained.insert(vm);
  }
  return maintained;
}

std::set<VmId> WavePlanner::reserved_vms() const {
  std::set<VmId> vms;
  for (const auto& [id, wave] : waves_) {
    for (const auto& [vm, progress] : wave.vms) {
      if (IsReserved(progress)) vms.insert(vm);
    }
  }
  return vms;
}

bool WavePlanner::has_open_waves() const {
  return std::any_of(waves_.begin(), waves_.end(),
                     [](const auto& it) { return !it.second.is_complete; });
}

}  // namespace pomelomill
