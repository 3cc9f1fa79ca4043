#include "pomelomill/jobserver/worker_link.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "link_fixture.h"
#include "pomelomill/base/virtual_timer_service.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A worker on which ten tasks end a second, and an owner that handles each
/// response 0.35 s after it has arrived.
class SlowOwner {
 public:
  SlowOwner() {
    calls_.renew = [this](const WorkerAddress&, const RenewRequest& call,
                          std::function<void(Result<WorkerReport>)> done) {
      ++calls;
      timers.ScheduleAfter(kNetwork, [this, call, done = std::move(done)] {
        Acknowledge(call.acknowledged_up_to);
        Answer(incarnation_, timers.Now() + call.max_wait, done);
      });
    };
    WorkerLinkHooks hooks;
    hooks.on_report = [this](const WorkerReport& it) { OnReport(it); };
    hooks.on_unresponsive = [](std::error_code) {};
    hooks.on_lost = [](WorkerLoss) {};
    hooks.on_fenced = [] {};
    hooks.ack_limit = [this] { return seen_end_; };
    hooks.has_unstored_ends = [] { return false; };
    hooks.has_tasks = [] { return true; };
    hooks.may_send_orders = [] { return true; };
    hooks.newest_token = [this] { return FencingToken(++tokens_); };
    hooks.request_token = [] {};
    link_ = std::make_unique<WorkerLink>(
        calls_, timers,
        WorkerAddress{.id = WorkerId("w"), .address = "127.0.0.1:1"},
        FencingToken(1), hooks);
    link_->Start();
    StartTask();
  }

  /// Ends the worker's process and starts it again at once.
  void Restart() {
    ++incarnation_;
    started_at_ = timers.Now();
    next_end_ = 1;
    ends_.clear();
  }

  std::size_t listed_ends() const { return ends_.size(); }

  VirtualTimerService timers;
  int calls = 0;
  int started = 0;
  int acknowledged = 0;
  /// Ended tasks that were acknowledged before the owner had seen them.
  int lost_ends = 0;

 private:
  std::uint64_t tokens_ = 1;
  static constexpr Duration kNetwork = milliseconds(1);
  static constexpr Duration kHandlingDelay = milliseconds(350);
  static constexpr Duration kRunTime = milliseconds(100);
  static constexpr Duration kStartPeriod = milliseconds(100);
  static constexpr Duration kPollStep = milliseconds(5);

  void Acknowledge(std::uint64_t limit) {
    while (!ends_.empty() && *ends_.begin() <= limit) {
      const bool was_seen =
          seen_incarnation_ == incarnation_ && *ends_.begin() <= seen_end_;
      was_seen ? ++acknowledged : ++lost_ends;
      ends_.erase(ends_.begin());
    }
  }

  void Answer(std::int64_t incarnation, Instant until,
              const std::function<void(Result<WorkerReport>)>& done) {
    if (incarnation != incarnation_) {
      // The connection has ended with the process.
      timers.ScheduleAfter(kHandlingDelay, [done] {
        done(tl::unexpected(make_error_code(WorkerError::kNoResponse)));
      });
      return;
    }
    if (ends_.empty() && timers.Now() < until) {
      timers.ScheduleAfter(kPollStep, [this, incarnation, until, done] {
        Answer(incarnation, until, done);
      });
      return;
    }
    WorkerReport report{.clock_ms = ToMillis(timers.Now() - started_at_),
                        .started_ms = incarnation_};
    for (const std::uint64_t it : ends_) report.ended.push_back({.number = it});
    timers.ScheduleAfter(kHandlingDelay, [done, report] { done(report); });
  }

  void OnReport(const WorkerReport& report) {
    if (report.started_ms != seen_incarnation_) seen_end_ = 0;
    seen_incarnation_ = report.started_ms;
    for (const EndedTask& it : report.ended)
      seen_end_ = std::max(seen_end_, it.number);
  }

  void StartTask() {
    timers.ScheduleAfter(kStartPeriod, [this] { StartTask(); });
    const auto deadline = link_->order_deadline_ms();
    if (!deadline || !link_->may_start()) return;
    ++started;
    const auto on_outcome = link_->TrackStart(*deadline);
    timers.ScheduleAfter(kNetwork, [this, on_outcome] {
      timers.ScheduleAfter(kRunTime, [this, incarnation = incarnation_] {
        if (incarnation == incarnation_) ends_.insert(next_end_++);
      });
      timers.ScheduleAfter(kHandlingDelay, [on_outcome] { on_outcome(true); });
    });
  }

  WorkerCalls calls_;
  std::unique_ptr<WorkerLink> link_;
  std::int64_t incarnation_ = 1;
  Instant started_at_{};
  std::uint64_t next_end_ = 1;
  std::set<std::uint64_t> ends_;
  std::int64_t seen_incarnation_ = 0;
  std::uint64_t seen_end_ = 0;
};

}  // namespace

// Replays the fleet between two load peaks, when most workers are idle: each
// poll of an idle worker costs its owner as much as a third of a run.
TEST_CASE("a worker without tasks is polled less often") {
  LinkFixture it;
  it.Answer(1'000);
  it.has_tasks = false;
  it.Answer(1'010);
  REQUIRE(it.sent.size() == 3);
  CHECK(it.sent[1].max_wait == WorkerLinkOptions{}.long_poll_wait);
  CHECK(it.sent[2].max_wait == WorkerLinkOptions{}.idle_long_poll_wait);
  // The platform permits 2 s, and the lease must outlast a lost call.
  CHECK(it.sent[2].max_wait <= seconds(2));
}

TEST_CASE(
    "an owner that handles all responses late still acknowledges ended tasks") {
  // Guards against load that feeds on itself: no ended task was acknowledged,
  // so every report listed all of them, and the owner sent the next renewal at
  // once.
  SlowOwner owner;
  owner.timers.Advance(seconds(20));
  owner.calls = owner.started = owner.acknowledged = 0;
  std::size_t longest = 0;
  for (int i = 0; i < 200; ++i) {
    owner.timers.Advance(milliseconds(100));
    longest = std::max(longest, owner.listed_ends());
  }
  MESSAGE("calls " << owner.calls << " starts " << owner.started
                   << " acknowledged " << owner.acknowledged << " longest list "
                   << longest);
  // At most four calls a second, and a list with less than 10 s of ended tasks.
  CHECK(owner.calls <= 80);
  CHECK(longest < 100);
  // Pausing starts costs less than a third of the work.
  CHECK(owner.started > 133);
  CHECK(owner.acknowledged > owner.started * 2 / 3);
  CHECK(owner.lost_ends == 0);
}

TEST_CASE("a slow owner loses no ended task of a worker's next incarnation") {
  for (int ms = 20'000; ms < 24'000; ms += 7) {
    CAPTURE(ms);
    SlowOwner owner;
    owner.timers.Advance(milliseconds(ms));
    owner.Restart();
    owner.timers.Advance(seconds(20));
    CHECK(owner.lost_ends == 0);
    CHECK(owner.listed_ends() < 100);
  }
}

TEST_CASE(
    "ended tasks are acknowledged at once after a long poll that returned "
    "them") {
  // Guards against an extra call before every acknowledgement: a long poll was
  // sent long ago, but its response proves that the worker was alive just now.
  LinkFixture fixture;
  fixture.Answer(1000);
  fixture.timers.Advance(milliseconds(550));
  fixture.has_unstored_ends = true;
  fixture.Answer(1550);
  fixture.timers.Advance(milliseconds(20));
  fixture.has_unstored_ends = false;
  fixture.ack_limit = 4;
  fixture.link->OnEndsStored();
  CHECK(fixture.sent.back().acknowledged_up_to == 4);
  CHECK(fixture.sent.back().max_wait > Duration(0));
}

TEST_CASE(
    "a paused link checks the worker's incarnation before it acknowledges") {
  // Guards against the loss of an ended task: while this process was paused the
  // worker restarted, and number 4 now belongs to another task.
  LinkFixture fixture;
  fixture.Answer(1000);
  fixture.has_unstored_ends = true;
  fixture.Answer(1005);
  fixture.ack_limit = 4;
  fixture.has_unstored_ends = false;
  fixture.timers.Advance(milliseconds(90));
  SUBCASE("the same incarnation responds") {
    fixture.link->OnEndsStored();
    REQUIRE(fixture.sent.back().acknowledged_up_to == 4);
    fixture.timers.Advance(milliseconds(500));
    fixture.ack_limit = 5;
    fixture.Answer(1100);
    CHECK(fixture.sent.back().acknowledged_up_to == 0);
    CHECK(fixture.sent.back().max_wait == Duration(0));
    fixture.Answer(1595);
    CHECK(fixture.sent.back().acknowledged_up_to == 5);
  }
  SUBCASE("a new incarnation responds") {
    fixture.link->OnEndsStored();
    fixture.timers.Advance(milliseconds(500));
    fixture.ack_limit = 5;
    fixture.Answer(1100);
    REQUIRE(fixture.sent.back().acknowledged_up_to == 0);
    fixture.ack_limit = 0;
    fixture.Answer(20, 2);
    fixture.newest_token = FencingToken(2);
    // The renewal with a higher token.
    fixture.timers.Advance(milliseconds(110));
    CHECK(fixture.sent.back().acknowledged_up_to == 0);
    fixture.ack_limit = 1;
    fixture.Answer(130, 2);
    CHECK(fixture.sent.back().acknowledged_up_to == 1);
  }
}

TEST_CASE(
    "a call whose result is handled late does not make a worker unresponsive") {
  // Guards against tasks that are taken from a healthy worker because its owner
  // was delayed: the response waited, or the timeout of the call fired late.
  for (const bool is_answered : {true, false}) {
    CAPTURE(is_answered);
    const auto finish_call_late = [&](LinkFixture& fixture) {
      fixture.Answer(1000);
      fixture.timers.Advance(milliseconds(2'500));
      if (is_answered) {
        fixture.Answer(1600);
      } else {
        fixture.Fail(WorkerError::kNoResponse);
      }
      CHECK(fixture.unresponsive_count == 0);
      // It is unknown whether the worker is alive: its lease is not extended.
      CHECK(fixture.sent.size() == 3);
      CHECK_FALSE(fixture.sent.back().deadline_ms);
    };
    LinkFixture answers;
    finish_call_late(answers);
    answers.Answer(3'520);
    CHECK(answers.unresponsive_count == 0);
    CHECK(answers.sent.back().deadline_ms);
    LinkFixture silent;
    finish_call_late(silent);
    silent.timers.Advance(milliseconds(800));
    silent.Fail(WorkerError::kNoResponse);
    CHECK(silent.unresponsive_count == 1);
    LinkFixture lapsed;
    finish_call_late(lapsed);
    lapsed.timers.Advance(milliseconds(5'000));
    lapsed.Fail(WorkerError::kNoResponse);
    CHECK(lapsed.lost_count == 1);
  }
}

TEST_CASE("a late response of an unresponsive worker keeps its lease") {
  // Guards against a lease that expires although the worker answers each call:
  // after one real timeout, the owner handles every response 1.5 s late.
  LinkFixture fixture;
  fixture.Answer(1000);
  std::int64_t clock_ms = 1000;
  fixture.timers.Advance(milliseconds(1400));
  fixture.Fail(WorkerError::kNoResponse);
  CHECK(fixture.unresponsive_count == 1);
  clock_ms += 1400;
  for (int i = 0; i < 12; ++i) {
    fixture.timers.Advance(milliseconds(1500));
    clock_ms += 1500;
    fixture.Answer(clock_ms - 1400);
  }
  CHECK(fixture.lost_count == 0);
  CHECK(fixture.unresponsive_count == 1);
  CHECK(fixture.sent.back().deadline_ms);
}

TEST_CASE("calls that could not be sent do not make a worker unresponsive") {
  // Guards against leases that are not extended and workers that count as
  // unresponsive because this process has no file descriptor left.
  LinkFixture fixture;
  fixture.Answer(1000);
  std::int64_t clock_ms = 1000;
  for (int round = 0; round < 6; ++round) {
    for (int i = 0; i < 20; ++i) {
      fixture.Fail(WorkerError::kNotSent);
      fixture.timers.Advance(milliseconds(100));
      clock_ms += 100;
    }
    CHECK(fixture.sent.back().deadline_ms);
    fixture.Answer(clock_ms);
  }
  CHECK(fixture.unresponsive_count == 0);
  CHECK(fixture.lost_count == 0);
  // The lease of a worker that then stops responding still expires.
  for (int i = 0; i < 80 && fixture.lost_count == 0; ++i) {
    fixture.Fail(WorkerError::kNoResponse);
    fixture.timers.Advance(milliseconds(100));
  }
  CHECK(fixture.lost_count == 1);
}

TEST_CASE("an ended task is acknowledged only once in an incarnation") {
  // Guards against repeated acknowledgements that reach a new incarnation late
  // and delete its ended tasks.
  LinkFixture fixture;
  fixture.Answer(1000);
  fixture.ack_limit = 3;
  fixture.Answer(1005);
  REQUIRE(fixture.sent.back().acknowledged_up_to == 3);
  fixture.Answer(1010);
  CHECK(fixture.sent.back().acknowledged_up_to == 0);
  CHECK(fixture.sent.back().max_wait > Duration(0));
}

// Guards against TWICE: the closed connection was one to a former incarnation,
// which an earlier link of this process had called.
TEST_CASE("a closed connection proves nothing about a worker never reached") {
  LinkFixture fixture;
  for (int i = 0; i < 5; ++i) {
    fixture.Fail(WorkerError::kProcessEnded);
    fixture.timers.Advance(milliseconds(150));
  }
  CHECK(fixture.lost_count == 0);
}

// Guards against a worker that gets no tasks, or whose end is noticed late,
// because one connection ended; and against a deadline that its owner does not
// count.
TEST_CASE("a renewal whose connection ended is sent again at once") {
  LinkFixture fixture;
  fixture.Answer(1000);
  fixture.Fail(WorkerError::kConnectionEnded);
  fixture.timers.Advance(milliseconds(1));
  REQUIRE(fixture.sent.size() == 3);
  CHECK(fixture.sent.back().max_wait == Duration(0));
  CHECK_FALSE(fixture.sent.back().deadline_ms);
  SUBCASE("the worker responds") {
    fixture.Answer(1010);
    CHECK(fixture.link->may_start());
    CHECK(fixture.sent.back().deadline_ms);
  }
  SUBCASE("further connections end, too") {
    fixture.Fail(WorkerError::kConnectionEnded);
    fixture.timers.Advance(milliseconds(50));
    CHECK(fixture.sent.size() == 3);
    fixture.timers.Advance(milliseconds(60));
    CHECK(fixture.sent.size() == 4);
  }
  CHECK(fixture.lost_count == 0);
}

// Guards against renewals without a pause to a worker that ends each long poll
// and answers the call after it.
TEST_CASE("renewals are sent at once only once in a retry delay") {
  LinkFixture fixture;
  fixture.Answer(1000);
  fixture.Fail(WorkerError::kConnectionEnded);
  fixture.timers.Advance(milliseconds(1));
  fixture.Answer(1001);
  REQUIRE(fixture.sent.size() == 4);
  fixture.Fail(WorkerError::kConnectionEnded);
  fixture.timers.Advance(milliseconds(50));
  CHECK(fixture.sent.size() == 4);
  fixture.timers.Advance(milliseconds(60));
  CHECK(fixture.sent.size() == 5);
}

TEST_CASE("a call without a response is followed by a higher token") {
  LinkFixture fixture;
  fixture.Answer(1000);
  fixture.newest_token = FencingToken(5);
  fixture.Fail(WorkerError::kNoResponse);
  fixture.timers.Advance(milliseconds(150));
  CHECK(fixture.sent.back().token == FencingToken(5));
  SUBCASE("the next incarnation responds and is fenced at once") {
    fixture.Answer(20, 2);
    CHECK(fixture.link->may_start());
  }
  SUBCASE("the same incarnation responds") {
    fixture.Answer(1900);
    CHECK(fixture.link->may_start());
  }
}

TEST_CASE("a lost worker to which an order is open is called more often") {
  LinkFixture fixture;
  fixture.timers.Advance(seconds(20));
  // The first response is stale by then.
  fixture.Answer(1000);
  fixture.Answer(1010);
  const auto settle =
      fixture.link->TrackStart(*fixture.link->order_deadline_ms());
  for (int i = 0; i < 3; ++i) {
    fixture.Fail(WorkerError::kProcessEnded);
    fixture.timers.Advance(milliseconds(150));
  }
  REQUIRE(fixture.lost_count == 1);
  const std::size_t before = fixture.sent.size();
  SUBCASE("the order has no answer") {
    settle(false);
    for (int i = 0; i < 5; ++i) {
      fixture.Fail(WorkerError::kProcessEnded);
      fixture.timers.Advance(milliseconds(150));
    }
    CHECK(fixture.sent.size() == before + 5);
  }
  SUBCASE("the order was answered") {
    settle(true);
    fixture.Fail(WorkerError::kProcessEnded);
    fixture.timers.Advance(milliseconds(150));
    CHECK(fixture.sent.size() == before);
  }
}

TEST_CASE("a tighter bound of an inherited lease replaces a wider one") {
  LinkFixture fixture;
  const auto fail_until = [&](Instant end) {
    while (fixture.timers.Now() < end) {
      if (fixture.is_renewing()) fixture.Fail(WorkerError::kConnectionRefused);
      fixture.timers.Advance(milliseconds(50));
    }
  };
  const Instant begin = fixture.timers.Now();
  SUBCASE("a worker that never responded") {
    fail_until(begin + seconds(2));
    fixture.link->LimitInheritedLease(milliseconds(6'300));
    fixture.link->LimitInheritedLease(milliseconds(9'000));
    fail_until(begin + milliseconds(8'300));
    CHECK(fixture.lost_count == 0);
    fail_until(begin + milliseconds(8'600));
    CHECK(fixture.lost_count == 1);
  }
  SUBCASE("a lease that this owner has extended") {
    fixture.Answer(1'000);
    fail_until(begin + seconds(1));
    fixture.link->LimitInheritedLease(seconds(1));
    fail_until(begin + seconds(6));
    CHECK(fixture.lost_count == 0);
    fail_until(begin + seconds(7));
    CHECK(fixture.lost_count == 1);
  }
}

TEST_CASE("a silent worker is lost when its lease expires, not a call later") {
  // Guards against LOST: its tasks waited for the time-out of a call that was
  // sent right before the lease had expired.
  LinkFixture it;
  it.link->LimitInheritedLease(seconds(2));
  it.timers.Advance(milliseconds(800));
  it.Fail(make_error_code(WorkerError::kNoResponse));
  it.timers.Advance(milliseconds(1'190));
  REQUIRE(it.is_renewing());
  CHECK(it.lost_count == 0);
  it.timers.Advance(milliseconds(20));
  CHECK(it.lost_count == 1);
  SUBCASE("it stays lost when that call fails, too") {
    it.Fail(make_error_code(WorkerError::kNoResponse));
    CHECK(it.lost_count == 1);
  }
  SUBCASE("it is called again") {
    const std::size_t n = it.sent.size();
    it.timers.Advance(seconds(1));
    REQUIRE(it.sent.size() > n);
    it.Answer(1);
    CHECK_FALSE(it.link->is_lost());
  }
}

TEST_CASE("a worker that responds again is not lost with its former lease") {
  LinkFixture it;
  it.link->LimitInheritedLease(seconds(2));
  it.timers.Advance(milliseconds(800));
  it.Fail(make_error_code(WorkerError::kNoResponse));
  it.timers.Advance(milliseconds(500));
  REQUIRE(it.is_renewing());
  it.Answer(1);
  it.timers.Advance(seconds(2));
  CHECK(it.lost_count == 0);
}

TEST_CASE("refused connections alone do not prove the end of a worker") {
  // Guards against a second run of tasks on a worker behind a partition that
  // refuses connections.
  LinkFixture fixture;
  const auto fail_for_a_second = [&](WorkerError error) {
    for (int i = 0; i < 10; ++i) {
      if (fixture.is_renewing()) fixture.Fail(error);
      fixture.timers.Advance(milliseconds(100));
    }
  };
  SUBCASE("a worker that has responded is lost when its lease has expired") {
    fixture.Answer(1'000);
    fail_for_a_second(WorkerError::kConnectionRefused);
    CHECK(fixture.lost_count == 0);
    for (int i = 0; i < 6; ++i)
      fail_for_a_second(WorkerError::kConnectionRefused);
  }
  SUBCASE("a worker whose process has ended is lost at once") {
    fixture.Answer(1'000);
    fail_for_a_second(WorkerError::kProcessEnded);
  }
  SUBCASE("a worker that never responded is lost when its lease has expired") {
    // An earlier owner may have extended the lease a moment ago, whether the
    // store lists the worker or not.
    const auto longest = WorkerLinkOptions{}.max_inherited_lease;
    for (Duration it{}; it < longest; it += seconds(1)) {
      CHECK(fixture.lost_count == 0);
      fail_for_a_second(WorkerError::kConnectionRefused);
    }
    fail_for_a_second(WorkerError::kConnectionRefused);
  }
  CHECK(fixture.lost_count == 1);
}

}  // namespace pomelomill
