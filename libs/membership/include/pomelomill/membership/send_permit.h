#pragma once

#include <map>
#include <optional>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/time.h"
#include "pomelomill/membership/membership_settings.h"
#include "pomelomill/platform/region_state.h"

namespace pomelomill {

enum class PermitBasis { kNone, kLease, kContacts };

/// Whether an entry may send work now, on which basis, and until when it may
/// rely on that without asking again.
struct Permit {
  PermitBasis basis = PermitBasis::kNone;
  Instant valid_until{};
  /// Voting members with a recent answered exchange, and how many are needed.
  std::size_t contacts = 0;
  std::size_t needed = 0;

  bool is_allowed() const { return basis != PermitBasis::kNone; }
};

/// Decides whether this entry may send work to endpoints: while its lease in
/// the store is valid, or while it has exchanged messages with more than half
/// of the members within the contact window.
///
/// Two rules make the decision agree with FencingView. Times count from the
/// moment a request was sent, never from its response. And contact with a
/// member counts only once this entry acts on a region state at least as new
/// as the member's, so that an entry that was fenced learns what was decided
/// in its absence before it sends again.
class SendPermit {
 public:
  SendPermit(IncarnationId self, MembershipSettings settings);

  /// The members are the owners of slot shares in the region state that this
  /// entry acts on, and `version` is that state's version. Call at each change
  /// of the region state in force.
  void StateInForce(Version version, const std::vector<EntryShare>& shares);

  /// The entry's key was created under a new lease whose grant was requested
  /// at `lease_sent`; the response to the key's write arrived at `now`.
  void Registered(Instant lease_sent, Duration ttl, Instant now);

  /// The region state in the store had `version` in a read sent at `sent`.
  /// After each registration the lease permits sending only once a read that
  /// was sent afterwards has been put in force.
  void StateRead(Version version, Instant sent);

  /// A renewal that was sent at `sent` succeeded.
  void LeaseRenewed(Instant sent, Duration ttl);
  void LeaseLapsed();

  /// An exchange that this entry started at `sent` was answered by a member
  /// that acts on `peer_version` of this region's state.
  void ExchangeAnswered(const IncarnationId& member, Instant sent,
                        Version peer_version);

  Permit Check(Instant now) const;

 private:
  struct Answer {
    Instant sent;
    Version peer_version;
  };
  struct Contact {
    /// The latest exchange that counts.
    std::optional<Instant> counted;
    /// The latest exchange that waits for the state in force to catch up.
    std::optional<Answer> waiting;
  };

  void CountWaiting(Contact* contact) const;

  IncarnationId self_;
  MembershipSettings settings_;
  Version version_;
  bool is_member_ = false;
  std::size_t members_ = 0;
  std::map<IncarnationId, Contact> voters_;
  std::optional<Instant> lease_until_;
  Instant registered_at_{};
  /// Set once a read that was sent after the registration has arrived.
  std::optional<Version> read_version_;
};

}  // namespace pomelomill
