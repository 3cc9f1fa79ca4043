#include <doctest/doctest.h>

#include <cstdint>
#include <vector>

#include "link_fixture.h"

namespace pomelomill {

using std::chrono::milliseconds;

// Guards against TWICE and LIMIT: an order that was sent to the former
// incarnation of a worker is carried out by the next one.
TEST_CASE(
    "another incarnation gets tasks only once it has seen a higher token") {
  LinkFixture fixture;
  fixture.Answer(1000);
  fixture.Answer(1600);
  REQUIRE(fixture.link->may_start());
  fixture.Answer(20, 2);
  CHECK_FALSE(fixture.link->may_start());
  CHECK(fixture.link->needs_token());
  for (int i = 0; i < 3; ++i) {
    fixture.timers.Advance(milliseconds(110));
    // A long poll would delay the higher token.
    CHECK(fixture.sent.back().max_wait == Duration(0));
    fixture.Answer(130 + 110 * i, 2);
    CHECK_FALSE(fixture.link->may_start());
  }
  CHECK(fixture.token_requests > 0);
  fixture.newest_token = FencingToken(5);
  fixture.timers.Advance(milliseconds(110));
  CHECK(fixture.sent.back().token == FencingToken(5));
  CHECK_FALSE(fixture.link->may_start());
  fixture.Answer(500, 2);
  CHECK(fixture.link->may_start());
  CHECK(fixture.link->token() == FencingToken(5));
}

// Guards against TWICE: a late start reached the next incarnation of a worker
// while the renewal waited on a silent connection to the former one.
TEST_CASE("an incarnation that is listed is called at once") {
  LinkFixture fixture;
  fixture.link->OnListed(1);
  fixture.Answer(1000);
  fixture.link->TrackStart (*fixture.link->order_deadline_ms())(false);
  fixture.newest_token = FencingToken(5);
  fixture.ack_limit = 3;
  const std::size_t before = fixture.sent.size();
  fixture.timers.Advance(milliseconds(100));
  fixture.link->OnListed(2);
  REQUIRE(fixture.sent.size() == before + 1);
  const RenewRequest call = fixture.sent.back();
  CHECK(call.needs_new_connection);
  CHECK(call.token == FencingToken(5));
  CHECK(call.max_wait == Duration(0));
  CHECK_FALSE(call.deadline_ms);
  CHECK(call.acknowledged_up_to == 0);
  // A late answer of the former incarnation says nothing about the next one.
  fixture.AnswerFormer(1100);
  CHECK(fixture.reported_starts == std::vector<std::int64_t>{1});
  CHECK(fixture.sent.size() == before + 1);
  fixture.ack_limit = 0;
  fixture.Answer(20, 2);
  CHECK(fixture.reported_starts.back() == 2);
  CHECK(fixture.link->may_start());
  CHECK(fixture.link->token() == FencingToken(5));
  CHECK_FALSE(fixture.sent.back().needs_new_connection);
}

// Guards against a live worker that is taken for ended, or called again and
// again, because its entry in the list lags, is garbled or vanishes for a
// while.
TEST_CASE("a start time in the list alone proves nothing about a worker") {
  LinkFixture fixture;
  fixture.Answer(1000);
  fixture.link->OnListed(1);
  const std::size_t before = fixture.sent.size();
  fixture.link->OnListed(7);
  CHECK(fixture.sent.size() == before + 1);
  fixture.Answer(1'010);
  CHECK(fixture.link->may_start());
  CHECK(fixture.sent.back().deadline_ms);
  CHECK(fixture.sent.back().max_wait > Duration(0));
  const std::size_t after = fixture.sent.size();
  fixture.link->OnListed(7);
  fixture.link->OnListed(1);
  fixture.link->OnListed(0);
  fixture.link->OnListed(1);
  CHECK(fixture.sent.size() == after);
  CHECK(fixture.lost_count == 0);
}

// Guards against a late start that reaches the next incarnation of a worker
// while the store, which would list it, cannot be read.
TEST_CASE("a worker without tasks is polled more often while a start is open") {
  LinkFixture fixture;
  fixture.Answer(1000);
  fixture.has_tasks = false;
  fixture.link->TrackStart (*fixture.link->order_deadline_ms())(false);
  fixture.Answer(1010);
  CHECK(fixture.sent.back().max_wait == WorkerLinkOptions{}.long_poll_wait);
  const Duration lifetime = WorkerLinkOptions{}.unanswered_order_lifetime;
  for (Duration it{}; it < lifetime; it += milliseconds(500)) {
    fixture.timers.Advance(milliseconds(500));
    fixture.Answer(1510 + ToMillis(it));
  }
  CHECK(fixture.sent.back().max_wait ==
        WorkerLinkOptions{}.idle_long_poll_wait);
}

// Guards against a takeover that waits on connections that an earlier ownership
// of the same process has left.
TEST_CASE("the first call of a link is sent on a new connection") {
  LinkFixture fixture;
  CHECK(fixture.sent.front().needs_new_connection);
  fixture.Answer(1000);
  CHECK_FALSE(fixture.sent.back().needs_new_connection);
}

TEST_CASE("a first renewal is not repeated because the list is read") {
  LinkFixture fixture;
  fixture.link->OnListed(1);
  CHECK(fixture.sent.size() == 1);
  // The worker has started again since.
  fixture.link->OnListed(2);
  CHECK(fixture.sent.size() == 2);
}

// Guards against a late start that another incarnation carries out while the
// owner waits to repeat its call with a higher token.
TEST_CASE("a higher token is used as soon as it is there") {
  LinkFixture fixture;
  fixture.Answer(1000);
  const auto settle =
      fixture.link->TrackStart(*fixture.link->order_deadline_ms());
  SUBCASE("it comes after the response of another incarnation") {
    fixture.Answer(20, 2);
    CHECK(fixture.token_requests == 1);
    CHECK_FALSE(fixture.link->may_start());
    const std::size_t before = fixture.sent.size();
    fixture.link->OnNewerToken();
    CHECK(fixture.sent.size() == before);
    fixture.newest_token = FencingToken(5);
    fixture.link->OnNewerToken();
    REQUIRE(fixture.sent.size() == before + 1);
    CHECK(fixture.sent.back().token == FencingToken(5));
  }
  SUBCASE("it is requested while an order has no answer") {
    settle(false);
    fixture.Fail(WorkerError::kNoResponse);
    fixture.timers.Advance(milliseconds(110));
    CHECK(fixture.token_requests == 1);
    fixture.newest_token = FencingToken(5);
    // The response to the call with the former token.
    fixture.Answer(20, 2);
    CHECK(fixture.sent.back().token == FencingToken(5));
    CHECK_FALSE(fixture.link->may_start());
    fixture.Answer(30, 2);
    CHECK(fixture.link->may_start());
  }
}

// Guards against TWICE: a link to another address of a worker knew nothing of
// the orders that were sent to the former one, and took its token for higher.
TEST_CASE("a worker at another address gets tasks only with a higher token") {
  LinkFixture former;
  former.Answer(1000);
  former.link->TrackStart (*former.link->order_deadline_ms())(false);
  LinkFixture fixture(former.link.get());
  fixture.Answer(20, 2);
  CHECK_FALSE(fixture.link->may_start());
  fixture.newest_token = FencingToken(5);
  fixture.link->OnNewerToken();
  fixture.Answer(30, 2);
  CHECK(fixture.link->may_start());
}

}  // namespace pomelomill
