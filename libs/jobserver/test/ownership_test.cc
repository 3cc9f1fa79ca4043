#include "ownership.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster_view.h"
#include "pomelomill/base/random.h"
#include "pomelomill/base/virtual_timer_service.h"
#include "pomelomill/jobtesting.h"
#include "pomelomill/store/lease_keeper.h"
#include "pomelomill/store/prefix_follower.h"
#include "store_keys.h"
#include "store_records.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Members = std::map<EntryId, MemberRecord>;
using Owners = std::map<PoolId, EntryId>;

const EntryCapacity kStrong{
    .cpu_cores = 0.5, .memory_mb = 512, .link_mbps = 200};
const EntryCapacity kWeak{.cpu_cores = 0.12, .memory_mb = 160, .link_mbps = 10};

/// Roles of a typical deployment: four pools, the spare pool and the fleet.
Roles DeploymentRoles() {
  Roles roles = {{PoolId(kFleetRole), RoleKind::kFleet},
                 {PoolId("spare"), RoleKind::kSparePool}};
  for (const char* it : {"p0", "p1", "p2", "p3"})
    roles[PoolId(it)] = RoleKind::kPool;
  return roles;
}

/// Adds `n` entries NAME-0, NAME-1 ..., spread round robin over three zones.
void AddMembers(Members& members, const std::string& name, std::size_t n,
                const EntryCapacity& capacity) {
  for (std::size_t i = 0; i < n; ++i) {
    members[EntryId(name + "-" + std::to_string(i))] = {
        .zone = ZoneId("z" + std::to_string(i % 3)), .capacity = capacity};
  }
}

std::map<EntryId, std::size_t> CountRolesByEntry(const Owners& owners) {
  std::map<EntryId, std::size_t> count;
  for (const auto& [pool, entry] : owners) ++count[entry];
  return count;
}

std::size_t MostRoles(const Owners& owners) {
  std::size_t most = 0;
  for (const auto& [entry, n] : CountRolesByEntry(owners))
    most = std::max(most, n);
  return most;
}

std::size_t CountRolesOfGroup(const Owners& owners, const std::string& name) {
  std::size_t n = 0;
  for (const auto& [pool, entry] : owners)
    n += entry.value().starts_with(name) ? 1 : 0;
  return n;
}

/// The parts of an entry that acquire roles, on a store shared with others.
struct Entry {
  Entry(FakeKvStore& store, VirtualTimerService& timers,
        const std::string& name, const EntryCapacity& capacity,
        const std::string& incarnation = "1")
      : client(store.Client(timers, faults)),
        leases(store.Leases(timers, faults)),
        lease(leases, timers,
              {.ttl = seconds(3), .drift_margin = milliseconds(300)},
              {.on_held = [this](const LeaseId&) { ownership.Update(); }}),
        ownership(client, timers, lease, view, Settings(name, capacity),
                  IncarnationId(name + "." + incarnation),
                  {.on_acquired = [this](const PoolId&, FencingToken,
                                         const LeaseId&) { ++acquisitions; },
                   .on_lost = [](const PoolId&) {}}),
        cluster(client, timers, kClusterPrefix,
                {.on_change =
                     [this, &timers](const StoredKey& change) {
                       view.Apply(change, timers.Now());
                       if (cluster.is_loaded()) ownership.Update();
                     },
                 .on_loaded = [this] { ownership.Update(); }}) {
    lease.Start();
    cluster.Start();
    ownership.SetRoles(DeploymentRoles());
  }

  const JobServiceSettings& Settings(const std::string& name,
                                     const EntryCapacity& capacity) {
    settings.entry = EntryId(name);
    settings.zone = ZoneId("z");
    settings.peer_address = name + ":1";
    settings.capacity = capacity;
    return settings;
  }

  std::size_t acquisitions = 0;
  StoreFaults faults;
  JobServiceSettings settings;
  TransactionClient client;
  StoreClient leases;
  ClusterView view;
  LeaseKeeper lease;
  Ownership ownership;
  PrefixFollower cluster;
};

using Entries = std::vector<std::unique_ptr<Entry>>;

/// Adds `n` strong entries that start at once.
void AddEntries(Entries& entries, FakeKvStore& store,
                VirtualTimerService& timers, std::size_t n) {
  for (std::size_t i = 0; i < n; ++i) {
    entries.push_back(std::make_unique<Entry>(
        store, timers, "e" + std::to_string(entries.size()), kStrong));
  }
}

/// Replaces the process of entry `i`. The former one stays in `ended`, without
/// a connection, since calls in flight refer to it.
void RestartEntry(Entries& entries, std::size_t i, Entries& ended,
                  FakeKvStore& store, VirtualTimerService& timers) {
  entries[i]->faults.is_cut = true;
  ended.push_back(std::move(entries[i]));
  entries[i] = std::make_unique<Entry>(store, timers, "e" + std::to_string(i),
                                       kStrong, "2");
}

/// Number of roles that some entry owns; a role that several entries own counts
/// for each.
std::size_t CountOwnedRoles(const Entries& entries) {
  std::size_t n = 0;
  for (const auto& it : entries) n += it->ownership.owned().size();
  return n;
}

std::size_t CountAcquisitions(const Entries& entries) {
  std::size_t n = 0;
  for (const auto& it : entries) n += it->acquisitions;
  return n;
}

}  // namespace

// Guards against weak entries that acquire all roles because they started
// first.
TEST_CASE("entries that start one after another get roles by capacity") {
  VirtualTimerService timers;
  FakeKvStore store(timers);
  std::vector<std::unique_ptr<Entry>> entries;
  // The strong entries start last.
  for (int i = 0; i < 12; ++i) {
    const bool is_strong = i >= 6;
    entries.push_back(std::make_unique<Entry>(
        store, timers, (is_strong ? "strong-" : "weak-") + std::to_string(i),
        is_strong ? kStrong : kWeak));
    timers.Advance(milliseconds(120));
  }
  timers.Advance(seconds(3));
  for (int i = 0; i < 12; ++i) {
    CAPTURE(i);
    CHECK(entries[i]->ownership.owned().size() == (i >= 6 ? 1 : 0));
  }
}

// Guards against a startup wait that each further entry extends without bound,
// and against applying the startup wait to takeovers.
TEST_CASE("the startup wait is bounded and does not delay takeovers") {
  VirtualTimerService timers;
  FakeKvStore store(timers);
  std::vector<std::unique_ptr<Entry>> entries;
  for (int i = 0; i < 8; ++i) {
    entries.push_back(std::make_unique<Entry>(
        store, timers, "e" + std::to_string(i), kStrong));
    timers.Advance(milliseconds(400));
  }
  const auto owned = [&] {
    std::size_t n = 0;
    for (const auto& it : entries) n += it ? it->ownership.owned().size() : 0;
    return n;
  };
  CHECK(owned() == 6);
  // The lease of the lost owner lapses within its TTL of 3 s.
  const auto lost = std::find_if(
      entries.begin(), entries.end(),
      [](const auto& it) { return !it->ownership.owned().empty(); });
  (*lost)->faults.is_cut = true;
  // The fake store expires leases only while it handles calls; the other
  // entries make these.
  timers.Advance(milliseconds(3500));
  std::set<PoolId> pools;
  for (const auto& it : entries) {
    if (it == *lost) continue;
    for (const auto& [pool, token] : it->ownership.owned()) pools.insert(pool);
  }
  CHECK(pools.size() == 6);
}

// Guards against the first entry that has a lease again acquiring all roles.
TEST_CASE("after all leases have lapsed roles wait for the other entries") {
  VirtualTimerService timers;
  FakeKvStore store(timers);
  Entries entries;
  AddEntries(entries, store, timers, 6);
  timers.Advance(seconds(4));
  REQUIRE(CountOwnedRoles(entries) == 6);
  for (const auto& it : entries) it->faults.is_cut = true;
  timers.Advance(seconds(5));
  store.RevokeLeases();
  entries[0]->faults.is_cut = false;
  for (int i = 0; i < 40; ++i) {
    CAPTURE(i);
    if (i == 13) {
      for (const auto& it : entries) it->faults.is_cut = false;
    }
    timers.Advance(milliseconds(100));
    if (entries[0]->lease.is_held() && i > 2)
      CHECK(entries[0]->ownership.owned().size() <= 1);
  }
  CHECK(CountOwnedRoles(entries) == 6);
  for (const auto& it : entries) CHECK(it->ownership.owned().size() == 1);
}

// Guards against an entry that has a lease again before any entry is registered
// and takes the view without members for a takeover.
TEST_CASE("roles wait while no entry is registered") {
  VirtualTimerService timers;
  FakeKvStore store(timers);
  Entries entries;
  for (int i = 0; i < 6; ++i) {
    AddEntries(entries, store, timers, 1);
    timers.Advance(milliseconds(130));
  }
  timers.Advance(seconds(4));
  REQUIRE(CountOwnedRoles(entries) == 6);
  store.RevokeLeases();
  std::size_t most = 0;
  for (int i = 0; i < 400; ++i) {
    timers.Advance(milliseconds(10));
    for (const auto& it : entries)
      most = std::max(most, it->ownership.owned().size());
  }
  CHECK(most == 1);
  CHECK(CountOwnedRoles(entries) == 6);
}

// Guards against a startup wait without bound when the other entries do not
// come back.
TEST_CASE("an entry that stays alone acquires all roles in the end") {
  VirtualTimerService timers;
  FakeKvStore store(timers);
  Entries entries;
  AddEntries(entries, store, timers, 6);
  timers.Advance(seconds(4));
  for (const auto& it : entries) it->faults.is_cut = true;
  timers.Advance(seconds(5));
  store.RevokeLeases();
  entries[0]->faults.is_cut = false;
  // Up to 2.5 s until the lease and the watch are back, and the longest startup
  // wait.
  timers.Advance(seconds(5));
  CHECK(entries[0]->ownership.owned().size() == 6);
}

// Guards against an entry that acquires all roles of its previous process, more
// than it can carry, while others own none.
TEST_CASE("a restarted entry takes back only the roles that it can carry") {
  VirtualTimerService timers;
  FakeKvStore store(timers);
  Entries ended;
  Entries entries;
  AddEntries(entries, store, timers, 1);
  timers.Advance(seconds(4));
  REQUIRE(CountOwnedRoles(entries) == 6);
  AddEntries(entries, store, timers, 5);
  timers.Advance(milliseconds(300));
  REQUIRE(entries[0]->ownership.owned().size() == 6);
  RestartEntry(entries, 0, ended, store, timers);
  // Shorter than the lease of the previous process.
  timers.Advance(milliseconds(700));
  CHECK(CountOwnedRoles(entries) == 6);
  CHECK(entries[0]->ownership.owned().size() <= 3);
  CHECK(entries[0]->ownership.owned().size() >= 1);
}

// Guards against needless changes of owner after a restart.
TEST_CASE("a restarted entry takes back its share at once") {
  VirtualTimerService timers;
  FakeKvStore store(timers);
  Entries ended;
  Entries entries;
  AddEntries(entries, store, timers, 6);
  timers.Advance(seconds(4));
  for (std::size_t i = 0; i < 6; ++i) {
    CAPTURE(i);
    REQUIRE(entries[i]->ownership.owned().size() == 1);
    const PoolId role = entries[i]->ownership.owned().begin()->first;
    RestartEntry(entries, i, ended, store, timers);
    timers.Advance(milliseconds(100));
    CHECK(entries[i]->ownership.owned().size() == 1);
    CHECK(entries[i]->ownership.owned().contains(role));
  }
}

// Guards against an entry that was alone for a while and stays overloaded.
TEST_CASE("an entry with most of the work hands roles over one at a time") {
  VirtualTimerService timers;
  FakeKvStore store(timers);
  Entries entries;
  AddEntries(entries, store, timers, 1);
  timers.Advance(seconds(4));
  REQUIRE(CountOwnedRoles(entries) == 6);
  AddEntries(entries, store, timers, 5);
  std::size_t fewest = 6;
  for (int i = 0; i < 1000; ++i) {
    timers.Advance(milliseconds(10));
    const std::size_t n = entries[0]->ownership.owned().size();
    // Never takes a role back.
    CHECK(n <= fewest);
    fewest = std::min(fewest, n);
    CHECK(CountOwnedRoles(entries) >= 5);
  }
  CHECK(CountOwnedRoles(entries) == 6);
  CHECK(entries[0]->ownership.owned().size() <= 4);
  for (const auto& it : entries) {
    if (it != entries[0]) CHECK(it->ownership.owned().size() <= 1);
  }
  // Each role that was handed over had one further owner.
  const std::size_t moved = 6 - entries[0]->ownership.owned().size();
  CHECK(CountAcquisitions(entries) == 6 + moved);
}

// Guards against hand-overs without need, which stop starts of tasks for a
// moment.
TEST_CASE("no role is handed over in a balanced deployment") {
  for (const std::size_t n : {1U, 2U, 3U, 6U, 12U}) {
    CAPTURE(n);
    VirtualTimerService timers;
    FakeKvStore store(timers);
    Entries entries;
    AddEntries(entries, store, timers, n);
    timers.Advance(seconds(4));
    CHECK(CountOwnedRoles(entries) == 6);
    timers.Advance(seconds(60));
    CHECK(CountAcquisitions(entries) == 6);
  }
}

// Guards against roles that go back and forth between entries, and against
// hand-overs of what ChooseOwners() has just chosen.
TEST_CASE("hand-overs end and move no role twice") {
  std::size_t moved = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    const Roles roles = DeploymentRoles();
    Members members;
    AddMembers(members, "strong", random.Below(4), kStrong);
    AddMembers(members, "weak", 1 + random.Below(8), kWeak);
    Owners owned = ChooseOwners(roles, {}, members);
    for (const auto& [entry, member] : members)
      CHECK_FALSE(ChooseHandOver(roles, entry, owned, members));
    std::vector<EntryId> entries;
    for (const auto& [entry, member] : members) entries.push_back(entry);
    for (auto& [role, owner] : owned)
      owner = entries[random.Chance(0.7) ? 0 : random.Below(entries.size())];
    std::set<PoolId> handed_over;
    for (std::size_t i = 0; i < entries.size();) {
      const auto next = ChooseHandOver(roles, entries[i], owned, members);
      if (!next) {
        ++i;
        continue;
      }
      CAPTURE(next->role.value());
      REQUIRE(owned.at(next->role) == entries[i]);
      REQUIRE(handed_over.insert(next->role).second);
      owned.erase(next->role);
      // All entries choose the one that was named.
      CHECK(ChooseOwners(roles, owned, members).at(next->role) == next->to);
      owned[next->role] = next->to;
    }
    for (const EntryId& it : entries)
      CHECK_FALSE(ChooseHandOver(roles, it, owned, members));
    moved += handed_over.size();
  }
  CHECK(moved > 300);
}

// Guards against roles without an owner, and against an entry with two roles
// while equal entries have none.
TEST_CASE("equal entries get one role each") {
  for (const EntryCapacity& it : {kStrong, kWeak, EntryCapacity()}) {
    Members members;
    AddMembers(members, "e", 43, it);
    const Owners owners = ChooseOwners(DeploymentRoles(), {}, members);
    CHECK(owners.size() == 6);
    CHECK(MostRoles(owners) == 1);
  }
}

// Guards against roles on entries with too little CPU or bandwidth while
// stronger entries are idle.
TEST_CASE("roles go to the strong entries, one each") {
  Members members;
  AddMembers(members, "strong", 8, kStrong);
  AddMembers(members, "weak", 35, kWeak);
  const Owners owners = ChooseOwners(DeploymentRoles(), {}, members);
  CHECK(owners.size() == 6);
  CHECK(CountRolesOfGroup(owners, "strong") == 6);
  CHECK(MostRoles(owners) == 1);
}

// Guards against one entry that owns all roles, whose loss would stop all
// pools.
TEST_CASE("a single strong entry gets only part of the roles") {
  Members members;
  AddMembers(members, "strong", 1, kStrong);
  AddMembers(members, "weak", 35, kWeak);
  const Owners owners = ChooseOwners(DeploymentRoles(), {}, members);
  CHECK(owners.size() == 6);
  CHECK(CountRolesOfGroup(owners, "strong") >= 2);
  CHECK(CountRolesOfGroup(owners, "strong") <= 4);
  // A weak entry has the capacity for one role only.
  for (const auto& it : CountRolesByEntry(owners)) {
    CAPTURE(it.first.value());
    CHECK((it.second == 1 || it.first == EntryId("strong-0")));
  }
}

// Guards against an availability zone whose loss would stop most owners.
TEST_CASE("roles are spread evenly over the availability zones") {
  Members members;
  AddMembers(members, "e", 30, kWeak);
  const Owners owners = ChooseOwners(DeploymentRoles(), {}, members);
  std::map<ZoneId, std::size_t> zones;
  for (const auto& [pool, entry] : owners) ++zones[members[entry].zone];
  for (const auto& [zone, n] : zones) CHECK(n == 2);
  CHECK(zones.size() == 3);
}

// Guards against choosing an entry that is already loaded with other roles.
TEST_CASE("roles that an entry already owns count towards its load") {
  Members members;
  AddMembers(members, "strong", 2, kStrong);
  AddMembers(members, "weak", 3, kWeak);
  Owners owned = {{PoolId("p0"), EntryId("strong-0")},
                  {PoolId("p1"), EntryId("strong-0")},
                  {PoolId("p2"), EntryId("gone")}};
  const Roles roles = DeploymentRoles();
  const Owners owners = ChooseOwners(roles, owned, members);
  CHECK(owners.size() == 3);
  CHECK(owners.at(PoolId("p3")) == EntryId("strong-1"));
}

// Guards against a light role (spare pool or fleet) that counts as much as a
// pool, so that another entry gets two pools.
TEST_CASE("four entries get one regular pool each") {
  Members members;
  AddMembers(members, "e", 4, kStrong);
  const Owners owners = ChooseOwners(DeploymentRoles(), {}, members);
  std::map<EntryId, std::size_t> regular_pools;
  for (const auto& [pool, entry] : owners)
    regular_pools[entry] +=
        DeploymentRoles().at(pool) == RoleKind::kPool ? 1 : 0;
  for (const auto& [entry, n] : regular_pools) CHECK(n == 1);
  CHECK(owners.at(PoolId("spare")) != owners.at(PoolId(kFleetRole)));
}

// Guards against incompatible member records: entries that run another version
// must be able to choose each other as owners.
TEST_CASE("a member record without capacity decodes with default capacity") {
  const MemberRecord member{.peer_address = "10.0.0.1:1",
                            .zone = ZoneId("z"),
                            .incarnation = IncarnationId("i"),
                            .capacity = kWeak};
  const auto decoded = DecodeMember(EncodeMember(member));
  REQUIRE(decoded);
  CHECK(decoded->capacity == kWeak);
  const auto old =
      DecodeMember(R"({"peer":"10.0.0.1:1","zone":"z","incarnation":"i"})");
  REQUIRE(old);
  CHECK(old->capacity == EntryCapacity());
  CHECK_FALSE(DecodeMember(
      R"({"peer":"a:1","zone":"z","incarnation":"i","cpu":"much"})"));
}

}  // namespace pomelomill
