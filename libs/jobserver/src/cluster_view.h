#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "pomelomill/base/ids.h"
#include "pomelomill/store/transaction_client.h"
#include "store_records.h"

namespace pomelomill {

/// Local copy of the cluster state in the store: the registered entries, the
/// owner of each pool and the backlogs that the owners publish.
class ClusterView {
 public:
  struct Owner {
    OwnerRecord record;
    Version version;
  };

  /// The end of an ownership as this process has seen it.
  struct Vacancy {
    FencingToken former;
    /// When the removal of the owner key was seen, which is not before its
    /// removal.
    Instant since{};
  };

  /// Applies a change below the cluster prefix that is seen at `now`. Returns
  /// false when the key is unknown or its value is malformed; a malformed
  /// record counts as absent.
  bool Apply(const StoredKey& change, Instant now);

  const std::map<EntryId, MemberRecord>& members() const { return members_; }
  /// Version of each entry's registration, which changes when the entry
  /// registers again.
  const std::map<EntryId, Version>& registrations() const {
    return registrations_;
  }
  const std::map<PoolId, Owner>& owners() const { return owners_; }
  /// Null when the pool has no owner.
  const Owner* FindOwner(const PoolId& pool) const;
  /// The latest removal of an owner key of the pool; empty when none was seen.
  std::optional<Vacancy> FindVacancy(const PoolId& pool) const;
  /// Backlog that the pool's present owner has published; null when it has
  /// published none.
  const PoolBacklog* FindBacklog(const PoolId& pool) const;
  /// Whether the key is that of a backlog, which has no part in who owns what.
  static bool IsBacklogKey(const std::string& key);
  /// Address ("HOST:PORT") at which the pool's owner serves its peers; nullopt
  /// when the pool has no owner or the owner is not registered.
  std::optional<std::string> OwnerAddress(const PoolId& pool) const;
  /// Whether a process that owned a role certainly sends no more orders under
  /// that ownership; `successor` is the version of a later owner's key. True
  /// when its entry has registered another process, which never runs beside the
  /// former one, or has registered after that version: the lease to which the
  /// owner key was attached had ended before, so it was under a later lease.
  bool HasStopped(const OwnerRecord& owner, Version successor) const;

 private:
  std::map<EntryId, MemberRecord> members_;
  std::map<EntryId, Version> registrations_;
  std::map<PoolId, Owner> owners_;
  std::map<PoolId, Vacancy> vacancies_;
  std::map<PoolId, BacklogRecord> backlogs_;
};

/// Kind of a role. A role is work that one entry at a time owns: a pool, or the
/// management of the fleet. The kind determines the resources that it needs.
enum class RoleKind { kPool, kSparePool, kFleet };

/// Kind of each role; the fleet role has the id kFleetRole.
using Roles = std::map<PoolId, RoleKind>;

/// Returns the entry that should acquire each role without an owner; `owned`
/// holds the owners of the others. The result is empty without members and
/// depends on the arguments only, so that all entries with the same view choose
/// alike.
///
/// Each role goes to the entry that has the lowest utilization after taking it;
/// the utilization of an entry is that of its most utilized resource. Ties go
/// to the availability zone with the fewest roles. An entry gets more than half
/// of the CPU demand of all roles only when no other entry has the capacity,
/// since its loss would stop most pools. When no entry has the capacity, the
/// least utilized one is chosen all the same.
std::map<PoolId, EntryId> ChooseOwners(
    const Roles& roles, const std::map<PoolId, EntryId>& owned,
    const std::map<EntryId, MemberRecord>& members);

/// Returns the roles in `stale` that the restarted entry should take back from
/// its previous process: those that it has the capacity for without more than
/// half of the CPU demand of all roles, and those for which ChooseOwners()
/// chooses it nevertheless. `owned` holds the owners of roles that are neither
/// stale nor without an owner, and `members` the entry itself.
std::set<PoolId> ChooseRolesToTakeBack(
    const Roles& roles, const std::set<PoolId>& stale, const EntryId& entry,
    const std::map<PoolId, EntryId>& owned,
    const std::map<EntryId, MemberRecord>& members);

struct HandOver {
  PoolId role;
  /// The entry that ChooseOwners() chooses for the role once it has no owner.
  EntryId to;
  const char* reason = "";
};

/// Returns the role that the entry should hand over next; nullopt when it
/// should keep what it owns. `owned` holds the owners of all roles.
///
/// An entry hands roles over while they exceed its capacity or two thirds of
/// the CPU demand of all roles, and only to an entry that has the capacity
/// without more than half of that demand. The gap between the two shares is the
/// hysteresis: the next owner never hands the role back.
std::optional<HandOver> ChooseHandOver(
    const Roles& roles, const EntryId& entry,
    const std::map<PoolId, EntryId>& owned,
    const std::map<EntryId, MemberRecord>& members);

/// Whether the entries have the capacity for all roles, none of them with more
/// than half of the CPU demand.
bool CanCarryRoles(const Roles& roles,
                   const std::map<EntryId, MemberRecord>& members);

}  // namespace pomelomill
