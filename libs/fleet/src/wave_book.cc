#include "pomelomill/fleet/wave_book.h"

#include <algorithm>
#include <utility>

namespace pomelomill {

void WaveBook::SetWave(const MaintenanceWave& wave,
                       const std::set<VmId>& done) {
  if (waves_.contains(wave.id)) return;
  Wave& it = waves_[wave.id];
  it.wave = wave;
  for (const VmId& vm : wave.vms) {
    it.vms[vm].stage = done.contains(vm) ? Stage::kDone : Stage::kPending;
  }
}

void WaveBook::RemoveWave(const WaveId& wave) {
  const auto it = waves_.find(wave);
  if (it == waves_.end()) return;
  for (const auto& [vm, entry] : it->second.vms) {
    if (entry.stage == Stage::kClosing) Reopen(wave, vm);
  }
  waves_.erase(it);
}

void WaveBook::Reopen(const WaveId& wave, const VmId& vm) {
  const FleetVm* const it = FindVm(vm);
  if (it != nullptr && !it->worker.empty())
    reopens_.push_back({it->pool, it->worker, wave});
}

void WaveBook::SetVms(const std::vector<FleetVm>& vms,
                      const std::set<PoolId>& spare) {
  vms_.clear();
  for (const FleetVm& it : vms) vms_[it.vm] = it;
  spare_ = spare;
  for (auto& [id, wave] : waves_) Advance(wave);
}

void WaveBook::SetLeaving(const std::set<VmId>& leaving) {
  leaving_ = leaving;
  for (auto& [id, wave] : waves_) Advance(wave);
}

void WaveBook::OnEmptied(const WorkerId& worker) { emptied_.insert(worker); }

const FleetVm* WaveBook::FindVm(const VmId& vm) const {
  const auto it = vms_.find(vm);
  return it == vms_.end() ? nullptr : &it->second;
}

FleetVmState WaveBook::StateOf(const FleetVm& vm) const {
  const bool is_leaving =
      vm.state == FleetVmState::kUp && leaving_.contains(vm.vm);
  return is_leaving ? FleetVmState::kMoving : vm.state;
}

void WaveBook::Advance(Wave& wave) {
  for (auto& [id, entry] : wave.vms) {
    const FleetVm* const vm = FindVm(id);
    if (vm == nullptr) continue;
    const bool has_returned = StateOf(*vm) == FleetVmState::kUp &&
                              vm->worker != entry.worker && !vm->worker.empty();
    if (entry.stage == Stage::kDown && has_returned) entry.stage = Stage::kDone;
    // Its worker ended before it was emptied: begin again with the next one.
    if (entry.stage == Stage::kClosing && vm->worker != entry.worker)
      entry.stage = Stage::kPending;
  }
}

void WaveBook::OnMaintained(const WaveId& wave, const VmId& vm,
                            MaintainOutcome outcome, Instant now) {
  const auto found = waves_.find(wave);
  if (found == waves_.end()) return;
  const auto it = found->second.vms.find(vm);
  if (it == found->second.vms.end() || it->second.stage != Stage::kAsked)
    return;
  Entry& entry = it->second;
  entry.retry_at = now + options_.retry_after;
  switch (outcome) {
    case MaintainOutcome::kAccepted:
      entry.stage = Stage::kDown;
      if (entry.first_asked != entry.worker) {
        // An earlier call without an answer had taken effect.
        entry.stage = Stage::kDone;
        Reopen(wave, vm);
      }
      break;
    case MaintainOutcome::kRefused:
      entry.stage = Stage::kSkipped;
      break;
    case MaintainOutcome::kBusy:
    case MaintainOutcome::kUnknown:
      // A repeat is answered as done when the first call took effect. Until
      // then the VM counts as down.
      entry.stage = Stage::kClosing;
      break;
  }
}

bool WaveBook::CountsAsDown(const VmId& id, const Entry& entry) const {
  const FleetVm* const vm = FindVm(id);
  const bool is_listed_down =
      vm != nullptr && vm->state == FleetVmState::kInMaintenance;
  return is_listed_down || entry.stage == Stage::kAsked ||
         entry.stage == Stage::kDown ||
         (entry.stage == Stage::kClosing && entry.retry_at != Instant{});
}

bool WaveBook::IsTaken(const Entry& entry) {
  return entry.stage == Stage::kClosing || entry.stage == Stage::kAsked ||
         entry.stage == Stage::kDown;
}

bool WaveBook::IsBehind(const Wave& wave, Instant now) const {
  const Duration planned = std::chrono::duration_cast<Duration>(
      wave.wave.duration * options_.planned_part);
  const auto done = static_cast<double>(std::count_if(
      wave.vms.begin(), wave.vms.end(),
      [](const auto& it) { return it.second.stage != Stage::kPending; }));
  const Duration passed = now - wave.began.value_or(now);
  return done * static_cast<double>(planned.count()) <=
         static_cast<double>(wave.vms.size()) *
             static_cast<double>(passed.count());
}

WaveBook::Snapshot WaveBook::TakeSnapshot() const {
  Snapshot snapshot{.taken = taken(), .pools = {}};
  for (const auto& [id, vm] : vms_) {
    const FleetVmState state = StateOf(vm);
    PoolCount& pool = snapshot.pools[vm.pool];
    ++pool.size;
    pool.lost += state != FleetVmState::kUp || snapshot.taken.contains(id);
    pool.moving += state == FleetVmState::kMoving;
  }
  return snapshot;
}

bool WaveBook::MayLoseOne(const PoolCount& pool, bool is_behind) const {
  const std::size_t left_out = is_behind ? pool.moving : 0;
  const auto limit = static_cast<std::size_t>(
      static_cast<double>(pool.size - left_out) * options_.max_pool_share);
  return pool.lost - left_out < std::max<std::size_t>(1, limit);
}

void WaveBook::PlanCloses(Wave& wave, Instant now, Snapshot& snapshot,
                          FleetPlan& plan) {
  const bool is_behind = IsBehind(wave, now);
  // While some are down, the next are emptied.
  const std::uint32_t limit = 2 * wave.wave.max_down;
  std::uint32_t under_way = 0;
  for (const auto& [id, entry] : wave.vms) {
    under_way += IsTaken(entry);
  }
  for (auto& [id, entry] : wave.vms) {
    if (under_way >= limit) return;
    const FleetVm* const vm = FindVm(id);
    if (entry.stage != Stage::kPending || vm == nullptr ||
        StateOf(*vm) != FleetVmState::kUp || snapshot.taken.contains(id))
      continue;
    PoolCount& pool = snapshot.pools[vm->pool];
    if (!spare_.contains(vm->pool) && !MayLoseOne(pool, is_behind)) continue;
    ++pool.lost;
    snapshot.taken.insert(id);
    entry.stage = Stage::kClosing;
    entry.worker = vm->worker;
    entry.retry_at = Instant{};
    ++under_way;
    if (spare_.contains(vm->pool) || vm->worker.empty()) {
      emptied_.insert(vm->worker);
    } else {
      emptied_.erase(vm->worker);
      plan.closes.push_back({vm->pool, vm->worker, wave.wave.id});
    }
  }
}

void WaveBook::PlanMaintains(Wave& wave, Instant now, FleetPlan& plan) {
  auto down = static_cast<std::uint32_t>(std::count_if(
      wave.vms.begin(), wave.vms.end(),
      [&](const auto& it) { return CountsAsDown(it.first, it.second); }));
  for (auto& [id, entry] : wave.vms) {
    if (entry.stage != Stage::kClosing || !emptied_.contains(entry.worker) ||
        now < entry.retry_at)
      continue;
    const bool was_asked = entry.retry_at != Instant{};
    if (!was_asked && down >= wave.wave.max_down) continue;
    down += !CountsAsDown(id, entry);
    entry.stage = Stage::kAsked;
    if (entry.first_asked.empty()) entry.first_asked = entry.worker;
    plan.maintains.push_back({id, wave.wave.id});
  }
}

FleetPlan WaveBook::Plan(Instant now) {
  FleetPlan plan;
  plan.reopens = std::exchange(reopens_, {});
  if (vms_.empty()) return plan;
  if (!has_open_waves()) return plan;
  Snapshot snapshot = TakeSnapshot();
  for (auto& [id, wave] : waves_) {
    if (wave.is_complete) continue;
    if (!wave.began) wave.began = now;
    PlanCloses(wave, now, snapshot, plan);
    PlanMaintains(wave, now, plan);
    const bool is_complete =
        std::all_of(wave.vms.begin(), wave.vms.end(), [&](const auto& it) {
          return it.second.stage == Stage::kDone ||
                 it.second.stage == Stage::kDown ||
                 it.second.stage == Stage::kSkipped ||
                 FindVm(it.first) == nullptr;
        });
    if (!is_complete) continue;
    wave.is_complete = true;
    plan.completed.push_back(id);
  }
  return plan;
}

std::set<VmId> WaveBook::Done(const WaveId& wave) const {
  std::set<VmId> done;
  const auto it = waves_.find(wave);
  if (it == waves_.end()) return done;
  for (const auto& [vm, entry] : it->second.vms) {
    if (entry.stage == Stage::kDone || entry.stage == Stage::kDown)
      done.insert(vm);
  }
  return done;
}

std::set<VmId> WaveBook::taken() const {
  std::set<VmId> vms;
  for (const auto& [id, wave] : waves_) {
    for (const auto& [vm, entry] : wave.vms) {
      if (IsTaken(entry)) vms.insert(vm);
    }
  }
  return vms;
}

bool WaveBook::has_open_waves() const {
  return std::any_of(waves_.begin(), waves_.end(),
                     [](const auto& it) { return !it.second.is_complete; });
}

}  // namespace pomelomill
