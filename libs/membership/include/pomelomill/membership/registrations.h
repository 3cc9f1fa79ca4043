#pragma once

#include <map>
#include <optional>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/time.h"
#include "pomelomill/membership/membership_settings.h"

namespace pomelomill {

/// One key `regions/REGION/entries/ENTRY` of the store.
struct Registration {
  EntryId entry;
  IncarnationId incarnation;
  Version version;
};

/// Which incarnations hold a store lease, from listings of the entries' keys.
/// Entries create their key with version 0 expected, so a key that is absent
/// or names another incarnation proves that the lease of the former owner had
/// ended when the listing was made.
class Registrations {
 public:
  explicit Registrations(MembershipSettings settings) : settings_(settings) {}

  /// Takes a complete listing that was requested at `sent` and arrived at
  /// `received`; `known` is the highest version of the region state that this
  /// entry knew to be in the store at `sent`. A listing that was requested
  /// before one that has been taken is ignored.
  void Observe(const std::vector<Registration>& listing, Version known,
               Instant sent, Instant received);

  /// Forgets everything, for a new holder of the control lease.
  void Clear();

  /// True when the incarnation was absent from all listings of at least the
  /// margin for clock drift, and the latest one was requested when `version`
  /// of the region state was already in the store. An entry that registers
  /// after that listing reads this version or a later one before it sends.
  bool HasLapsed(const IncarnationId& incarnation, Version version,
                 Instant now) const;

  const std::map<IncarnationId, Registration>& current() const {
    return current_;
  }
  bool has_listing() const { return first_.has_value(); }

 private:
  Duration Margin() const;

  MembershipSettings settings_;
  std::map<IncarnationId, Registration> current_;
  std::optional<Instant> first_;
  Instant sent_ = Instant::min();
  Version known_;
  /// When an incarnation was first missed after having been listed.
  std::map<IncarnationId, Instant> missed_;
};

}  // namespace pomelomill
