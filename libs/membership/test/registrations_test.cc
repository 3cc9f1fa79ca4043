#include "pomelomill/membership/registrations.h"

#include <doctest/doctest.h>

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a fencing conclusion from a listing that arrived after a
// later one (found by the random schedules, seed 4502): the entry had
// registered in between.
TEST_CASE("a listing that arrives out of order is ignored") {
  Registrations registrations({});
  const Registration b{.entry = EntryId("b"),
                       .incarnation = IncarnationId("b-1"),
                       .version = Version(3)};
  const Instant start(seconds(100));
  registrations.Observe({}, Version(1), start, start);
  registrations.Observe({b}, Version(2), start + seconds(2),
                        start + seconds(2));
  registrations.Observe({}, Version(1), start + seconds(1), start + seconds(3));
  CHECK_FALSE(
      registrations.HasLapsed(b.incarnation, Version(1), start + seconds(60)));
}

// Guards against a lease that is taken for lapsed within the margin for
// clock drift, or on a listing from before the version in question.
TEST_CASE("a lease has lapsed after the margin and at known versions only") {
  const MembershipSettings settings;
  Registrations registrations(settings);
  const Registration b{.entry = EntryId("b"),
                       .incarnation = IncarnationId("b-1"),
                       .version = Version(3)};
  const Instant start(seconds(100));
  CHECK_FALSE(registrations.HasLapsed(b.incarnation, Version(), start));
  registrations.Observe({b}, Version(4), start, start);
  const Instant missed = start + seconds(1);
  registrations.Observe({}, Version(4), missed, missed);
  const Duration margin =
      settings.Stretched(settings.lease_ttl) - settings.lease_ttl;
  CHECK_FALSE(
      registrations.HasLapsed(b.incarnation, Version(4), missed + margin));
  CHECK(registrations.HasLapsed(b.incarnation, Version(4),
                                missed + margin + milliseconds(1)));
  CHECK_FALSE(
      registrations.HasLapsed(b.incarnation, Version(5), missed + seconds(60)));
}

}  // namespace
}  // namespace pomelomill
