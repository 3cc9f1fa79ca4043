#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pomelomill/routing/ejection.h"
#include "pomelomill/routing/endpoint_choice.h"
#include "pomelomill/routing/endpoint_stats.h"
#include "pomelomill/routing/events.h"

namespace pomelomill {

/// How many slots of an endpoint one entry may use.
enum class SlotPolicy {
  /// The entry's weighted share of the slots, plus borrowed and minus lent
  /// slots.
  kShare,
  /// All slots that the peers have not reported as in use.
  kPeerReports,
};

/// The endpoints of one region from the view of one entry: which of them may
/// receive requests, how many slots of each the entry may use and is using, and
/// which endpoints are ejected or due for a probe.
class EndpointSet {
 public:
  EndpointSet(EntryId entry, IncarnationId incarnation, SlotPolicy policy,
              EjectionOptions ejection);

  /// Applies a region state; an older version than the current one is ignored.
  /// A VM that is no longer listed is kept until its last attempt has ended.
  void SetRegionState(const RegionState& state, Version version, Instant now);
  void SetDeclarations(const Declarations& declarations, Instant now);

  /// Returns the endpoints of the pool that may receive an attempt now and
  /// have a free slot.
  std::vector<Candidate> Candidates(const PoolId& pool, Instant now) const;
  /// Returns the VM at a `Candidate::index` of this pool.
  const VmId& VmAt(const PoolId& pool, std::size_t index) const;
  const std::string& AddressOf(const VmId& vm) const;
  /// Returns the pool of the VM; null when the VM is not known.
  const PoolId* pool_of(const VmId& vm) const;

  /// Returns the number of slots, free or not, that the entry may use on the
  /// usable endpoints of the pool.
  std::uint32_t UsableSlots(const PoolId& pool, Instant now) const;
  PoolLoad Load(const PoolId& pool, Instant now) const;
  /// Returns the pools that have at least one VM.
  std::vector<PoolId> pools() const;

  void OnSent(const VmId& vm);
  /// Releases the slot of a finished attempt and records its result.
  /// `relative_latency` is defined at EndpointStats::Record().
  void OnFinished(const VmId& vm, AttemptResult result, double relative_latency,
                  Instant now);
  void OnProbe(const ProbeFinished& probe, Instant now);
  void OnLeaving(const VmId& vm, Generation generation);
  void OnPeerReport(const LoadReport& report, Instant now);
  void OnLoan(const SlotLoanChanged& loan);

  /// Returns the endpoints to probe now and schedules their next probe, which
  /// becomes due if no result arrives.
  std::vector<VmId> TakeDueProbes(Instant now);
  /// Returns the time of the next probe or delayed share increase;
  /// Instant::max() if there is none.
  Instant next_due(Instant now) const;

  std::uint32_t in_flight(const VmId& vm) const;
  /// Returns the number of slots of the VM that the entry may use.
  std::uint32_t Limit(const VmId& vm, Instant now) const;
  bool is_ejected(const VmId& vm) const;
  /// Returns whether the VM is active, not draining and not ejected. Free slots
  /// are not considered.
  bool is_usable(const VmId& vm) const;
  /// Returns the version of the applied region state.
  Version version() const { return version_; }
  /// Fills in all fields but the queued requests.
  void FillReport(LoadReport& report, Instant now) const;

 private:
  struct Loan {
    std::int32_t slots = 0;
    Instant until{};
  };

  struct Endpoint {
    VmState state;
    /// Part of the current region state.
    bool is_listed = true;
    EndpointStats stats;
    std::uint32_t in_flight = 0;
    /// Slots assigned to this entry.
    std::uint32_t share = 0;
    /// Share before the latest change. The smaller of both shares applies
    /// until `share_growth_at_`.
    std::uint32_t previous_share = 0;
    /// Generation of the VM that is draining or leaving.
    std::optional<Generation> draining;
    bool is_ejected = false;
    /// Refused an attempt; receives no new attempts before the next probe
    /// result.
    bool is_awaiting_probe = false;
    /// Successful probes in a row since the ejection.
    std::uint32_t successful_probes = 0;
    Duration probe_interval{};
    std::optional<Instant> probe_at;
    std::map<std::uint64_t, Loan> loans;
  };

  struct Peer {
    LoadReport report;
    Instant received_at{};
  };

  /// Listed, in the active phase and not draining.
  bool IsActive(const Endpoint& endpoint) const;
  /// Active and not ejected.
  bool IsUsable(const Endpoint& endpoint) const;
  std::uint32_t LimitOf(const VmId& vm, const Endpoint& endpoint,
                        Instant now) const;
  std::uint32_t PeersInFlight(const VmId& vm, Instant now) const;
  std::uint32_t AssignedShare(const VmId& vm, const VmState& state) const;
  double MedianLatency(const PoolId& pool) const;
  std::size_t ActiveCount(const PoolId& pool) const;
  std::size_t EjectedCount(const PoolId& pool) const;
  /// Recomputes the shares; increases take effect after a delay.
  void UpdateShares(Instant now);
  void EjectIfOutlier(const VmId& vm, Endpoint& endpoint, Instant now);
  /// Ends ejections while more endpoints are ejected than the pool allows.
  void EnforceMinAvailable(const PoolId& pool);
  /// Ends an ejection and clears the statistics.
  void ResetHealth(const VmId& vm, Endpoint& endpoint);
  /// Replaces the scheduled probe of the endpoint; std::nullopt cancels it.
  void ScheduleProbe(const VmId& vm, Endpoint& endpoint,
                     std::optional<Instant> at);
  void RebuildPools();

  EntryId entry_;
  IncarnationId incarnation_;
  SlotPolicy policy_;
  EjectionOptions ejection_;
  Version version_;
  std::vector<EntryShare> shares_;
  std::map<PoolId, PoolDeclaration> declared_;
  std::map<VmId, Endpoint> endpoints_;
  std::map<PoolId, std::vector<VmId>> pools_;
  std::map<EntryId, Peer> peers_;
  /// Scheduled probes by due time.
  std::set<std::pair<Instant, VmId>> probes_;
  /// From this time on, increased shares apply.
  Instant share_growth_at_{};
};

}  // namespace pomelomill
