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

/// How the slots of one endpoint are limited for one entry.
enum class SlotPolicy {
  /// By the entry's share of the weights, plus or minus loans.
  kShare,
  /// By what the peers' reports leave free of all slots.
  kPeerReports,
};

/// The endpoints of one region as one entry sees them: which may receive
/// work, how many slots of each the entry may use and has in use, and which
/// are ejected or probed.
class EndpointSet {
 public:
  EndpointSet(EntryId entry, IncarnationId incarnation, SlotPolicy policy,
              EjectionOptions ejection);

  /// Takes over a region state that is newer than the current one. Records of
  /// VMs with attempts in flight stay until the last one has ended.
  void SetRegionState(const RegionState& state, Version version, Instant now);
  void SetDeclarations(const Declarations& declarations, Instant now);

  /// Endpoints of the pool with a free slot for a new attempt.
  std::vector<Candidate> Candidates(const PoolId& pool, Instant now) const;
  /// The endpoint that `Candidate::index` stands for.
  const VmId& VmAt(const PoolId& pool, std::size_t index) const;
  const std::string& AddressOf(const VmId& vm) const;
  /// Null when the VM is not known.
  const PoolId* pool_of(const VmId& vm) const;

  /// Slots that the entry may use on endpoints that may receive work.
  std::uint32_t UsableSlots(const PoolId& pool, Instant now) const;
  PoolLoad Load(const PoolId& pool, Instant now) const;
  /// Pools that have any VM.
  std::vector<PoolId> pools() const;

  void OnSent(const VmId& vm);
  /// Ends one attempt. `relative_latency` as in EndpointStats.
  void OnFinished(const VmId& vm, AttemptResult result, double relative_latency,
                  Instant now);
  void OnProbe(const ProbeFinished& probe, Instant now);
  void OnLeaving(const VmId& vm, Generation generation);
  void OnPeerReport(const LoadReport& report, Instant now);
  void OnLoan(const SlotLoanChanged& loan);

  /// Endpoints whose probe is due; each is returned once for each time it
  /// falls due.
  std::vector<VmId> TakeDueProbes(Instant now);
  /// Moment of the next probe or change of a limit; Instant::max() if none.
  Instant next_due(Instant now) const;

  std::uint32_t in_flight(const VmId& vm) const;
  /// Slots that the entry may use of one endpoint.
  std::uint32_t Limit(const VmId& vm, Instant now) const;
  bool is_ejected(const VmId& vm) const;
  /// True when new work may go to the VM, slots aside.
  bool is_usable(const VmId& vm) const;
  Version version() const { return version_; }
  void FillReport(LoadReport& report, Instant now) const;

 private:
  struct Loan {
    std::int32_t slots = 0;
    Instant until{};
  };

  struct Endpoint {
    VmState state;
    bool is_listed = true;
    EndpointStats stats;
    std::uint32_t in_flight = 0;
    std::uint32_t share = 0;
    /// Limit of the table before; the smaller of both counts until
    /// `growth_at_`.
    std::uint32_t previous_share = 0;
    /// The start of the VM that refused as draining or was reported leaving.
    std::optional<Generation> draining;
    bool is_ejected = false;
    /// Refused; no new work until a probe has told why.
    bool is_awaiting_probe = false;
    std::uint32_t successful_probes = 0;
    Duration probe_interval{};
    std::optional<Instant> probe_at;
    std::map<std::uint64_t, Loan> loans;
  };

  struct Peer {
    LoadReport report;
    Instant received_at{};
  };

  bool IsActive(const Endpoint& endpoint) const;
  bool IsUsable(const Endpoint& endpoint) const;
  std::uint32_t LimitOf(const VmId& vm, const Endpoint& endpoint,
                        Instant now) const;
  std::uint32_t PeersInFlight(const VmId& vm, Instant now) const;
  std::uint32_t AssignedShare(const VmId& vm, const VmState& state) const;
  double MedianLatency(const PoolId& pool) const;
  std::size_t ActiveCount(const PoolId& pool) const;
  std::size_t EjectedCount(const PoolId& pool) const;
  void UpdateShares(Instant now);
  void EjectIfOutlier(const VmId& vm, Endpoint& endpoint, Instant now);
  void EnforceMinAvailable(const PoolId& pool);
  void ResetHealth(const VmId& vm, Endpoint& endpoint);
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
  std::set<std::pair<Instant, VmId>> probes_;
  Instant share_growth_at_{};
};

}  // namespace pomelomill
