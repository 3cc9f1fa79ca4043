#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cluster_view.h"
#include "pomelomill/base/event_log.h"
#include "pomelomill/base/timer_service.h"
#include "pomelomill/config/job_service_settings.h"
#include "store_records.h"

namespace pomelomill {

/// An ownership of a pool and what it knew of the ones before it.
struct PoolOwnership {
  OwnerRecord owner;
  /// RosterRecord::owner_count of that ownership.
  std::uint32_t owner_count = 0;
  /// No owner before that one extends a lease after this time.
  Instant extended_until{};
};

/// Bounds the leases that earlier owners of a pool may have given its workers.
///
/// An owner extends leases for its LeaseTerms::order_grace after the time until
/// which it certainly held its entry's lease. The store removed its owner key,
/// and let this owner acquire the pool, only after that time. So no earlier
/// owner extends a lease later than the order grace after that removal, and
/// none that is known to have stopped does so at all.
class InheritedLeases {
 public:
  /// `has_stopped` tells whether a process that owned the pool certainly sends
  /// no more orders under that ownership.
  /// To be created once the pool is acquired.
  InheritedLeases(const JobServiceSettings& settings,
                  const TimerService& timers,
                  std::function<bool(const OwnerRecord&)> has_stopped);

  /// Takes over what the previous owner left. If that was this process, as
  /// `former` tells, its predecessors are bounded by what it knew of them. If
  /// this process has seen its ownership end, `vacancy` tells when.
  void SetPrevious(const RosterRecord& previous,
                   const std::optional<PoolOwnership>& former = {},
                   const std::optional<ClusterView::Vacancy>& vacancy = {});
  /// Asks has_stopped() again. Returns whether the bound has become tighter.
  bool Update();

  /// For the log: the previous owner, what the bound follows from, and
  /// Remaining(). The bound follows from the acquisition of the pool
  /// ("acquired"), from the end of the previous ownership ("vacated"), from a
  /// former ownership of this process ("own"), or from the previous owner,
  /// which has released the pool ("released") or "stopped".
  std::vector<EventField> Fields() const;
  /// Terms by which the next owner bounds the leases of this one and of those
  /// before it.
  LeaseTerms TermsToStore() const;
  /// No earlier owner extends a lease after this time.
  Instant extended_until() const { return extended_until_; }
  /// Time until all leases that earlier owners gave have certainly lapsed;
  /// negative when they have.
  Duration Remaining() const;
  /// As Remaining(), for the leases that this owner has given until now as
  /// well.
  Duration RemainingWithOwn() const;

 private:
  const TimerService& timers_;
  const LeaseTerms own_terms_;
  const std::function<bool(const OwnerRecord&)> has_stopped_;
  const Instant acquired_at_;
  /// Of the earlier owners.
  LeaseTerms terms_;
  Instant extended_until_;
  /// Entry of the previous owner; empty if unknown.
  std::string previous_entry_;
  const char* basis_ = "acquired";
  /// The previous owner, while it may extend leases and no other does.
  std::optional<OwnerRecord> awaited_;
};

}  // namespace pomelomill
