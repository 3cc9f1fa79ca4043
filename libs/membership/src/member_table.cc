#include "pomelomill/membership/member_table.h"

#include <algorithm>
#include <utility>

#include "pomelomill/base/hash.h"
#include "pomelomill/membership/membership_error.h"

namespace pomelomill {
namespace {

bool IsSameEntry(const MemberInfo& a, const MemberInfo& b) {
  return a.entry == b.entry && a.region == b.region;
}

}  // namespace

IncarnationKey KeyOf(const IncarnationId& incarnation) {
  return IncarnationKey(StableHash(incarnation.value()));
}

MemberTable::MemberTable(MemberInfo self, MembershipSettings settings)
    : self_(std::move(self)), settings_(settings) {}

Status MemberTable::Learn(const MemberInfo& info) {
  if (info.entry.empty() || info.incarnation.empty()) {
    return Unexpected(MembershipError::kBadReport);
  }
  if (info.incarnation == self_.incarnation) return {};
  std::error_code ec;
  if (FindOrAdd(info, &ec) == nullptr) return Unexpected(ec);
  return {};
}

Status MemberTable::Heard(const MemberReport& report, Instant now) {
  const MemberInfo& info = report.info;
  if (info.entry.empty() || info.incarnation.empty() ||
      info.incarnation == self_.incarnation) {
    return Unexpected(MembershipError::kBadReport);
  }
  std::error_code ec;
  Member* member = FindOrAdd(info, &ec);
  if (member == nullptr) return Unexpected(ec);
  const MemberReport previous = std::exchange(member->report, report);
  // Messages may be processed out of order; what a member has once reached
  // it does not lose.
  MemberReport& latest = member->report;
  latest.config_revision =
      std::max(latest.config_revision, previous.config_revision);
  if (latest.state_version < previous.state_version) {
    latest = previous;
  }
  latest.is_leaving = latest.is_leaving || previous.is_leaving;
  member->last_contact = now;
  highest_revision_ = std::max(highest_revision_, latest.config_revision);
  if (info.region == self_.region) {
    highest_state_version_ =
        std::max(highest_state_version_, latest.state_version);
  }
  return {};
}

void MemberTable::Retire(const IncarnationId& incarnation) {
  if (incarnation.empty() || incarnation == self_.incarnation) return;
  const Member* member = Find(incarnation);
  const auto last =
      member == nullptr ? std::optional<Instant>() : member->last_contact;
  const bool is_new = dead_.emplace(incarnation, last).second;
  by_key_.erase(KeyOf(incarnation));
  members_.erase(incarnation);
  if (!is_new) return;
  dead_order_.push_back(incarnation);
  if (dead_order_.size() > settings_.max_dead_incarnations) {
    dead_.erase(dead_order_.front());
    dead_order_.pop_front();
  }
}

void MemberTable::Attempted(const IncarnationId& incarnation, Instant now) {
  const auto it = members_.find(incarnation);
  if (it != members_.end()) it->second.last_attempt = now;
}

MemberHealth MemberTable::Health(const IncarnationId& incarnation,
                                 Instant now) const {
  const Member* member = Find(incarnation);
  if (member == nullptr) {
    return is_dead(incarnation) ? MemberHealth::kLost : MemberHealth::kUnheard;
  }
  if (!member->last_contact) return MemberHealth::kUnheard;
  const Duration age = now - *member->last_contact;
  if (age >= settings_.contact_window) return MemberHealth::kLost;
  if (age >= settings_.suspect_after) return MemberHealth::kSuspected;
  return MemberHealth::kAlive;
}

const Member* MemberTable::Find(const IncarnationId& incarnation) const {
  const auto it = members_.find(incarnation);
  return it == members_.end() ? nullptr : &it->second;
}

const Member* MemberTable::FindByKey(IncarnationKey key) const {
  const auto it = by_key_.find(key);
  return it == by_key_.end() ? nullptr : Find(it->second);
}

bool MemberTable::is_dead(const IncarnationId& incarnation) const {
  return dead_.contains(incarnation);
}

std::vector<ContactReport> MemberTable::Contacts(
    const std::vector<EntryShare>& shares, Instant now) const {
  std::vector<ContactReport> contacts;
  contacts.reserve(shares.size());
  for (const EntryShare& share : shares) {
    if (share.incarnation == self_.incarnation) continue;
    contacts.push_back({.member = KeyOf(share.incarnation),
                        .age = ContactAge(share.incarnation, now)});
  }
  return contacts;
}

std::optional<Duration> MemberTable::ContactAge(
    const IncarnationId& incarnation, Instant now) const {
  std::optional<Instant> last;
  if (const Member* member = Find(incarnation)) {
    last = member->last_contact;
  } else if (const auto it = dead_.find(incarnation); it != dead_.end()) {
    last = it->second;
  }
  if (!last) return std::nullopt;
  return now - *last;
}

Member* MemberTable::FindOrAdd(const MemberInfo& info, std::error_code* ec) {
  if (is_dead(info.incarnation)) {
    *ec = MembershipError::kDeadIncarnation;
    return nullptr;
  }
  // A report from before the sender's replacement registered may arrive
  // after it.
  if (info.registration.value() != 0) {
    for (const auto& [incarnation, member] : members_) {
      if (IsSameEntry(member.info, info) && incarnation != info.incarnation &&
          member.info.registration > info.registration) {
        Retire(info.incarnation);
        *ec = MembershipError::kDeadIncarnation;
        return nullptr;
      }
    }
  }
  auto it = members_.find(info.incarnation);
  if (it == members_.end()) {
    if (members_.size() >= settings_.max_members) {
      *ec = MembershipError::kTableFull;
      return nullptr;
    }
    it = members_.emplace(info.incarnation, Member{}).first;
    by_key_.emplace(KeyOf(info.incarnation), info.incarnation);
    it->second.info = info;
  }
  MemberInfo& known = it->second.info;
  known.registration = std::max(known.registration, info.registration);
  if (!info.address.empty()) known.address = info.address;
  RetireReplaced(known);
  return &it->second;
}

void MemberTable::RetireReplaced(const MemberInfo& latest) {
  if (latest.registration.value() == 0) return;
  std::vector<IncarnationId> replaced;
  for (const auto& [incarnation, member] : members_) {
    if (IsSameEntry(member.info, latest) &&
        member.info.registration < latest.registration) {
      replaced.push_back(incarnation);
    }
  }
  for (const IncarnationId& incarnation : replaced) Retire(incarnation);
}

}  // namespace pomelomill
