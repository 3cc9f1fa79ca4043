#include "cluster_view.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "pomelomill/base/hash.h"
#include "store_keys.h"

namespace pomelomill {
namespace {

/// Estimated resources that a role uses at peak load; only the ratio to the
/// capacities of the entries matters. The owner of a pool of about 80 workers
/// continuously receives a report from each and sends hundreds of task starts
/// per second.
EntryCapacity DemandOf(RoleKind kind) {
  switch (kind) {
    case RoleKind::kPool:
      return {.cpu_cores = 0.1, .memory_mb = 40, .link_mbps = 5};
    case RoleKind::kFleet:
      return {.cpu_cores = 0.08, .memory_mb = 20, .link_mbps = 2};
    case RoleKind::kSparePool:
      break;
  }
  return {.cpu_cores = 0.02, .memory_mb = 10, .link_mbps = 0.5};
}

/// Suitability of an entry for a further role; smaller values are preferred.
enum class Fit {
  kFits,
  /// The entry would have more than half of the CPU demand of all roles.
  kExceedsHalf,
  kExceedsCapacity
};

/// Capacity of one entry and the load of its roles.
class EntryLoad {
 public:
  explicit EntryLoad(const MemberRecord& member)
      : zone_(member.zone), capacity_(member.capacity) {}

  const ZoneId& zone() const { return zone_; }

  void Add(const EntryCapacity& demand) {
    used_.cpu_cores += demand.cpu_cores;
    used_.memory_mb += demand.memory_mb;
    used_.link_mbps += demand.link_mbps;
  }

  /// Utilization of the most utilized resource with a further role, in parts
  /// per million. An integer, so that equal loads compare equal.
  std::int64_t UtilizationPpmWith(const EntryCapacity& demand) const {
    const double utilization =
        std::max({(used_.cpu_cores + demand.cpu_cores) / capacity_.cpu_cores,
                  (used_.memory_mb + demand.memory_mb) / capacity_.memory_mb,
                  (used_.link_mbps + demand.link_mbps) / capacity_.link_mbps});
    return std::llround(utilization * kMillion);
  }

  Fit FitWith(const EntryCapacity& demand, double total_cpu_cores) const {
    if (UtilizationPpmWith(demand) > kMillion) return Fit::kExceedsCapacity;
    return (used_.cpu_cores + demand.cpu_cores) * 2 > total_cpu_cores
               ? Fit::kExceedsHalf
               : Fit::kFits;
  }

 private:
  static constexpr std::int64_t kMillion = 1'000'000;

  ZoneId zone_;
  EntryCapacity capacity_;
  EntryCapacity used_{.cpu_cores = 0, .memory_mb = 0, .link_mbps = 0};
};

}  // namespace

bool ClusterView::Apply(const StoredKey& change) {
  const std::string_view key = change.key;
  constexpr std::string_view kMembers = "cluster/members/";
  constexpr std::string_view kOwners = "cluster/owners/";
  if (key.starts_with(kMembers)) {
    const EntryId entry(std::string(key.substr(kMembers.size())));
    members_.erase(entry);
    member_versions_.erase(entry);
    if (change.is_removed) return true;
    const auto member = DecodeMember(change.value);
    if (!member) return false;
    members_[entry] = *member;
    member_versions_[entry] = change.version;
    return true;
  }
  if (key.starts_with(kOwners)) {
    const PoolId pool(std::string(key.substr(kOwners.size())));
    owners_.erase(pool);
    if (change.is_removed) return true;
    const auto owner = DecodeOwner(change.value);
    if (!owner) return false;
    owners_[pool] = {*owner, change.version};
    return true;
  }
  return false;
}

const ClusterView::Owner* ClusterView::FindOwner(const PoolId& pool) const {
  const auto it = owners_.find(pool);
  return it == owners_.end() ? nullptr : &it->second;
}

std::optional<std::string> ClusterView::OwnerAddress(const PoolId& pool) const {
  const Owner* const owner = FindOwner(pool);
  if (owner == nullptr) return std::nullopt;
  const auto it = members_.find(owner->record.entry);
  if (it == members_.end()) return std::nullopt;
  return it->second.peer_address;
}

bool ClusterView::HasStopped(const OwnerRecord& owner,
                             Version successor) const {
  const auto it = members_.find(owner.entry);
  if (it == members_.end()) return false;
  return it->second.incarnation != owner.incarnation ||
         member_versions_.at(owner.entry) > successor;
}

std::map<PoolId, EntryId> ChooseOwners(
    const Roles& roles, const std::map<PoolId, EntryId>& owned,
    const std::map<EntryId, MemberRecord>& members) {
  std::map<EntryId, EntryLoad> loads;
  for (const auto& [entry, member] : members) loads.emplace(entry, member);
  std::map<ZoneId, std::size_t> roles_in_zone;
  double total_cpu_cores = 0;
  // Sorted by falling demand below, so that the small roles even out the loads.
  std::vector<std::pair<PoolId, EntryCapacity>> unowned;
  for (const auto& [pool, kind] : roles) {
    const EntryCapacity demand = DemandOf(kind);
    total_cpu_cores += demand.cpu_cores;
    const auto owner = owned.find(pool);
    if (owner == owned.end()) {
      unowned.emplace_back(pool, demand);
    } else if (const auto it = loads.find(owner->second); it != loads.end()) {
      it->second.Add(demand);
      ++roles_in_zone[it->second.zone()];
    }
  }
  std::stable_sort(unowned.begin(), unowned.end(),
                   [](const auto& a, const auto& b) {
                     return a.second.cpu_cores > b.second.cpu_cores;
                   });
  std::map<PoolId, EntryId> chosen;
  for (const auto& [pool, demand] : unowned) {
    using Rank = std::tuple<Fit, std::int64_t, std::size_t, std::uint64_t>;
    std::optional<std::pair<Rank, EntryId>> best;
    for (const auto& [entry, load] : loads) {
      const Rank rank{load.FitWith(demand, total_cpu_cores),
                      load.UtilizationPpmWith(demand),
                      roles_in_zone[load.zone()],
                      StableHash(pool.value() + "/" + entry.value())};
      if (!best || rank < best->first) best = {rank, entry};
    }
    if (!best) break;
    EntryLoad& load = loads.at(best->second);
    load.Add(demand);
    ++roles_in_zone[load.zone()];
    chosen[pool] = best->second;
  }
  return chosen;
}

}  // namespace pomelomill
