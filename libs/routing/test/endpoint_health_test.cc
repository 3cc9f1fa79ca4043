#include <doctest/doctest.h>

#include <vector>

#include "pomelomill/routing.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;

Instant At(std::int64_t ms) { return Instant(milliseconds(ms)); }

// Guards against choosing a hot endpoint because its past latency was low.
TEST_CASE("cold endpoints are preferred to hot ones, then lower latency") {
  Random random(1);
  std::vector<Candidate> candidates = {
      {.index = 0, .in_flight = 7, .relative_latency = 0.1},
      {.index = 1, .in_flight = 1, .relative_latency = 2},
      {.index = 2, .in_flight = 1, .relative_latency = 1},
      {.index = 3, .in_flight = 1, .relative_latency = 2},
      {.index = 4, .in_flight = 1, .relative_latency = 2},
  };
  std::vector<int> chosen(candidates.size());
  for (int i = 0; i < 1000; ++i) {
    ++chosen[*ChooseEndpoint(candidates, random)];
  }
  CHECK(chosen[0] == 0);
  CHECK(chosen[2] > chosen[1]);
  CHECK(chosen[2] > chosen[3]);
  CHECK(!ChooseEndpoint({}, random).has_value());
}

// Guards against an endpoint that attracts load because it fails fast.
TEST_CASE("fast failures count as high latency and lead to ejection") {
  EndpointStats stats;
  for (int i = 0; i < 4; ++i) stats.Record(true, 0.01, At(0));
  CHECK(stats.relative_latency() > 1.5);
  const EjectionOptions options;
  CHECK(DetectOutlier(stats, 1, options) == EjectionReason::kNone);
  stats.Record(true, 0.01, At(0));
  CHECK(DetectOutlier(stats, 1, options) == EjectionReason::kFailures);
  EndpointStats slow;
  for (int i = 0; i < 40; ++i) slow.Record(false, 5, At(0));
  CHECK(DetectOutlier(slow, 1, options) == EjectionReason::kHighLatency);
  CHECK(DetectOutlier(slow, 4, options) == EjectionReason::kNone);
}

// Guards against an endpoint that is avoided for ever after one bad sample.
TEST_CASE("the latency of an endpoint without samples decays to the mean") {
  EndpointStats stats;
  stats.Record(true, 11, At(0));
  CHECK(stats.decayed_latency(At(0)) == doctest::Approx(2));
  CHECK(stats.decayed_latency(At(5000)) == doctest::Approx(1.5));
  CHECK(stats.decayed_latency(At(60000)) < 1.01);
}

// Guards against ejecting the whole pool.
TEST_CASE("the minimum share of endpoints, at least one, stays available") {
  const EjectionOptions options{.min_available_share = 0.5};
  CHECK(MaxEjected(0, options) == 0);
  CHECK(MaxEjected(1, options) == 0);
  CHECK(MaxEjected(2, options) == 1);
  CHECK(MaxEjected(9, options) == 4);
}

}  // namespace
}  // namespace pomelomill
