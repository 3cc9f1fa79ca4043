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

constexpr EntryCapacity kNoDemand{
    .cpu_cores = 0, .memory_mb = 0, .link_mbps = 0};

/// An entry hands roles over while it has more than this share of the CPU
/// demand of all roles.
constexpr double kMaxKeptShare = 2.0 / 3;

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

  double cpu_cores() const { return used_.cpu_cores; }

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
  EntryCapacity used_ = kNoDemand;
};

struct Choice {
  Fit fit;
  EntryId entry;
};

struct Choices {
  std::map<PoolId, EntryId> owners;
  Fit worst_fit = Fit::kFits;
};

/// Loads of the entries with the roles that they own.
class Assignment {
 public:
  Assignment(const Roles& roles, const std::map<PoolId, EntryId>& owned,
             const std::map<EntryId, MemberRecord>& members) {
    for (const auto& [entry, member] : members) loads_.emplace(entry, member);
    for (const auto& [pool, kind] : roles) {
      const EntryCapacity demand = DemandOf(kind);
      total_cpu_cores_ += demand.cpu_cores;
      const auto owner = owned.find(pool);
      if (owner == owned.end()) {
        unowned_.emplace_back(pool, demand);
      } else {
        Add(owner->second, demand);
      }
    }
    // Falling demand, so that the small roles even out the loads.
    std::stable_sort(unowned_.begin(), unowned_.end(),
                     [](const auto& a, const auto& b) {
                       return a.second.cpu_cores > b.second.cpu_cores;
                     });
  }

  /// Chooses an entry for each role without an owner. Empty without members.
  Choices AssignAll() {
    Choices choices;
    for (const auto& [pool, demand] : unowned_) {
      const auto best = FindBest(pool, demand);
      if (!best) break;
      Add(best->entry, demand);
      choices.owners[pool] = best->entry;
      choices.worst_fit = std::max(choices.worst_fit, best->fit);
    }
    return choices;
  }

  /// Returns why the entry has more roles than it should keep; null when it
  /// has not.
  const char* FindExcess(const EntryId& entry) const {
    const auto it = loads_.find(entry);
    if (it == loads_.end()) return nullptr;
    if (it->second.FitWith(kNoDemand, total_cpu_cores_) ==
        Fit::kExceedsCapacity)
      return "exceeds its capacity";
    return it->second.cpu_cores() > kMaxKeptShare * total_cpu_cores_
               ? "exceeds two thirds of the work"
               : nullptr;
  }

  /// Assigns to the entry those of the roles that fit. Returns them.
  std::set<PoolId> AssignFitting(const std::set<PoolId>& roles,
                                 const EntryId& entry) {
    std::set<PoolId> assigned;
    const auto load = loads_.find(entry);
    if (load == loads_.end()) return assigned;
    for (const auto& [pool, demand] : unowned_) {
      if (!roles.contains(pool) ||
          load->second.FitWith(demand, total_cpu_cores_) != Fit::kFits)
        continue;
      Add(entry, demand);
      assigned.insert(pool);
    }
    std::erase_if(unowned_,
                  [&](const auto& it) { return assigned.contains(it.first); });
    return assigned;
  }

 private:
  std::optional<Choice> FindBest(const PoolId& pool,
                                 const EntryCapacity& demand) const {
    using Rank = std::tuple<Fit, std::int64_t, std::size_t, std::uint64_t>;
    std::optional<std::pair<Rank, EntryId>> best;
    for (const auto& [entry, load] : loads_) {
      const auto zone = roles_in_zone_.find(load.zone());
      const Rank rank{load.FitWith(demand, total_cpu_cores_),
                      load.UtilizationPpmWith(demand),
                      zone == roles_in_zone_.end() ? 0 : zone->second,
                      StableHash(pool.value() + "/" + entry.value())};
      if (!best || rank < best->first) best = {rank, entry};
    }
    if (!best) return std::nullopt;
    return Choice{std::get<Fit>(best->first), best->second};
  }

  void Add(const EntryId& entry, const EntryCapacity& demand) {
    const auto it = loads_.find(entry);
    if (it == loads_.end()) return;
    it->second.Add(demand);
    ++roles_in_zone_[it->second.zone()];
  }

  std::map<EntryId, EntryLoad> loads_;
  std::map<ZoneId, std::size_t> roles_in_zone_;
  double total_cpu_cores_ = 0;
  std::vector<std::pair<PoolId, EntryCapacity>> unowned_;
};

}  // namespace

bool ClusterView::Apply(const StoredKey& change, Instant now) {
  const std::string_view key = change.key;
  constexpr std::string_view kMembers = "cluster/members/";
  constexpr std::string_view kOwners = "cluster/owners/";
  if (key.starts_with(kMembers)) {
    const EntryId entry(std::string(key.substr(kMembers.size())));
    members_.erase(entry);
    registrations_.erase(entry);
    if (change.is_removed) return true;
    const auto member = DecodeMember(change.value);
    if (!member) return false;
    members_[entry] = *member;
    registrations_[entry] = change.version;
    return true;
  }
  if (key.starts_with(kOwners)) {
    const PoolId pool(std::string(key.substr(kOwners.size())));
    const auto former = owners_.extract(pool);
    if (change.is_removed) {
      if (!former.empty()) {
        vacancies_[pool] = {FencingToken(former.mapped().version.value()), now};
      }
      return true;
    }
    const auto owner = DecodeOwner(change.value);
    if (!owner) return false;
    owners_[pool] = {*owner, change.version};
    return true;
  }
  if (IsBacklogKey(change.key)) {
    const PoolId pool(
        change.key.substr(std::string_view(kBacklogPrefix).size()));
    backlogs_.erase(pool);
    if (change.is_removed) return true;
    auto record = DecodeBacklog(change.value);
    if (!record) return false;
    backlogs_[pool] = *std::move(record);
    return true;
  }
  return false;
}

bool ClusterView::IsBacklogKey(const std::string& key) {
  return key.starts_with(kBacklogPrefix);
}

const PoolBacklog* ClusterView::FindBacklog(const PoolId& pool) const {
  const auto it = backlogs_.find(pool);
  const Owner* const owner = FindOwner(pool);
  // The record of a former owner may outlive its ownership, which ends before
  // the lease in a hand-over.
  if (it == backlogs_.end() || owner == nullptr ||
      owner->version.value() != it->second.token.value())
    return nullptr;
  return &it->second.backlog;
}

const ClusterView::Owner* ClusterView::FindOwner(const PoolId& pool) const {
  const auto it = owners_.find(pool);
  return it == owners_.end() ? nullptr : &it->second;
}

std::optional<ClusterView::Vacancy> ClusterView::FindVacancy(
    const PoolId& pool) const {
  const auto it = vacancies_.find(pool);
  if (it == vacancies_.end()) return std::nullopt;
  return it->second;
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
         registrations_.at(owner.entry) > successor;
}

std::map<PoolId, EntryId> ChooseOwners(
    const Roles& roles, const std::map<PoolId, EntryId>& owned,
    const std::map<EntryId, MemberRecord>& members) {
  return Assignment(roles, owned, members).AssignAll().owners;
}

std::set<PoolId> ChooseRolesToTakeBack(
    const Roles& roles, const std::set<PoolId>& stale, const EntryId& entry,
    const std::map<PoolId, EntryId>& owned,
    const std::map<EntryId, MemberRecord>& members) {
  Assignment assignment(roles, owned, members);
  std::set<PoolId> kept = assignment.AssignFitting(stale, entry);
  for (const auto& [pool, owner] : assignment.AssignAll().owners)
    if (owner == entry && stale.contains(pool)) kept.insert(pool);
  return kept;
}

std::optional<HandOver> ChooseHandOver(
    const Roles& roles, const EntryId& entry,
    const std::map<PoolId, EntryId>& owned,
    const std::map<EntryId, MemberRecord>& members) {
  const char* const reason =
      Assignment(roles, owned, members).FindExcess(entry);
  if (reason == nullptr) return std::nullopt;
  std::map<RoleKind, PoolId> candidates;
  for (const auto& [role, owner] : owned) {
    const auto it = roles.find(role);
    if (owner == entry && it != roles.end())
      candidates.try_emplace(it->second, role);
  }
  // The smallest role that ends the excess, so that a pool stays where the
  // change of a lighter role is enough; else the largest.
  std::optional<HandOver> largest;
  for (const RoleKind kind :
       {RoleKind::kSparePool, RoleKind::kFleet, RoleKind::kPool}) {
    const auto candidate = candidates.find(kind);
    if (candidate == candidates.end()) continue;
    const PoolId& role = candidate->second;
    auto others = owned;
    others.erase(role);
    Assignment assignment(roles, others, members);
    const bool ends_excess = assignment.FindExcess(entry) == nullptr;
    const Choices choices = assignment.AssignAll();
    const auto to = choices.owners.find(role);
    if (to == choices.owners.end() || to->second == entry ||
        choices.worst_fit != Fit::kFits)
      continue;
    largest = HandOver{.role = role, .to = to->second, .reason = reason};
    if (ends_excess) break;
  }
  return largest;
}

bool CanCarryRoles(const Roles& roles,
                   const std::map<EntryId, MemberRecord>& members) {
  return !members.empty() &&
         Assignment(roles, {}, members).AssignAll().worst_fit == Fit::kFits;
}

}  // namespace pomelomill
