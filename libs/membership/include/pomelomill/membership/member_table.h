#pragma once

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/result.h"
#include "pomelomill/membership/member_report.h"
#include "pomelomill/membership/membership_settings.h"
#include "pomelomill/platform/region_state.h"

namespace pomelomill {

enum class MemberHealth { kUnheard, kAlive, kSuspected, kLost };

/// One incarnation of one entry as this entry sees it.
struct Member {
  MemberInfo info;
  /// The latest report; empty default while none was received.
  MemberReport report;
  /// When a message of the member was last processed here.
  std::optional<Instant> last_contact;
  /// When this entry last started an exchange with the member.
  std::optional<Instant> last_attempt;
};

/// Everything this entry knows about other entries. Rows are incarnations:
/// the old and the new incarnation of an entry exist side by side until the
/// old one is known to be replaced, after which it is refused forever.
class MemberTable {
 public:
  MemberTable(MemberInfo self, MembershipSettings settings);

  /// Adds or updates a member that the store or a peer names, without
  /// counting it as contact. kDeadIncarnation when it has been replaced,
  /// kTableFull beyond the limit.
  Status Learn(const MemberInfo& info);

  /// Takes a report that arrived from its sender at `now`; the one signal
  /// that counts as contact. kDeadIncarnation, kBadReport, kTableFull.
  Status Heard(const MemberReport& report, Instant now);

  /// Refuses the incarnation from now on and drops its row.
  void Retire(const IncarnationId& incarnation);

  void Attempted(const IncarnationId& incarnation, Instant now);

  MemberHealth Health(const IncarnationId& incarnation, Instant now) const;

  const Member* Find(const IncarnationId& incarnation) const;
  const Member* FindByKey(IncarnationKey key) const;
  bool is_dead(const IncarnationId& incarnation) const;

  /// The contacts part of this entry's own report: one for each other owner
  /// of a slot share, whether it is known here, replaced or unknown.
  std::vector<ContactReport> Contacts(const std::vector<EntryShare>& shares,
                                      Instant now) const;

  /// Time since the last contact with an incarnation, replaced ones included;
  /// none when there never was any.
  std::optional<Duration> ContactAge(const IncarnationId& incarnation,
                                     Instant now) const;

  /// Highest revision and version that any member has reported; the region
  /// state version counts members of this entry's region only.
  Revision highest_revision() const { return highest_revision_; }
  Version highest_state_version() const { return highest_state_version_; }

  const MemberInfo& self() const { return self_; }
  void set_registration(Version version) { self_.registration = version; }
  const MembershipSettings& settings() const { return settings_; }
  /// All other entries' incarnations, dead ones excluded.
  const std::map<IncarnationId, Member>& members() const { return members_; }

 private:
  Member* FindOrAdd(const MemberInfo& info, std::error_code* ec);
  void RetireReplaced(const MemberInfo& latest);

  MemberInfo self_;
  MembershipSettings settings_;
  std::map<IncarnationId, Member> members_;
  std::map<IncarnationKey, IncarnationId> by_key_;
  /// Replaced incarnations with their last contact.
  std::map<IncarnationId, std::optional<Instant>> dead_;
  std::deque<IncarnationId> dead_order_;
  Revision highest_revision_;
  Version highest_state_version_;
};

}  // namespace pomelomill
