#pragma once

#include <string>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/time.h"
#include "pomelomill/membership/member_table.h"
#include "pomelomill/membership/registrations.h"
#include "pomelomill/platform/region_state.h"

namespace pomelomill {

/// Why an entry has not confirmed yet.
enum class MissingReason {
  /// Reachable, but it acts on an older region state.
  kBehind,
  /// It still has requests in flight.
  kInFlight,
  /// Unreachable, and its lease in the store may still be valid.
  kLeaseMayBeValid,
  /// Unreachable without a lease, and too few members report no contact.
  kTooFewReports,
};

struct MissingEntry {
  EntryId entry;
  IncarnationId incarnation;
  MissingReason reason = MissingReason::kBehind;
  /// For kInFlight.
  std::uint32_t in_flight = 0;

  bool operator==(const MissingEntry&) const = default;
};

/// Short text for logs and explanations.
std::string ToString(MissingReason reason);

/// What the holder of the control lease may conclude about other entries. All
/// questions name a region state version N: an entry that is certain to have
/// fenced itself at N sends nothing until it acts on version N or later.
///
/// The conclusion holds because an entry without a valid lease needs contact
/// with half of the other members, and more than half of them, while they
/// already knew version N, reported none for the contact window; these two
/// sets share a member (see SendPermit).
class FencingView {
 public:
  /// `self_version` is the version of the region state that this entry acts
  /// on; `shares` are those of the region state in the store.
  FencingView(const MemberTable& table, const Registrations& registrations,
              const std::vector<EntryShare>& shares, Version self_version);

  /// True when the entry is certain to have fenced itself at `version`.
  bool IsFenced(const IncarnationId& incarnation, Version version,
                Instant now) const;

  /// Entries that may still have work on the VM or send some to it: all
  /// owners of shares that have neither confirmed zero in flight at `version`
  /// or later nor fenced themselves. Empty when the VM may be stopped. This
  /// entry's own count is passed as `self_in_flight`.
  std::vector<MissingEntry> MissingForVm(const VmId& vm, Version version,
                                         std::uint32_t self_in_flight,
                                         Instant now) const;

  /// Entries whose use may not yet fit the shares of `version`.
  std::vector<MissingEntry> MissingForShares(Version version,
                                             Version self_shares_version,
                                             Instant now) const;

  /// True when a leaving owner of a share no longer uses it and never will:
  /// it acts on `version` or later with nothing in flight, or is fenced.
  bool HasReleased(const IncarnationId& incarnation, Version version,
                   Instant now) const;

  const MemberTable& table() const { return table_; }
  const Registrations& registrations() const { return registrations_; }

 private:
  MissingReason WhyNotFenced(const IncarnationId& incarnation) const;
  bool HasNoContactReport(const IncarnationId& reporter, IncarnationKey about,
                          Version version, Instant now) const;

  const MemberTable& table_;
  const Registrations& registrations_;
  const std::vector<EntryShare>& shares_;
  Version self_version_;
};

}  // namespace pomelomill
