#include "pomelomill/admission/admission_book.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <limits>
#include <set>
#include <string>

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const PoolId kPool("p");

/// A pool of ten cores whose backlog of jobs that can be in time takes
/// `drain_time`.
PoolBacklog MakeBacklog(Duration drain_time) {
  PoolBacklog backlog;
  backlog.cpu_millis = 10'000;
  backlog.levels = {{.priority = 0}};
  backlog.levels[0].core_ms[0] =
      static_cast<std::uint64_t>(ToMillis(drain_time)) * 10;
  return backlog;
}

/// A job of 10 s on ten cores with an objective of 20 s.
Submission MakeSubmission(const std::string& id) {
  return {.job = JobId(id),
          .pool = kPool,
          .demand = {.critical_path = seconds(10), .core_ms = 100'000},
          .policy = {.stretch = 2}};
}

struct Book {
  std::optional<Rejection> Decide(const std::string& id,
                                  const PoolBacklog* backlog,
                                  Duration at = {}) {
    return book.Decide(MakeSubmission(id), {.backlog = backlog}, Instant{at});
  }

  Random random{1};
  AdmissionBook book{random};
};

}  // namespace

TEST_CASE("admission without a backlog admits every job") {
  // Guards against rejections by an entry that knows nothing of the pool.
  Book it;
  CHECK_FALSE(it.Decide("a", nullptr));
  const PoolBacklog small = MakeBacklog(kMinBacklog - milliseconds(1));
  CHECK_FALSE(it.Decide("a", &small));
}

TEST_CASE("admission follows the objective") {
  // Guards against the rejection of a job that can end in time, and against the
  // admission of one whose result would be of no use.
  Book it;
  const PoolBacklog in_time = MakeBacklog(seconds(10));
  CHECK_FALSE(it.Decide("a", &in_time));
  // In time if its tasks take twice as long as expected, which estimates are
  // off by.
  const PoolBacklog perhaps_in_time = MakeBacklog(seconds(20));
  CHECK_FALSE(it.Decide("a", &perhaps_in_time));
  // Late, and still of use when it returns after the backlog.
  const PoolBacklog late = MakeBacklog(seconds(21));
  const auto rejection = it.Decide("b", &late);
  REQUIRE(rejection);
  CHECK(rejection->reason == RejectReason::kLate);
  CHECK(rejection->retry_after_s >= 21);
  // Late, and of no use when it returns: the pool is free again after 49 s.
  const PoolBacklog last_chance = MakeBacklog(seconds(50));
  CHECK_FALSE(it.Decide("c", &last_chance));
  const PoolBacklog no_use = MakeBacklog(seconds(51));
  const auto useless = it.Decide("d", &no_use);
  REQUIRE(useless);
  CHECK(useless->reason == RejectReason::kNoUse);
  CHECK(useless->retry_after_s >= 51);
}

TEST_CASE("admission gives later callers later times") {
  // Guards against callers that all return at the end of the backlog and make
  // the next peak.
  Book it;
  const PoolBacklog backlog = MakeBacklog(seconds(21));
  // Each promised job takes the pool 5 s.
  for (int i = 0; i < 4; ++i) {
    CAPTURE(i);
    Submission submission = MakeSubmission(std::to_string(i));
    submission.demand.core_ms = 50'000;
    const auto rejection =
        it.book.Decide(submission, {.backlog = &backlog}, Instant{});
    REQUIRE(rejection);
    CHECK(rejection->retry_after_s >= 21 + 5 * static_cast<unsigned>(i));
  }
}

TEST_CASE("admission serves a caller that keeps to its time before new ones") {
  Book it;
  const PoolBacklog backlog = MakeBacklog(seconds(21));
  const auto told = it.Decide("a", &backlog);
  REQUIRE(told);
  // Too early: the same time stands, and no more work is promised.
  const auto early = it.Decide("a", &backlog, seconds(5));
  REQUIRE(early);
  CHECK(early->reason == RejectReason::kEarly);
  CHECK(early->retry_after_s == told->retry_after_s - 5);
  CHECK(it.book.promises() == 1);
  const Duration then = seconds(told->retry_after_s);
  CHECK(it.Decide("b", &backlog, then));
  CHECK_FALSE(it.Decide("a", &backlog, then));
  // The promise is kept once.
  CHECK(it.Decide("a", &backlog, then));
}

TEST_CASE("admission spreads the times of callers") {
  // Guards against callers that are told the same second.
  Book it;
  PoolBacklog backlog = MakeBacklog(seconds(20));
  // Tiny jobs promise hardly any work, so only the random part differs.
  std::set<std::uint32_t> times;
  for (int i = 0; i < 50; ++i) {
    Submission submission = MakeSubmission(std::to_string(i));
    submission.demand = {.critical_path = seconds(1), .core_ms = 1'001};
    backlog.levels[0].core_ms[0] = 200'000;
    const auto rejection =
        it.book.Decide(submission, {.backlog = &backlog}, Instant{});
    REQUIRE(rejection);
    times.insert(rejection->retry_after_s);
  }
  CHECK(times.size() >= 3);
}

TEST_CASE(
    "admission remembers a bounded number of jobs, and those for a while") {
  // Guards against an entry that runs out of memory in an overload.
  Book it;
  const PoolBacklog backlog = MakeBacklog(seconds(100));
  for (std::size_t i = 0; i < 2 * AdmissionBook::kMaxPromises; ++i) {
    const auto rejection = it.Decide(std::to_string(i), &backlog);
    REQUIRE(rejection);
    CHECK(rejection->retry_after_s <= ToSeconds(AdmissionBook::kMaxRetryAfter));
  }
  CHECK(it.book.promises() == AdmissionBook::kMaxPromises);
  CHECK_FALSE(
      it.Decide("x", nullptr, AdmissionBook::kMaxRetryAfter + seconds(10)));
  CHECK(it.book.promises() == 0);
}

TEST_CASE("admission survives jobs of any size") {
  // Guards against overflows: callers choose the sizes of their jobs.
  Book it;
  const PoolBacklog backlog = MakeBacklog(std::chrono::hours(1));
  for (int i = 0; i < 100; ++i) {
    Submission submission = MakeSubmission(std::to_string(i));
    submission.demand.core_ms =
        i % 2 == 0 ? std::numeric_limits<std::uint64_t>::max() : 0;
    const auto rejection =
        it.book.Decide(submission, {.backlog = &backlog}, Instant{});
    if (rejection) CHECK(rejection->retry_after_s >= 1);
    it.book.Forget(JobId(std::to_string(i / 2)));
  }
  CHECK_FALSE(it.Decide("x", nullptr, std::chrono::hours(1)));
  CHECK(it.book.promises() == 0);
}

}  // namespace pomelomill
