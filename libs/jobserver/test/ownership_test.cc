#include "ownership.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "cluster_view.h"
#include "pomelomill/base/virtual_timer_service.h"
#include "pomelomill/jobtesting.h"
#include "store_keys.h"
#include "store_records.h"

namespace pomelomill {
namespace {

using Members = std::map<EntryId, MemberRecord>;
using Owners = std::map<PoolId, EntryId>;

const EntryCapacity kStrong{
    .cpu_cores = 0.5, .memory_mb = 512, .link_mbps = 200};
const EntryCapacity kWeak{.cpu_cores = 0.12, .memory_mb = 160, .link_mbps = 10};

/// Four pools, the spare pool and the fleet, as on the users' sites.
Roles SiteRoles() {
  Roles roles = {{PoolId(kFleetPool), RoleKind::kFleet},
                 {PoolId("spare"), RoleKind::kSparePool}};
  for (const char* it : {"p0", "p1", "p2", "p3"})
    roles[PoolId(it)] = RoleKind::kPool;
  return roles;
}

/// Entries NAME-0 and so on, over three zones in turn.
void AddMembers(Members& members, const std::string& name, std::size_t n,
                const EntryCapacity& capacity) {
  for (std::size_t i = 0; i < n; ++i) {
    members[EntryId(name + "-" + std::to_string(i))] = {
        .zone = ZoneId("z" + std::to_string(i % 3)), .capacity = capacity};
  }
}

std::map<EntryId, std::size_t> RolesOf(const Owners& owners) {
  std::map<EntryId, std::size_t> count;
  for (const auto& [pool, entry] : owners) ++count[entry];
  return count;
}

std::size_t MostRoles(const Owners& owners) {
  std::size_t most = 0;
  for (const auto& [entry, n] : RolesOf(owners)) most = std::max(most, n);
  return most;
}

std::size_t RolesOfGroup(const Owners& owners, const std::string& name) {
  std::size_t n = 0;
  for (const auto& [pool, entry] : owners)
    n += entry.value().starts_with(name) ? 1 : 0;
  return n;
}

}  // namespace

// Guards against a role without an owner, and against two roles on one of many
// equal entries.
TEST_CASE("equal entries get one role each") {
  for (const EntryCapacity& it : {kStrong, kWeak, EntryCapacity()}) {
    Members members;
    AddMembers(members, "e", 43, it);
    const Owners owners = ChooseOwners(SiteRoles(), {}, members);
    CHECK(owners.size() == 6);
    CHECK(MostRoles(owners) == 1);
  }
}

// Guards against roles on entries whose link and processor are too small for
// them while others stand idle.
TEST_CASE("roles go to the strong entries, one each") {
  Members members;
  AddMembers(members, "strong", 8, kStrong);
  AddMembers(members, "weak", 35, kWeak);
  const Owners owners = ChooseOwners(SiteRoles(), {}, members);
  CHECK(owners.size() == 6);
  CHECK(RolesOfGroup(owners, "strong") == 6);
  CHECK(MostRoles(owners) == 1);
}

// Guards against one entry whose loss stops all pools.
TEST_CASE("a single strong entry gets a part of the roles only") {
  Members members;
  AddMembers(members, "strong", 1, kStrong);
  AddMembers(members, "weak", 35, kWeak);
  const Owners owners = ChooseOwners(SiteRoles(), {}, members);
  CHECK(owners.size() == 6);
  CHECK(RolesOfGroup(owners, "strong") >= 2);
  CHECK(RolesOfGroup(owners, "strong") <= 4);
  // Weak entries are full with one role.
  for (const auto& it : RolesOf(owners)) {
    CAPTURE(it.first.value());
    CHECK((it.second == 1 || it.first == EntryId("strong-0")));
  }
}

// Guards against the loss of a zone that takes most owners with it.
TEST_CASE("equal entries of few zones share the roles by zone") {
  Members members;
  AddMembers(members, "e", 30, kWeak);
  const Owners owners = ChooseOwners(SiteRoles(), {}, members);
  std::map<ZoneId, std::size_t> zones;
  for (const auto& [pool, entry] : owners) ++zones[members[entry].zone];
  for (const auto& [zone, n] : zones) CHECK(n == 2);
  CHECK(zones.size() == 3);
}

// Guards against a chosen entry that already has what it can carry.
TEST_CASE("what entries own counts") {
  Members members;
  AddMembers(members, "strong", 2, kStrong);
  AddMembers(members, "weak", 3, kWeak);
  Owners owned = {{PoolId("p0"), EntryId("strong-0")},
                  {PoolId("p1"), EntryId("strong-0")},
                  {PoolId("p2"), EntryId("gone")}};
  const Roles roles = SiteRoles();
  const Owners owners = ChooseOwners(roles, owned, members);
  CHECK(owners.size() == 3);
  CHECK(owners.at(PoolId("p3")) == EntryId("strong-1"));
}

// Guards against a light role that takes the place of a pool.
TEST_CASE("few entries share the busy pools evenly") {
  Members members;
  AddMembers(members, "e", 4, kStrong);
  const Owners owners = ChooseOwners(SiteRoles(), {}, members);
  std::map<EntryId, std::size_t> busy;
  for (const auto& [pool, entry] : owners)
    busy[entry] += SiteRoles().at(pool) == RoleKind::kPool ? 1 : 0;
  for (const auto& [entry, n] : busy) CHECK(n == 1);
  CHECK(owners.at(PoolId("spare")) != owners.at(PoolId(kFleetPool)));
}

// Guards against entries that cannot be chosen by a version before theirs.
TEST_CASE("a member record carries its capacity, an old one the defaults") {
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
