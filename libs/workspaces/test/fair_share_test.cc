#include "pomelomill/workspaces/fair_share.h"

#include <doctest/doctest.h>

#include <cmath>

namespace pomelomill {

// Guards against a participant that gets less than its weight's part while
// others get more than theirs, and against capacity that is divided to those
// who do not need it.
TEST_CASE("capacity goes by weight to those whose demand exceeds their part") {
  CHECK(std::isinf(FairLevel({}, 10)));
  CHECK(std::isinf(FairLevel({{1, 4}, {2, 6}}, 10)));
  CHECK(FairLevel({{1, 100}, {1, 100}}, 10) == doctest::Approx(5));
  CHECK(FairLevel({{1, 100}, {4, 100}}, 10) == doctest::Approx(2));
  // The first needs 1 of its 5; the other two divide the rest.
  CHECK(FairLevel({{1, 1}, {1, 100}, {2, 100}}, 10) == doctest::Approx(3));
  CHECK(FairLevel({{1, 8}}, 0) == doctest::Approx(0));
}

}  // namespace pomelomill
