#include "assignment.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace pomelomill {
namespace {

std::uint32_t Deficit(std::uint32_t wanted, std::uint32_t present) {
  return wanted > present ? wanted - present : 0;
}

std::uint32_t CountOf(const std::vector<DomainCount>& counts, int domain) {
  for (const DomainCount& it : counts) {
    if (it.domain == domain) return it.count;
  }
  return 0;
}

void AdjustCount(std::vector<DomainCount>& counts, int domain, int delta) {
  for (DomainCount& it : counts) {
    if (it.domain != domain) continue;
    it.count += delta;
    return;
  }
  counts.push_back({domain, static_cast<std::uint32_t>(delta)});
}

/// The largest count if that of `domain` were changed by `delta`.
std::uint32_t LargestCount(const std::vector<DomainCount>& counts, int domain,
                           int delta) {
  std::uint32_t largest = delta > 0 ? 1 : 0;
  for (const DomainCount& it : counts) {
    const std::uint32_t n = it.domain == domain ? it.count + delta : it.count;
    largest = std::max(largest, n);
  }
  return largest;
}

/// Assigns indices from 0 to ids in the order of their first use.
template <typename Id>
class Indexer {
 public:
  int operator()(const Id& id) {
    return index_.try_emplace(id, static_cast<int>(index_.size()))
        .first->second;
  }
  std::uint32_t size() const {
    return static_cast<std::uint32_t>(index_.size());
  }

 private:
  std::unordered_map<Id, int> index_;
};

}  // namespace

Assignment::Assignment(const PlannerInput& input, const PlannerOptions& options)
    : Assignment(input, input.demand, options) {}

Assignment::Assignment(const PlannerInput& input,
                       const std::map<QueueId, QueueDemand>& measured,
                       const PlannerOptions& options) {
  NeedOptions donor = options.need;
  donor.demand_scale *= options.donor_demand_scale;
  for (const auto& [id, queues] :
       CollectQueues(*input.declarations, input.state->region, input.demand)) {
    AssignedPool pool;
    pool.declaration = &input.declarations->pools.at(id);
    pool.need = ComputePoolNeed(*pool.declaration, queues, options.need);
    pool.donor_need = ComputePoolNeed(*pool.declaration, queues, donor);
    pools_.push_back(std::move(pool));
  }
  ReadVms(input);
  ReadWaves(input, measured, options.need);
}

void Assignment::ReadVms(const PlannerInput& input) {
  std::unordered_map<PoolId, int> index;
  for (std::size_t i = 0; i < pools_.size(); ++i)
    index[pools_[i].declaration->id] = static_cast<int>(i);
  std::unordered_map<VmId, const Intent*> open_intents;
  for (const auto& [id, intent] : input.state->intents) {
    if (intent.step != IntentStep::kDone) open_intents[intent.vm] = &intent;
  }
  Indexer<RackId> racks;
  Indexer<ZoneId> zones;
  for (const auto& [id, state] : input.state->vms) {
    AssignedVm vm;
    vm.id = id;
    vm.rack = racks(state.rack);
    vm.zone = zones(state.zone);
    const auto intent = open_intents.find(id);
    const bool has_intent = intent != open_intents.end();
    const bool is_moving =
        has_intent && intent->second->kind == IntentKind::kMove;
    const bool is_stopping =
        has_intent && intent->second->kind == IntentKind::kStop;
    if (is_moving) ++open_moves_;
    const auto pool =
        index.find(is_moving ? intent->second->target_pool : state.pool);
    if (pool == index.end()) continue;
    vm.pool = pool->second;
    const bool is_lost =
        input.lost.contains(id) || state.phase == VmPhase::kLost;
    vm.is_stopped = state.phase == VmPhase::kStopped && !has_intent && !is_lost;
    vm.is_in_service = !is_lost && !vm.is_stopped && !is_stopping;
    vm.is_movable = !is_lost && !has_intent &&
                    !input.in_maintenance.contains(id) &&
                    (state.phase == VmPhase::kActive || vm.is_stopped);
    if (is_lost) ++pools_[vm.pool].lost;
    if (vm.is_in_service) AdjustCounts(vm, 1);
    vms_.push_back(std::move(vm));
  }
  rack_count_ = racks.size();
  zone_count_ = zones.size();
}

void Assignment::ReadWaves(const PlannerInput& input,
                           const std::map<QueueId, QueueDemand>& measured,
                           const NeedOptions& options) {
  // A reserve of one VM per pool is enough for a wave to proceed. A wave takes
  // several VMs at once only from pools with spare VMs, which must not raise
  // the target size.
  std::unordered_map<VmId, int> pool_of;
  for (const AssignedVm& it : vms_) pool_of[it.id] = it.pool;
  for (const auto& [id, wave] : input.state->waves) {
    if (wave.phase != WavePhase::kRunning && wave.phase != WavePhase::kWaiting)
      continue;
    for (const VmId& it : wave.pending) {
      const auto found = pool_of.find(it);
      if (found == pool_of.end()) continue;
      AssignedPool& pool = pools_[found->second];
      pool.wave_reserve = 1;
      pool.is_in_running_wave |= wave.phase == WavePhase::kRunning;
    }
  }
  const bool is_any =
      std::any_of(pools_.begin(), pools_.end(),
                  [](const AssignedPool& it) { return it.is_in_running_wave; });
  if (!is_any) return;
  const auto queues =
      CollectQueues(*input.declarations, input.state->region, measured);
  for (AssignedPool& pool : pools_) {
    if (!pool.is_in_running_wave) continue;
    const PoolNeed need = ComputePoolNeed(
        *pool.declaration, queues.at(pool.declaration->id), options);
    pool.need.base = std::max(pool.need.base, need.base);
    pool.need.single_peak = std::max(pool.need.single_peak, need.single_peak);
  }
}

void Assignment::AdjustCounts(const AssignedVm& vm, int delta) {
  AssignedPool& pool = pools_[vm.pool];
  pool.in_service += delta;
  AdjustCount(pool.racks, vm.rack, delta);
  AdjustCount(pool.zones, vm.zone, delta);
}

void Assignment::Move(int vm, int pool) {
  AssignedVm& it = vms_[vm];
  if (it.is_in_service) AdjustCounts(it, -1);
  it.pool = pool;
  it.is_in_service = true;
  it.is_stopped = false;
  AdjustCounts(it, 1);
}

void Assignment::Restore(int vm, const AssignedVm& before) {
  if (vms_[vm].is_in_service) AdjustCounts(vms_[vm], -1);
  vms_[vm] = before;
  if (before.is_in_service) AdjustCounts(before, 1);
}

void Assignment::Start(int vm) { Move(vm, vms_[vm].pool); }

void Assignment::Stop(int vm) {
  AssignedVm& it = vms_[vm];
  AdjustCounts(it, -1);
  it.is_in_service = false;
  it.is_stopped = true;
}

Shortage Assignment::Evaluate(const AssignedPool& pool, const PoolNeed& need,
                              std::uint32_t count, std::uint32_t rack,
                              std::uint32_t zone) const {
  Shortage shortage;
  shortage.base =
      Deficit(std::max(need.base, pool.declaration->min_size), count);
  const auto include = [&](std::uint32_t wanted) {
    const std::uint32_t missing = Deficit(wanted, count);
    shortage.worst_event = std::max(shortage.worst_event, missing);
    shortage.event_total += missing;
  };
  include(std::max(need.base, pool.declaration->min_size));
  include(need.peak);
  include(need.single_peak + pool.wave_reserve);
  include(need.base + rack + pool.wave_reserve);
  if (zone_count_ > 1) include(need.stable + zone);
  return shortage;
}

Shortage Assignment::ShortageOf(int pool, const PoolNeed& need) const {
  const AssignedPool& it = pools_[pool];
  return Evaluate(it, need, it.in_service, LargestCount(it.racks, -1, 0),
                  LargestCount(it.zones, -1, 0));
}

Shortage Assignment::ShortageWith(int pool, const PoolNeed& need, int vm,
                                  int delta) const {
  const AssignedPool& it = pools_[pool];
  return Evaluate(it, need, it.in_service + delta,
                  LargestCount(it.racks, vms_[vm].rack, delta),
                  LargestCount(it.zones, vms_[vm].zone, delta));
}

std::uint32_t Assignment::CountInRack(int pool, int rack) const {
  return CountOf(pools_[pool].racks, rack);
}

std::uint32_t Assignment::CountInZone(int pool, int zone) const {
  return CountOf(pools_[pool].zones, zone);
}

std::uint32_t Assignment::Uncovered(const AssignedPool& pool,
                                    const PoolNeed& need, std::uint32_t count,
                                    std::uint32_t rack,
                                    std::uint32_t zone) const {
  // A pool that cannot lose its largest rack or zone covers none of its queues.
  const bool survives = count >= need.base + rack + pool.wave_reserve &&
                        count >= need.single_peak + pool.wave_reserve &&
                        count >= pool.declaration->min_size &&
                        (zone_count_ <= 1 || count >= need.stable + zone);
  if (!survives) return static_cast<std::uint32_t>(need.queues.size());
  std::uint32_t uncovered = 0;
  for (const QueueNeed& queue : need.queues) {
    if (count < queue.peak) ++uncovered;
  }
  return uncovered;
}

std::uint32_t Assignment::UncoveredQueues(int pool,
                                          const PoolNeed& need) const {
  const AssignedPool& it = pools_[pool];
  return Uncovered(it, need, it.in_service, LargestCount(it.racks, -1, 0),
                   LargestCount(it.zones, -1, 0));
}

std::uint32_t Assignment::UncoveredWith(int pool, const PoolNeed& need, int vm,
                                        int delta) const {
  const AssignedPool& it = pools_[pool];
  return Uncovered(it, need, it.in_service + delta,
                   LargestCount(it.racks, vms_[vm].rack, delta),
                   LargestCount(it.zones, vms_[vm].zone, delta));
}

std::uint32_t Assignment::TargetSize(int pool, const PoolNeed& need) const {
  const AssignedPool& it = pools_[pool];
  const std::uint32_t racks = std::max(1U, rack_count_);
  const std::uint32_t zones = std::max(1U, zone_count_);
  std::uint32_t size = std::max(need.peak, it.declaration->min_size);
  for (;;) {
    const std::uint32_t rack = (size + racks - 1) / racks;
    const std::uint32_t zone = (size + zones - 1) / zones;
    const std::uint32_t lack = Evaluate(it, need, size, rack, zone).worst_event;
    if (lack == 0) return size;
    // No size covers the loss of the only rack.
    if (racks == 1 || size > need.peak + 2 * (need.base + it.wave_reserve + 2))
      return size;
    size += 1;
  }
}

AssignmentCost Assignment::Cost() const {
  AssignmentCost cost;
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    const int pool = static_cast<int>(i);
    cost.base_shortage += ShortageOf(pool, pools_[i].need).base;
    cost.uncovered_queues += UncoveredQueues(pool, pools_[i].need);
  }
  return cost;
}

}  // namespace pomelomill
