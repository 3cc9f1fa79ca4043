#include <doctest/doctest.h>

#include <string>

#include "peak_replay.h"

namespace pomelomill {
namespace {

using Fault = ReplayOptions::Fault;

constexpr std::uint64_t kSeeds = 8;
/// Jobs that were refused in an outage return together, and then any change of
/// the order changes the result of one seed by several jobs; the difference of
/// the sums is not significant with fewer seeds.
constexpr std::uint64_t kSeedsOfOutage = 32;

ReplayResult ReplaySeeds(ReplayOptions options) {
  const std::uint64_t seeds =
      options.fault == Fault::kStoreAway ? kSeedsOfOutage : kSeeds;
  ReplayResult sum;
  for (options.seed = 1; options.seed <= seeds; ++options.seed)
    sum += Replay(options);
  return sum;
}

std::string ToText(const KindResult& kind) {
  return std::to_string(kind.in_time) + " in time, " +
         std::to_string(kind.served) + " of use, of " +
         std::to_string(kind.jobs);
}

/// No kind may be served less than half as often as all: a limit that the
/// callers set.
void CheckShare(const KindResult& kind, const KindResult& all) {
  CHECK(2LL * kind.served * all.jobs >= 1LL * all.served * kind.jobs);
}

void CheckAgainstAdmittingAll(ReplayOptions options) {
  const ReplayResult admission = ReplaySeeds(options);
  options.uses_admission = false;
  const ReplayResult baseline = ReplaySeeds(options);
  MESSAGE("admission: " << ToText(admission.all) << "; rejections "
                        << admission.rejections << ", given up "
                        << admission.given_up << ", admitted on return "
                        << admission.admitted_on_return << " of "
                        << admission.returned << ", told "
                        << admission.shortest_retry_after_s << " to "
                        << admission.longest_retry_after_s << " s");
  MESSAGE("largest tenth: " << ToText(admission.largest_tenth)
                            << "; next fifth: "
                            << ToText(admission.next_fifth));
  MESSAGE("admitting all: " << ToText(baseline.all) << "; given up "
                            << baseline.given_up << "; largest tenth: "
                            << ToText(baseline.largest_tenth)
                            << "; next fifth: " << ToText(baseline.next_fifth));
  REQUIRE(admission.rejections > 0);
  CHECK(admission.all.in_time >= baseline.all.in_time);
  CheckShare(admission.largest_tenth, admission.all);
  CheckShare(admission.next_fifth, admission.all);
  for (const KindResult& it : admission.queues) CheckShare(it, admission.all);
  CHECK(admission.rejected_without_backlog == 0);
  CHECK(admission.shortest_retry_after_s >= 1);
  // Callers that come back as told find room before they run out of retries.
  if (!options.returns_at_once && options.fault != Fault::kStoreAway)
    CHECK(admission.given_up == 0);
}

}  // namespace

// Each test guards against an admission that turns away jobs which the pool
// would have ended in time, or that makes one kind of job bear the overload.

TEST_CASE("peak of five times the mean: no fewer jobs are in time") {
  for (const double peak_per_s : {4.0, 8.0, 12.0}) {
    CAPTURE(peak_per_s);
    CheckAgainstAdmittingAll({.peak_per_s = peak_per_s});
  }
}

TEST_CASE("peak with a rack down: no fewer jobs are in time") {
  CheckAgainstAdmittingAll({.fault = Fault::kRackDown});
}

TEST_CASE("peak with the store away: no fewer jobs are in time") {
  CheckAgainstAdmittingAll({.fault = Fault::kStoreAway});
}

TEST_CASE("peak with the owner replaced: no fewer jobs are in time") {
  CheckAgainstAdmittingAll({.fault = Fault::kOwnerReplaced});
}

TEST_CASE("peak with callers that return at once: no fewer jobs are in time") {
  CheckAgainstAdmittingAll({.returns_at_once = true});
}

TEST_CASE("two queues that peak on one pool: no fewer jobs are in time") {
  CheckAgainstAdmittingAll({.queues = 2});
}

TEST_CASE("a load within the capacity of the pool is not rejected") {
  // Guards against rejections that overload does not call for.
  const ReplayResult result = ReplaySeeds({.peak_per_s = 1});
  CHECK(result.rejections == 0);
}

}  // namespace pomelomill
