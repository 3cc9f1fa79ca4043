#include "pomelomill/base.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace pomelomill {
namespace {

// Guards against a change of the hash, which is stored and sent.
TEST_CASE("the stable hash keeps its values") {
  CHECK(StableHash("") == 0x2d06800538d394c2ULL);
  CHECK(StableHash("vm-1") != StableHash("vm-2"));
  CHECK(StableHash("vm-1", 1) != StableHash("vm-1", 2));
}

// Guards against a random source that leaves its range or repeats differently
// for the same seed.
TEST_CASE("random numbers repeat from their seed and stay in range") {
  CHECK(rc::check([](std::uint64_t seed, std::uint32_t bound) {
    Random a(seed);
    Random b(seed);
    const std::uint64_t n = a.Below(bound);
    RC_ASSERT(n == b.Below(bound));
    RC_ASSERT((bound == 0 ? n == 0 : n < bound));
    const double u = a.Unit();
    RC_ASSERT(u >= 0.0);
    RC_ASSERT(u < 1.0);
  }));
}

// Guards against unbounded memory and against explanations of other subjects.
TEST_CASE("the decision log is bounded and answers for one subject") {
  DecisionLog log(2);
  for (int i = 0; i < 3; ++i) {
    Decision decision;
    decision.subjects = {{"vm", "vm-" + std::to_string(i % 2)}};
    decision.choice = std::to_string(i);
    CHECK(log.Record(decision) == static_cast<std::uint64_t>(i + 1));
  }
  CHECK(log.decisions().size() == 2);
  const auto found = log.Explain("vm", "vm-0");
  REQUIRE(found.size() == 1);
  CHECK(found[0].choice == "2");
  CHECK(log.Explain("pool", "vm-0").empty());
}

}  // namespace
}  // namespace pomelomill
