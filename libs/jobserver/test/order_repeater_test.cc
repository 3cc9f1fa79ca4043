#include "order_repeater.h"

#include <doctest/doctest.h>

#include <deque>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "job_world.h"
#include "pomelomill/base/virtual_timer_service.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kCallTimeout = milliseconds(800);

/// A worker whose answers the test scripts: each call takes the next outcome,
/// and kUnknown is answered after the timeout of the call. The connections of
/// `broken_calls` end after the time that an answer takes.
class Fixture {
 public:
  explicit Fixture(std::vector<StartOutcome> outcomes)
      : outcomes_(outcomes.begin(), outcomes.end()) {
    calls_.start = [this](const WorkerAddress&, const StartRequest& request,
                          std::function<void(StartResponse)> done) {
      sent_at.push_back(timers.Now() - Instant{});
      runs.push_back(request.run);
      if (IsBroken()) {
        timers.ScheduleAfter(answer_time_, [done = std::move(done)] {
          done({.has_connection_ended = true});
        });
        return;
      }
      const StartOutcome outcome = Next();
      timers.ScheduleAfter(
          outcome == StartOutcome::kUnknown ? kCallTimeout : answer_time_,
          [outcome, done = std::move(done)] {
            done({.outcome = outcome, .clock_ms = 5});
          });
    };
    calls_.stop = [this](const WorkerAddress&, const TaskKey&, std::uint32_t,
                         FencingToken,
                         std::function<void(Result<std::int64_t>)> done) {
      sent_at.push_back(timers.Now() - Instant{});
      if (IsBroken()) {
        timers.ScheduleAfter(answer_time_, [done = std::move(done)] {
          done(tl::unexpected(make_error_code(WorkerError::kConnectionEnded)));
        });
        return;
      }
      const bool is_answered = Next() == StartOutcome::kStarted;
      timers.ScheduleAfter(
          is_answered ? milliseconds(3) : kCallTimeout,
          [is_answered, done = std::move(done)] {
            if (is_answered) return done(Result<std::int64_t>(5));
            done(tl::unexpected(make_error_code(WorkerError::kNoResponse)));
          });
    };
    repeater_.emplace(calls_, timers);
  }

  /// Lets the repeater see `n` answers that take `took`.
  void SeeAnswers(int n, Duration took) {
    answer_time_ = took;
    for (int i = 0; i < n; ++i) {
      outcomes_.push_front(StartOutcome::kStarted);
      Start();
      timers.Advance(took);
    }
    answer_time_ = milliseconds(3);
    sent_at.clear();
    runs.clear();
    results.clear();
    settled.clear();
  }

  void Start() {
    repeater_->Start(
        {WorkerId("w"), "w:1"}, {.run = 7}, [this] { return may_send; },
        [this](const StartResponse& it) {
          results.push_back(it.outcome);
          result_at = timers.Now() - Instant{};
        },
        [this](bool is_settled) { settled.push_back(is_settled); });
  }

  void Stop() {
    repeater_->Stop(
        {WorkerId("w"), "w:1"}, {}, 7, FencingToken(1),
        [this] { return may_send; },
        [this](const Result<std::int64_t>& result) {
          stop_results.push_back(result.has_value());
        });
  }

  VirtualTimerService timers;
  bool may_send = true;
  /// Numbers of calls, from 0.
  std::set<std::size_t> broken_calls;
  std::vector<Duration> sent_at;
  std::vector<std::uint32_t> runs;
  std::vector<StartOutcome> results;
  /// Whether each stop was answered with success.
  std::vector<bool> stop_results;
  Duration result_at{};
  std::vector<bool> settled;
  std::optional<OrderRepeater> repeater_;

 private:
  bool IsBroken() const { return broken_calls.contains(sent_at.size() - 1); }

  StartOutcome Next() {
    const StartOutcome it =
        outcomes_.empty() ? StartOutcome::kUnknown : outcomes_.front();
    if (!outcomes_.empty()) outcomes_.pop_front();
    return it;
  }

  Duration answer_time_ = milliseconds(3);
  std::deque<StartOutcome> outcomes_;
  WorkerCalls calls_;
};

}  // namespace

// Guards against a task that waits a second for each lost answer: the run is
// known to be started as soon as one copy of the order is answered.
TEST_CASE("an order without an answer is sent again as the same run") {
  Fixture it({StartOutcome::kUnknown, StartOutcome::kStarted});
  it.SeeAnswers(30, milliseconds(3));
  const Duration began = it.timers.Now() - Instant{};
  it.Start();
  it.timers.Advance(seconds(3));
  CHECK(it.results == std::vector{StartOutcome::kStarted});
  CHECK(it.result_at - began < milliseconds(150));
  CHECK(it.runs == std::vector<std::uint32_t>{7, 7});
  // The first copy may still be carried out late.
  CHECK(it.settled == std::vector{false});
}

TEST_CASE("an order that was answered is sent once") {
  for (const StartOutcome outcome :
       {StartOutcome::kStarted, StartOutcome::kNoRoom}) {
    Fixture it({outcome});
    it.Start();
    it.timers.Advance(seconds(3));
    CHECK(it.sent_at.size() == 1);
    CHECK(it.results == std::vector{outcome});
    CHECK(it.settled == std::vector{true});
  }
}

// Guards against a task that is started elsewhere while a copy of its order is
// on its way: the refusal of one copy says nothing about the other.
TEST_CASE("a refusal after an unanswered copy leaves the outcome unknown") {
  Fixture it({StartOutcome::kUnknown, StartOutcome::kNoRoom});
  it.SeeAnswers(30, milliseconds(3));
  it.Start();
  it.timers.Advance(seconds(3));
  CHECK(it.results == std::vector{StartOutcome::kUnknown});
  CHECK(it.settled == std::vector{false});
}

// Guards against a stop and a second run of a task for each connection that a
// worker or the network ends.
TEST_CASE("an order whose connection ended is sent again at once") {
  Fixture it({StartOutcome::kStarted});
  it.broken_calls = {0};
  it.Start();
  it.timers.Advance(milliseconds(20));
  CHECK(it.runs == std::vector<std::uint32_t>{7, 7});
  CHECK(it.results == std::vector{StartOutcome::kStarted});
  CHECK(it.settled == std::vector{false});
}

// Guards against TWICE: the first copy was carried out and lost its answer, and
// the refusal of the second one says that nothing was done.
TEST_CASE(
    "a refusal after a connection that ended leaves the outcome unknown") {
  for (const StartOutcome refusal :
       {StartOutcome::kUnhealthy, StartOutcome::kNoRoom,
        StartOutcome::kDeadlinePassed, StartOutcome::kRejected,
        StartOutcome::kOtherIncarnation, StartOutcome::kStaleRun,
        StartOutcome::kNotSent, StartOutcome::kNoTicket}) {
    CAPTURE(ToText(refusal));
    Fixture it({refusal});
    it.broken_calls = {0};
    it.Start();
    it.timers.Advance(seconds(3));
    CHECK(it.sent_at.size() == 2);
    CHECK(it.results == std::vector{StartOutcome::kUnknown});
    CHECK(it.settled == std::vector{false});
  }
}

// Guards against a stream of copies to a worker that ends each connection.
TEST_CASE("an order is sent again at once only for its first connection") {
  Fixture it({});
  it.broken_calls = {0, 1, 2, 3, 4};
  it.Start();
  it.timers.Advance(seconds(3));
  CHECK(it.sent_at.size() == 2);
  CHECK(it.results == std::vector{StartOutcome::kUnknown});
  it.sent_at.clear();
  it.Stop();
  it.timers.Advance(seconds(3));
  CHECK(it.sent_at.size() == 2);
  CHECK(it.stop_results == std::vector{false});
}

// Guards against an order that is sent after the lease of the owner's role has
// expired.
TEST_CASE("an order is not repeated without the right to send it") {
  Fixture it({StartOutcome::kUnknown});
  it.SeeAnswers(30, milliseconds(3));
  it.Start();
  it.may_send = false;
  it.timers.Advance(seconds(3));
  CHECK(it.sent_at.size() == 1);
  CHECK(it.results == std::vector{StartOutcome::kUnknown});
  it.sent_at.clear();
  it.broken_calls = {0};
  it.Start();
  it.timers.Advance(seconds(3));
  CHECK(it.sent_at.size() == 1);
}

// Replays a link that is full: answers take hundreds of milliseconds, and each
// repeat of some kilobytes would make those behind it later still.
TEST_CASE("orders are not repeated while all answers are slow") {
  Fixture it({StartOutcome::kUnknown});
  it.SeeAnswers(30, milliseconds(3));
  it.SeeAnswers(1, milliseconds(400));
  it.Start();
  it.timers.Advance(seconds(3));
  CHECK(it.sent_at.size() == 1);
}

TEST_CASE("a stop is repeated until it is answered") {
  Fixture it({StartOutcome::kUnknown, StartOutcome::kStarted});
  it.SeeAnswers(30, milliseconds(3));
  it.Stop();
  it.timers.Advance(seconds(3));
  CHECK(it.sent_at.size() == 2);
  CHECK(it.stop_results == std::vector{true});
}

// Replays the load of workers that answer three orders in ten late, as on the
// own day late-orders: without repeats each job waits a second or more for a
// lost start, several times over.
TEST_CASE("jobs are hardly delayed while a part of the orders is late") {
  JobWorld world({.workers_per_pool = 12, .run_time = milliseconds(400)});
  world.Advance(seconds(3));
  for (std::size_t i = 0; i < 3; ++i) {
    world.worker_faults(i).late_share = 0.3;
    world.worker_faults(i).late = seconds(5);
  }
  constexpr int kJobs = 60;
  for (int i = 0; i < kJobs; ++i) {
    world.Submit(0, "job" + std::to_string(i), 0, ChainJob(2, 3));
    world.Advance(milliseconds(100));
  }
  world.Advance(milliseconds(2500));
  int complete = 0;
  for (int i = 0; i < kJobs; ++i)
    complete += world.Phase("job" + std::to_string(i), 0) == "complete";
  INFO(world.History());
  // A job without faults takes 1.2 s at most.
  CHECK(complete >= kJobs * 9 / 10);
  world.Advance(seconds(20));
  CHECK(world.Violations().empty());
}

}  // namespace pomelomill
