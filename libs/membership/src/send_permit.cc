#include "pomelomill/membership/send_permit.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace pomelomill {

SendPermit::SendPermit(IncarnationId self, MembershipSettings settings)
    : self_(std::move(self)), settings_(settings) {}

void SendPermit::StateInForce(Version version,
                              const std::vector<EntryShare>& shares) {
  if (version < version_) return;
  version_ = version;
  is_member_ = false;
  members_ = shares.size();
  std::map<IncarnationId, Contact> voters;
  for (const EntryShare& share : shares) {
    if (share.incarnation == self_) {
      is_member_ = true;
      continue;
    }
    // Joining and leaving members count in the total but have no vote: that
    // way the majorities of two successive member lists always overlap.
    if (share.phase != SharePhase::kActive) continue;
    const auto it = voters_.find(share.incarnation);
    voters.emplace(share.incarnation,
                   it == voters_.end() ? Contact{} : it->second);
  }
  voters_ = std::move(voters);
  for (auto& [incarnation, contact] : voters_) CountWaiting(&contact);
}

void SendPermit::Registered(Instant lease_sent, Duration ttl, Instant now) {
  lease_until_ = lease_sent + ttl;
  registered_at_ = now;
  read_version_.reset();
}

void SendPermit::StateRead(Version version, Instant sent) {
  if (!lease_until_ || sent < registered_at_) return;
  // The first read after the registration sets the bound; later versions
  // reach the entry like any other change.
  if (!read_version_) read_version_ = version;
}

void SendPermit::LeaseRenewed(Instant sent, Duration ttl) {
  if (lease_until_) lease_until_ = std::max(*lease_until_, sent + ttl);
}

void SendPermit::LeaseLapsed() {
  lease_until_.reset();
  read_version_.reset();
}

void SendPermit::ExchangeAnswered(const IncarnationId& member, Instant sent,
                                  Version peer_version) {
  const auto it = voters_.find(member);
  if (it == voters_.end()) return;
  Contact& contact = it->second;
  if (peer_version <= version_) {
    contact.counted = std::max(contact.counted.value_or(sent), sent);
  } else if (!contact.waiting || contact.waiting->sent <= sent) {
    contact.waiting = Answer{sent, peer_version};
  }
}

Permit SendPermit::Check(Instant now) const {
  Permit permit;
  permit.needed = members_ / 2;
  if (!is_member_) return permit;

  std::vector<Instant> ends;
  for (const auto& [incarnation, contact] : voters_) {
    if (!contact.counted) continue;
    const Instant end = *contact.counted + settings_.contact_window;
    if (now < end) ends.push_back(end);
  }
  permit.contacts = ends.size();

  if (lease_until_ && now < *lease_until_ && read_version_ &&
      *read_version_ <= version_) {
    permit.basis = PermitBasis::kLease;
    permit.valid_until = *lease_until_;
  }
  // This entry counts as one of the members, so half of them, rounded down,
  // completes a majority.
  if (ends.size() >= permit.needed) {
    // A member alone needs no other; it is asked again after one interval.
    Instant end = now + settings_.exchange_interval;
    if (permit.needed > 0) {
      std::nth_element(ends.begin(),
                       ends.begin() + static_cast<long>(permit.needed) - 1,
                       ends.end(), std::greater<>());
      end = ends[permit.needed - 1];
    }
    if (!permit.is_allowed()) {
      permit.basis = PermitBasis::kContacts;
      permit.valid_until = end;
    }
    permit.valid_until = std::max(permit.valid_until, end);
  }
  return permit;
}

void SendPermit::CountWaiting(Contact* contact) const {
  if (!contact->waiting || contact->waiting->peer_version > version_) return;
  contact->counted = std::max(contact->counted.value_or(contact->waiting->sent),
                              contact->waiting->sent);
  contact->waiting.reset();
}

}  // namespace pomelomill
