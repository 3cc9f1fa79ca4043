#include "pomelomill/membership/member_table.h"

#include <doctest/doctest.h>

#include "pomelomill/membership.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

MemberInfo Info(const std::string& entry, int run, std::uint64_t registration) {
  return {.entry = EntryId(entry),
          .incarnation = IncarnationId(entry + "#" + std::to_string(run)),
          .region = RegionId("moravia"),
          .address = "127.0.0.1:1",
          .registration = Version(registration)};
}

MemberReport ReportOf(const MemberInfo& info, std::uint64_t version) {
  MemberReport report;
  report.info = info;
  report.state_version = Version(version);
  return report;
}

constexpr Instant kStart = Instant(seconds(1000));

// Guards against an old run of an entry that is taken for the current one
// after its messages were delayed.
TEST_CASE("a replaced incarnation never comes back") {
  MemberTable table(Info("a", 1, 1), {});
  REQUIRE(table.Heard(ReportOf(Info("b", 1, 4), 1), kStart));
  REQUIRE(table.Heard(ReportOf(Info("b", 2, 6), 1), kStart));
  CHECK(table.members().size() == 1);
  const Status late = table.Heard(ReportOf(Info("b", 1, 4), 9), kStart);
  REQUIRE_FALSE(late.has_value());
  CHECK(late.error() == MembershipError::kDeadIncarnation);
  CHECK_FALSE(table.Learn(Info("b", 1, 9)).has_value());
  CHECK(table.highest_state_version() == Version(1));
}

// Guards against the same failure when the new run is heard first.
TEST_CASE("an incarnation with an earlier registration is refused") {
  MemberTable table(Info("a", 1, 1), {});
  REQUIRE(table.Heard(ReportOf(Info("b", 2, 6), 1), kStart));
  const Status late = table.Heard(ReportOf(Info("b", 1, 4), 9), kStart);
  REQUIRE_FALSE(late.has_value());
  CHECK(late.error() == MembershipError::kDeadIncarnation);
  CHECK(table.is_dead(Info("b", 1, 4).incarnation));
}

// Guards against a report that arrives late and takes back what its sender
// has confirmed, and against versions that go down.
TEST_CASE("reports out of order do not lower what a member has reached") {
  MemberTable table(Info("a", 1, 1), {});
  MemberReport newer = ReportOf(Info("b", 1, 2), 7);
  newer.config_revision = Revision(3);
  MemberReport older = ReportOf(Info("b", 1, 2), 5);
  older.config_revision = Revision(2);
  REQUIRE(table.Heard(newer, kStart));
  REQUIRE(table.Heard(older, kStart + seconds(1)));
  const Member* member = table.Find(newer.info.incarnation);
  REQUIRE(member != nullptr);
  CHECK(member->report.state_version == Version(7));
  CHECK(member->report.config_revision == Revision(3));
  CHECK(table.highest_revision() == Revision(3));
}

// Guards against failure detection that reacts to one missed exchange or not
// at all.
TEST_CASE("missed exchanges make a member suspected, then lost") {
  MemberTable table(Info("a", 1, 1), {});
  const MemberInfo b = Info("b", 1, 2);
  REQUIRE(table.Learn(b));
  CHECK(table.Health(b.incarnation, kStart) == MemberHealth::kUnheard);
  REQUIRE(table.Heard(ReportOf(b, 1), kStart));
  CHECK(table.Health(b.incarnation, kStart + milliseconds(1500)) ==
        MemberHealth::kAlive);
  CHECK(table.Health(b.incarnation, kStart + milliseconds(2500)) ==
        MemberHealth::kSuspected);
  CHECK(table.Health(b.incarnation, kStart + seconds(10)) ==
        MemberHealth::kLost);
}

// Guards against a share owner that nobody can report about because its row
// is gone: it could then never be considered fenced.
TEST_CASE("contacts cover all share owners, also replaced and unknown ones") {
  MemberTable table(Info("a", 1, 1), {});
  REQUIRE(table.Heard(ReportOf(Info("b", 1, 2), 1), kStart));
  REQUIRE(table.Heard(ReportOf(Info("b", 2, 3), 1), kStart + seconds(2)));
  std::vector<EntryShare> shares;
  for (const MemberInfo& info :
       {Info("a", 1, 1), Info("b", 1, 2), Info("b", 2, 3), Info("c", 1, 4)}) {
    shares.push_back({.entry = info.entry, .incarnation = info.incarnation});
  }
  const auto contacts = table.Contacts(shares, kStart + seconds(3));
  REQUIRE(contacts.size() == 3);
  CHECK(contacts[0].age == Duration(seconds(3)));
  CHECK(contacts[1].age == Duration(seconds(1)));
  CHECK_FALSE(contacts[2].age.has_value());
}

// Guards against unbounded memory when a peer invents members.
TEST_CASE("the member table is bounded") {
  MembershipSettings settings;
  settings.max_members = 3;
  MemberTable table(Info("a", 1, 1), settings);
  for (int i = 0; i < 3; ++i) REQUIRE(table.Learn(Info("b", i, 0)));
  const Status full = table.Learn(Info("c", 1, 0));
  REQUIRE_FALSE(full.has_value());
  CHECK(full.error() == MembershipError::kTableFull);
}

// Guards against a configuration or region state that reverts (P8).
TEST_CASE("a state gate refuses every older state, whatever its source") {
  StateGate<Revision, std::string> gate;
  const auto text = [](const char* s) {
    return std::make_shared<const std::string>(s);
  };
  CHECK(gate.Offer(Revision(3), text("3"), StateSource::kPeer).value());
  CHECK_FALSE(gate.Offer(Revision(3), text("x"), StateSource::kStore).value());
  CHECK_FALSE(gate.Offer(Revision(2), text("2"), StateSource::kStore));
  gate.Seen(Revision(5));
  CHECK(gate.is_behind());
  CHECK_FALSE(gate.Offer(Revision(4), text("4"), StateSource::kStartUp));
  CHECK(*gate.value() == "3");
  CHECK(gate.Offer(Revision(5), text("5"), StateSource::kStore).value());
  CHECK_FALSE(gate.is_behind());
  CHECK(gate.refused() == 2);
}

}  // namespace
}  // namespace pomelomill
