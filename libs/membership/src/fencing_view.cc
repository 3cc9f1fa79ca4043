#include "pomelomill/membership/fencing_view.h"

#include <algorithm>

namespace pomelomill {

std::string ToString(MissingReason reason) {
  switch (reason) {
    case MissingReason::kBehind:
      return "acts on an older region state";
    case MissingReason::kInFlight:
      return "has requests in flight";
    case MissingReason::kLeaseMayBeValid:
      return "is unreachable and its lease may still be valid";
    case MissingReason::kTooFewReports:
      return "is unreachable and too few members report no contact";
  }
  return "unknown";
}

FencingView::FencingView(const MemberTable& table,
                         const Registrations& registrations,
                         const std::vector<EntryShare>& shares,
                         Version self_version)
    : table_(table),
      registrations_(registrations),
      shares_(shares),
      self_version_(self_version) {}

bool FencingView::IsFenced(const IncarnationId& incarnation, Version version,
                           Instant now) const {
  if (incarnation == table_.self().incarnation) return false;
  if (!registrations_.HasLapsed(incarnation, version, now)) return false;
  const IncarnationKey key = KeyOf(incarnation);
  std::size_t others = 0;
  std::size_t without_contact = 0;
  // The lists of two successive versions differ only by joining members, by
  // members that have left, or by the votes of these. A majority of the list
  // with joining members and one of the list without them are both needed,
  // since the entry may act on either.
  std::size_t settled_others = 0;
  std::size_t settled_without_contact = 0;
  for (const EntryShare& share : shares_) {
    if (share.incarnation == incarnation) continue;
    const bool reports =
        share.phase == SharePhase::kActive &&
        HasNoContactReport(share.incarnation, key, version, now);
    ++others;
    if (reports) ++without_contact;
    if (share.phase == SharePhase::kJoining) continue;
    ++settled_others;
    if (reports) ++settled_without_contact;
  }
  return 2 * without_contact > others &&
         2 * settled_without_contact > settled_others;
}

std::vector<MissingEntry> FencingView::MissingForVm(
    const VmId& vm, Version version, std::uint32_t self_in_flight,
    Instant now) const {
  std::vector<MissingEntry> missing;
  for (const EntryShare& share : shares_) {
    MissingEntry entry{.entry = share.entry, .incarnation = share.incarnation};
    if (share.incarnation == table_.self().incarnation) {
      if (self_version_ < version) {
        missing.push_back(entry);
      } else if (self_in_flight > 0) {
        entry.reason = MissingReason::kInFlight;
        entry.in_flight = self_in_flight;
        missing.push_back(entry);
      }
      continue;
    }
    const Member* member = table_.Find(share.incarnation);
    const VmInFlight* report = nullptr;
    if (member != nullptr) {
      for (const VmInFlight& item : member->report.draining) {
        if (item.vm == vm && item.version >= version) report = &item;
      }
    }
    if (report != nullptr && report->in_flight == 0) continue;
    if (IsFenced(share.incarnation, version, now)) continue;
    if (table_.Health(share.incarnation, now) != MemberHealth::kAlive) {
      entry.reason = WhyNotFenced(share.incarnation);
    } else if (report != nullptr) {
      entry.reason = MissingReason::kInFlight;
      entry.in_flight = report->in_flight;
    }
    missing.push_back(entry);
  }
  return missing;
}

std::vector<MissingEntry> FencingView::MissingForShares(
    Version version, Version self_shares_version, Instant now) const {
  std::vector<MissingEntry> missing;
  for (const EntryShare& share : shares_) {
    MissingEntry entry{.entry = share.entry, .incarnation = share.incarnation};
    if (share.incarnation == table_.self().incarnation) {
      if (self_shares_version < version) missing.push_back(entry);
      continue;
    }
    const Member* member = table_.Find(share.incarnation);
    if (member != nullptr && member->report.shares_version >= version) continue;
    if (IsFenced(share.incarnation, version, now)) continue;
    if (table_.Health(share.incarnation, now) != MemberHealth::kAlive) {
      entry.reason = WhyNotFenced(share.incarnation);
    }
    missing.push_back(entry);
  }
  return missing;
}

bool FencingView::HasReleased(const IncarnationId& incarnation, Version version,
                              Instant now) const {
  const Member* member = table_.Find(incarnation);
  if (member != nullptr && member->report.state_version >= version &&
      member->report.shares_version >= version &&
      member->report.in_flight == 0) {
    return true;
  }
  return IsFenced(incarnation, version, now);
}

MissingReason FencingView::WhyNotFenced(
    const IncarnationId& incarnation) const {
  return registrations_.current().contains(incarnation) ||
                 !registrations_.has_listing()
             ? MissingReason::kLeaseMayBeValid
             : MissingReason::kTooFewReports;
}

bool FencingView::HasNoContactReport(const IncarnationId& reporter,
                                     IncarnationKey about, Version version,
                                     Instant now) const {
  const MembershipSettings& settings = table_.settings();
  const Duration window = settings.Stretched(settings.contact_window);
  if (reporter == table_.self().incarnation) {
    if (self_version_ < version) return false;
    for (const ContactReport& contact : table_.Contacts(shares_, now)) {
      if (contact.member != about) continue;
      return !contact.age || *contact.age >= window;
    }
    return false;
  }
  const Member* member = table_.Find(reporter);
  if (member == nullptr || member->report.state_version < version) return false;
  return std::any_of(member->report.contacts.begin(),
                     member->report.contacts.end(),
                     [&](const ContactReport& contact) {
                       return contact.member == about &&
                              (!contact.age || *contact.age >= window);
                     });
}

}  // namespace pomelomill
