#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "membership_simulation.h"

namespace pomelomill {
namespace {

using std::chrono::seconds;

// Guards against an entry that sends work although the control lease holder
// counts it as fenced (P6, P7), and against slot shares that two entries use
// at the same time. Clocks differ by the whole allowed drift.
TEST_CASE("a fenced entry never holds a send permit") {
  std::size_t fenced = 0;
  std::size_t share_changes = 0;
  CHECK(rc::check([&](std::uint64_t seed) {
    MembershipSimulation simulation(seed, BrokenRule::kNone);
    const auto fault = simulation.Run(seconds(40));
    if (fault) RC_FAIL("seed " + std::to_string(seed) + ": " + *fault);
    fenced += simulation.fenced();
    share_changes += simulation.share_changes();
  }));
  // The property is empty unless entries are fenced and shares do move.
  MESSAGE(fenced, " incarnations fenced, ", share_changes, " share changes");
  CHECK(fenced > 0);
  CHECK(share_changes > 0);
}

struct BrokenCase {
  BrokenRule broken;
  /// A seed known to show the fault; the search goes on from there when a
  /// change of the simulation has moved it.
  std::uint64_t first_seed;
};

// Guards against a check that cannot fail: each rule of the protocol is
// broken in turn, and the same check must find it on some schedule.
TEST_CASE("the check finds every broken rule") {
  constexpr std::uint64_t kSchedules = 3000;
  for (const BrokenCase& item :
       {BrokenCase{BrokenRule::kContactFromResponse, 1},
        BrokenCase{BrokenRule::kIgnoreVersions, 181},
        BrokenCase{BrokenRule::kNoReadAfterRegistration, 2},
        BrokenCase{BrokenRule::kStaleListing, 1808},
        BrokenCase{BrokenRule::kNoDriftMargin, 255}}) {
    std::uint64_t seed = item.first_seed;
    const std::uint64_t end = seed + kSchedules;
    while (seed < end &&
           !MembershipSimulation(seed, item.broken).Run(seconds(40))) {
      ++seed;
    }
    CAPTURE(static_cast<int>(item.broken));
    CHECK(seed < end);
  }
}

}  // namespace
}  // namespace pomelomill
