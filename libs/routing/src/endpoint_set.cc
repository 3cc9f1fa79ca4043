#include "pomelomill/routing/endpoint_set.h"

#include <algorithm>
#include <utility>

#include "pomelomill/routing/slot_share.h"

namespace pomelomill {
namespace {

// An increased share applies only after every entry has had time to receive the
// region state that reduces another entry's share (bound of property P6).
constexpr Duration kShareGrowthDelay = std::chrono::seconds(3);
// Peer reports are sent every 500 ms and pass at most a few hops.
constexpr Duration kPeerReportLifetime = std::chrono::seconds(3);
// Delay before an endpoint that refused an attempt is probed for the reason.
constexpr Duration kProbeDelayAfterRefusal = std::chrono::milliseconds(20);

}  // namespace

EndpointSet::EndpointSet(EntryId entry, IncarnationId incarnation,
                         SlotPolicy policy, EjectionOptions ejection)
    : entry_(std::move(entry)),
      incarnation_(std::move(incarnation)),
      policy_(policy),
      ejection_(ejection) {}

std::uint32_t EndpointSet::AssignedShare(const VmId& vm,
                                         const VmState& state) const {
  const auto it = declared_.find(state.pool);
  if (it == declared_.end()) return 0;
  const std::uint32_t slots =
      policy_ == SlotPolicy::kShare
          ? ShareOf(shares_, entry_, incarnation_, vm, it->second.slots)
          : it->second.slots;
  const std::uint32_t connections =
      ShareOf(shares_, entry_, incarnation_, vm, it->second.connections);
  // One connection is reserved for probes.
  return std::min(slots, connections > 1 ? connections - 1 : connections);
}

void EndpointSet::UpdateShares(Instant now) {
  bool has_grown = false;
  for (auto& [vm, it] : endpoints_) {
    const std::uint32_t effective_share =
        now < share_growth_at_ ? std::min(it.share, it.previous_share)
                               : it.share;
    const std::uint32_t share = it.is_listed ? AssignedShare(vm, it.state) : 0;
    if (now >= share_growth_at_) it.previous_share = it.share;
    // A region state that does not change the share must not restart the delay:
    // during a maintenance wave a new state arrives every second or two.
    if (share == it.share) continue;
    it.share = share;
    it.previous_share = effective_share;
    has_grown = has_grown || share > effective_share;
  }
  if (has_grown) share_growth_at_ = now + kShareGrowthDelay;
}

void EndpointSet::SetRegionState(const RegionState& state, Version version,
                                 Instant now) {
  if (version < version_) return;
  const bool is_first = version_ == Version();
  version_ = version;
  shares_ = state.shares;
  for (auto& [vm, it] : endpoints_) it.is_listed = false;
  for (const auto& [vm, vm_state] : state.vms) {
    auto [it, is_new] = endpoints_.try_emplace(vm);
    Endpoint& endpoint = it->second;
    const bool has_restarted =
        !is_new && (endpoint.state.generation != vm_state.generation ||
                    endpoint.state.address != vm_state.address);
    if (has_restarted) {
      ResetHealth(vm, endpoint);
      endpoint.is_awaiting_probe = false;
      ScheduleProbe(vm, endpoint, std::nullopt);
    }
    endpoint.state = vm_state;
    endpoint.is_listed = true;
    if (endpoint.draining && vm_state.generation > *endpoint.draining) {
      endpoint.draining.reset();
    }
  }
  for (auto it = endpoints_.begin(); it != endpoints_.end();) {
    const bool is_gone = !it->second.is_listed && it->second.in_flight == 0;
    if (is_gone) ScheduleProbe(it->first, it->second, std::nullopt);
    it = is_gone ? endpoints_.erase(it) : std::next(it);
  }
  RebuildPools();
  UpdateShares(now);
  // The first region state needs no delay: a starting entry uses only the slots
  // that this state assigns to it, and membership decides when it may send.
  if (is_first) share_growth_at_ = now;
  for (const auto& [pool, vms] : pools_) EnforceMinAvailable(pool);
}

void EndpointSet::SetDeclarations(const Declarations& declarations,
                                  Instant now) {
  const bool is_first = declared_.empty();
  declared_ = declarations.pools;
  UpdateShares(now);
  if (is_first) share_growth_at_ = now;
}

void EndpointSet::RebuildPools() {
  pools_.clear();
  for (const auto& [vm, it] : endpoints_) {
    if (it.is_listed) pools_[it.state.pool].push_back(vm);
  }
}

bool EndpointSet::IsActive(const Endpoint& endpoint) const {
  return endpoint.is_listed && endpoint.state.phase == VmPhase::kActive &&
         !endpoint.draining;
}

bool EndpointSet::IsUsable(const Endpoint& endpoint) const {
  return IsActive(endpoint) && !endpoint.is_ejected;
}

bool EndpointSet::is_usable(const VmId& vm) const {
  const auto it = endpoints_.find(vm);
  return it != endpoints_.end() && IsUsable(it->second);
}

bool EndpointSet::is_ejected(const VmId& vm) const {
  const auto it = endpoints_.find(vm);
  return it != endpoints_.end() && it->second.is_ejected;
}

std::uint32_t EndpointSet::in_flight(const VmId& vm) const {
  const auto it = endpoints_.find(vm);
  return it == endpoints_.end() ? 0 : it->second.in_flight;
}

std::uint32_t EndpointSet::PeersInFlight(const VmId& vm, Instant now) const {
  std::uint32_t sum = 0;
  for (const auto& [entry, peer] : peers_) {
    if (now - peer.received_at > kPeerReportLifetime) continue;
    const auto it = peer.report.in_flight.find(vm);
    if (it != peer.report.in_flight.end()) sum += it->second;
  }
  return sum;
}

std::uint32_t EndpointSet::LimitOf(const VmId& vm, const Endpoint& endpoint,
                                   Instant now) const {
  std::uint32_t limit = endpoint.share;
  if (now < share_growth_at_) limit = std::min(limit, endpoint.previous_share);
  if (policy_ == SlotPolicy::kPeerReports) {
    return limit - std::min(limit, PeersInFlight(vm, now));
  }
  std::int64_t loans = 0;
  for (const auto& [id, loan] : endpoint.loans) {
    if (now < loan.until) loans += loan.slots;
  }
  const std::int64_t sum = static_cast<std::int64_t>(limit) + loans;
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, sum));
}

std::uint32_t EndpointSet::Limit(const VmId& vm, Instant now) const {
  const auto it = endpoints_.find(vm);
  return it == endpoints_.end() ? 0 : LimitOf(vm, it->second, now);
}

std::vector<Candidate> EndpointSet::Candidates(const PoolId& pool,
                                               Instant now) const {
  std::vector<Candidate> candidates;
  const auto found = pools_.find(pool);
  if (found == pools_.end()) return candidates;
  for (std::size_t i = 0; i < found->second.size(); ++i) {
    const VmId& vm = found->second[i];
    const Endpoint& it = endpoints_.at(vm);
    if (!IsUsable(it) || it.is_awaiting_probe) continue;
    if (it.in_flight >= LimitOf(vm, it, now)) continue;
    candidates.push_back({.index = i,
                          .in_flight = it.in_flight + PeersInFlight(vm, now),
                          .relative_latency = it.stats.decayed_latency(now)});
  }
  return candidates;
}

const VmId& EndpointSet::VmAt(const PoolId& pool, std::size_t index) const {
  return pools_.at(pool).at(index);
}

const std::string& EndpointSet::AddressOf(const VmId& vm) const {
  return endpoints_.at(vm).state.address;
}

const PoolId* EndpointSet::pool_of(const VmId& vm) const {
  const auto it = endpoints_.find(vm);
  return it == endpoints_.end() ? nullptr : &it->second.state.pool;
}

std::uint32_t EndpointSet::UsableSlots(const PoolId& pool, Instant now) const {
  std::uint32_t sum = 0;
  const auto found = pools_.find(pool);
  if (found == pools_.end()) return 0;
  for (const VmId& vm : found->second) {
    const Endpoint& it = endpoints_.at(vm);
    if (IsUsable(it)) sum += LimitOf(vm, it, now);
  }
  return sum;
}

PoolLoad EndpointSet::Load(const PoolId& pool, Instant now) const {
  PoolLoad load;
  const auto found = pools_.find(pool);
  if (found == pools_.end()) return load;
  for (const VmId& vm : found->second) {
    const Endpoint& it = endpoints_.at(vm);
    load.in_flight += it.in_flight;
    if (!IsUsable(it)) continue;
    const std::uint32_t limit = LimitOf(vm, it, now);
    load.free_slots += limit - std::min(limit, it.in_flight);
  }
  return load;
}

std::vector<PoolId> EndpointSet::pools() const {
  std::vector<PoolId> ids;
  for (const auto& [pool, vms] : pools_) ids.push_back(pool);
  return ids;
}

void EndpointSet::OnSent(const VmId& vm) { ++endpoints_.at(vm).in_flight; }

void EndpointSet::OnFinished(const VmId& vm, AttemptResult result,
                             double relative_latency, Instant now) {
  const auto found = endpoints_.find(vm);
  if (found == endpoints_.end()) return;
  Endpoint& it = found->second;
  if (it.in_flight > 0) --it.in_flight;
  if (!it.is_listed) {
    if (it.in_flight == 0) {
      ScheduleProbe(vm, it, std::nullopt);
      endpoints_.erase(found);
    }
    return;
  }
  if (result == AttemptResult::kRefused) {
    // The endpoint is full or draining; a probe finds out which. Until then it
    // receives no new attempts, so that fast refusals do not attract load.
    if (!it.is_awaiting_probe && !it.is_ejected) {
      it.is_awaiting_probe = true;
      ScheduleProbe(vm, it, now + kProbeDelayAfterRefusal);
    }
    return;
  }
  const bool is_failure = result != AttemptResult::kAnswered;
  it.stats.Record(is_failure, relative_latency, now);
  EjectIfOutlier(vm, it, now);
}

double EndpointSet::MedianLatency(const PoolId& pool) const {
  std::vector<double> values;
  for (const VmId& vm : pools_.at(pool)) {
    const Endpoint& it = endpoints_.at(vm);
    if (IsActive(it)) values.push_back(it.stats.relative_latency());
  }
  return Median(std::move(values));
}

std::size_t EndpointSet::ActiveCount(const PoolId& pool) const {
  const auto& vms = pools_.at(pool);
  return static_cast<std::size_t>(std::count_if(
      vms.begin(), vms.end(),
      [this](const VmId& vm) { return IsActive(endpoints_.at(vm)); }));
}

std::size_t EndpointSet::EjectedCount(const PoolId& pool) const {
  const auto& vms = pools_.at(pool);
  return static_cast<std::size_t>(
      std::count_if(vms.begin(), vms.end(), [this](const VmId& vm) {
        const Endpoint& it = endpoints_.at(vm);
        return IsActive(it) && it.is_ejected;
      }));
}

void EndpointSet::EjectIfOutlier(const VmId& vm, Endpoint& endpoint,
                                 Instant now) {
  if (endpoint.is_ejected || !IsActive(endpoint)) return;
  const PoolId& pool = endpoint.state.pool;
  if (DetectOutlier(endpoint.stats, MedianLatency(pool), ejection_) ==
      EjectionReason::kNone) {
    return;
  }
  if (EjectedCount(pool) >= MaxEjected(ActiveCount(pool), ejection_)) return;
  endpoint.is_ejected = true;
  endpoint.is_awaiting_probe = false;
  endpoint.successful_probes = 0;
  // The interval doubles with each ejection, so that an endpoint that passes
  // its probes but fails its requests returns less and less often.
  endpoint.probe_interval =
      endpoint.probe_interval == Duration(0)
          ? ejection_.first_probe_interval
          : std::min(ejection_.max_probe_interval, 2 * endpoint.probe_interval);
  ScheduleProbe(vm, endpoint, now + endpoint.probe_interval);
}

void EndpointSet::ResetHealth(const VmId& vm, Endpoint& endpoint) {
  if (endpoint.is_ejected) ScheduleProbe(vm, endpoint, std::nullopt);
  endpoint.is_ejected = false;
  endpoint.successful_probes = 0;
  endpoint.stats = EndpointStats();
}

void EndpointSet::EnforceMinAvailable(const PoolId& pool) {
  const auto found = pools_.find(pool);
  if (found == pools_.end()) return;
  const std::size_t allowed = MaxEjected(ActiveCount(pool), ejection_);
  std::size_t ejected = EjectedCount(pool);
  // The endpoint with the lowest latency returns first.
  while (ejected > allowed) {
    Endpoint* best = nullptr;
    const VmId* best_vm = nullptr;
    for (const VmId& vm : found->second) {
      Endpoint& it = endpoints_.at(vm);
      if (!it.is_ejected || !IsActive(it)) continue;
      if (best == nullptr ||
          it.stats.relative_latency() < best->stats.relative_latency()) {
        best = &it;
        best_vm = &vm;
      }
    }
    if (best == nullptr) return;
    ResetHealth(*best_vm, *best);
    --ejected;
  }
}

void EndpointSet::ScheduleProbe(const VmId& vm, Endpoint& endpoint,
                                std::optional<Instant> at) {
  if (endpoint.probe_at) probes_.erase({*endpoint.probe_at, vm});
  endpoint.probe_at = at;
  if (at) probes_.emplace(*at, vm);
}

std::vector<VmId> EndpointSet::TakeDueProbes(Instant now) {
  std::vector<VmId> due;
  while (!probes_.empty() && probes_.begin()->first <= now) {
    const VmId vm = probes_.begin()->second;
    Endpoint& it = endpoints_.at(vm);
    // Repeats the probe if no result arrives.
    ScheduleProbe(vm, it, now + ejection_.max_probe_interval);
    due.push_back(vm);
  }
  return due;
}

void EndpointSet::OnProbe(const ProbeFinished& probe, Instant now) {
  const auto found = endpoints_.find(probe.vm);
  if (found == endpoints_.end()) return;
  Endpoint& it = found->second;
  if (probe.is_healthy && probe.is_draining) {
    OnLeaving(probe.vm, probe.generation);
  } else if (probe.is_healthy && it.draining &&
             probe.generation > *it.draining) {
    it.draining.reset();
  }
  if (it.is_ejected) {
    it.successful_probes = probe.is_healthy ? it.successful_probes + 1 : 0;
    if (it.successful_probes >= ejection_.successful_probes_to_return) {
      ResetHealth(probe.vm, it);
    } else {
      if (!probe.is_healthy) {
        it.probe_interval =
            std::min(ejection_.max_probe_interval, 2 * it.probe_interval);
      }
      ScheduleProbe(probe.vm, it, now + it.probe_interval);
    }
    return;
  }
  if (!it.is_awaiting_probe) return;
  it.is_awaiting_probe = false;
  ScheduleProbe(probe.vm, it, std::nullopt);
  if (!probe.is_healthy) {
    it.stats.Record(true, EndpointStats::kMinFailureLatency, now);
    EjectIfOutlier(probe.vm, it, now);
  }
}

void EndpointSet::OnLeaving(const VmId& vm, Generation generation) {
  const auto found = endpoints_.find(vm);
  if (found == endpoints_.end()) return;
  Endpoint& it = found->second;
  if (it.state.generation > generation) return;
  if (!it.draining || generation > *it.draining) it.draining = generation;
  EnforceMinAvailable(it.state.pool);
}

void EndpointSet::OnPeerReport(const LoadReport& report, Instant now) {
  if (report.entry == entry_) return;
  for (const auto& [vm, generation] : report.draining) {
    OnLeaving(vm, generation);
  }
  peers_[report.entry] = Peer{.report = report, .received_at = now};
  std::erase_if(peers_, [now](const auto& item) {
    return now - item.second.received_at > kPeerReportLifetime;
  });
}

void EndpointSet::OnLoan(const SlotLoanChanged& loan) {
  const auto found = endpoints_.find(loan.vm);
  if (found == endpoints_.end()) return;
  if (loan.slots == 0) {
    found->second.loans.erase(loan.loan);
  } else {
    found->second.loans[loan.loan] = {.slots = loan.slots, .until = loan.until};
  }
}

Instant EndpointSet::next_due(Instant now) const {
  Instant next = probes_.empty() ? Instant::max() : probes_.begin()->first;
  if (share_growth_at_ > now) next = std::min(next, share_growth_at_);
  return next;
}

void EndpointSet::FillReport(LoadReport& report, Instant now) const {
  report.entry = entry_;
  report.state_version = version_;
  for (const auto& [pool, vms] : pools_) report.pools[pool] = Load(pool, now);
  for (const auto& [vm, it] : endpoints_) {
    if (it.in_flight > 0 || it.state.phase != VmPhase::kActive) {
      report.in_flight[vm] = it.in_flight;
    }
    if (it.is_ejected) report.ejected.insert(vm);
    if (it.draining) report.draining[vm] = *it.draining;
  }
}

}  // namespace pomelomill
