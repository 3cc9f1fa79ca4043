#pragma once

#include <map>
#include <optional>
#include <string>

#include "pomelomill/base/ids.h"
#include "pomelomill/store/transaction_client.h"
#include "store_records.h"

namespace pomelomill {

/// Live entries and the owners of pools, as the store has them.
class ClusterView {
 public:
  struct Owner {
    OwnerRecord record;
    Version version;
  };

  /// Takes a changed key of the cluster prefix. False when its value cannot be
  /// understood; it then counts as absent.
  bool Apply(const StoredKey& change);

  const std::map<EntryId, MemberRecord>& members() const { return members_; }
  const std::map<PoolId, Owner>& owners() const { return owners_; }
  const Owner* FindOwner(const PoolId& pool) const;
  /// Where the pool's owner answers peers; nothing when it has none.
  std::optional<std::string> OwnerAddress(const PoolId& pool) const;

 private:
  std::map<EntryId, MemberRecord> members_;
  std::map<PoolId, Owner> owners_;
};

/// What an owner does, which decides how much it needs.
enum class RoleKind { kPool, kSparePool, kFleet };

using Roles = std::map<PoolId, RoleKind>;

/// The entry that should acquire each role that has no owner, so that all
/// entries that see the same cluster agree. Each goes to the entry that has the
/// most to spare for it; among equals to the zone with the fewest roles. An
/// entry gets more than half of the work only when no other can carry it, since
/// the loss of that entry would stop most pools.
std::map<PoolId, EntryId> ChooseOwners(
    const Roles& roles, const std::map<PoolId, EntryId>& owned,
    const std::map<EntryId, MemberRecord>& members);

}  // namespace pomelomill
