#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <set>

#include "router_fixture.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(100)};

RequestArrived Layout(std::uint64_t id, Instant deadline) {
  return {.request = RequestId(id),
          .queue = QueueId("proof/layout"),
          .team = {},
          .deadline = deadline,
          .is_repeatable = true};
}

RequestArrived Order(std::uint64_t id, Instant deadline) {
  RequestArrived event = Layout(id, deadline);
  event.queue = QueueId("proof/order");
  return event;
}

/// Reference implementation of one queue served by one VM, by scanning a list.
/// Requests are sent earliest deadline first, refused on arrival when the work
/// ahead of them would make them miss their deadline, and shed when the p95
/// service time no longer fits before the deadline.
class ReferenceQueue {
 public:
  ReferenceQueue(std::uint32_t slots, Duration service)
      : slots_(slots), service_(service), estimate_(service) {}

  void Arrive(RequestId id, Instant deadline, Instant now) {
    Advance(now);
    std::int64_t ahead = 0;
    for (const Waiting& it : waiting_) ahead += it.deadline <= deadline ? 1 : 0;
    const Duration needed = estimate_.p95();
    if (waiting_.size() >= 16 ||
        now + service_ * ahead / slots_ + needed >= deadline) {
      refused.push_back(id);
      return;
    }
    waiting_.push_back({deadline, id, deadline - needed});
    Serve(now);
  }

  /// Advances to `now`. At equal times a service completes before requests are
  /// shed.
  void Advance(Instant now) {
    while (true) {
      Instant next = Instant::max();
      for (const Instant end : busy_) next = std::min(next, end);
      for (const Waiting& it : waiting_) next = std::min(next, it.shed_at);
      if (next > now) return;
      const auto end = std::find(busy_.begin(), busy_.end(), next);
      if (end != busy_.end()) {
        busy_.erase(end);
        estimate_.Record(service_, next);
      }
      ShedLate(next);
      Serve(next);
    }
  }

  std::vector<RequestId> sent;
  std::vector<RequestId> refused;

 private:
  struct Waiting {
    Instant deadline;
    RequestId id;
    Instant shed_at;
  };

  void ShedLate(Instant now) {
    std::erase_if(waiting_, [&](const Waiting& it) {
      if (it.shed_at > now) return false;
      refused.push_back(it.id);
      return true;
    });
  }

  void Serve(Instant now) {
    while (!waiting_.empty() && busy_.size() < slots_) {
      const auto first =
          std::min_element(waiting_.begin(), waiting_.end(),
                           [](const Waiting& a, const Waiting& b) {
                             return a.deadline < b.deadline;
                           });
      sent.push_back(first->id);
      waiting_.erase(first);
      busy_.push_back(now + service_);
    }
  }

  std::uint32_t slots_;
  Duration service_;
  LatencyEstimate estimate_;
  std::vector<Waiting> waiting_;
  std::vector<Instant> busy_;
};

// Guards against a service order, refusals or shedding that differ from the
// reference implementation.
TEST_CASE("one queue on one VM behaves like the reference queue") {
  CHECK(rc::check(
      [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& arrivals) {
        const Duration service = milliseconds(100);
        RegionState region = TestRegion();
        while (region.vms.size() > 1)
          region.vms.erase(std::prev(region.vms.end()));
        region.shares.resize(1);
        Router router = MakeTestRouter(region, kStart);
        ReferenceQueue reference(4, service);
        VirtualTimerService timers;
        timers.Advance(kStart.time_since_epoch());
        std::vector<RequestId> sent;
        std::vector<RequestId> refused;
        std::function<void(const RouterEvent&)> handle =
            [&](const RouterEvent& event) {
              const auto actions = router.Handle(event, timers.Now());
              for (const Respond& it : ActionsOf<Respond>(actions)) {
                if (it.outcome == Outcome::kNotRun)
                  refused.push_back(it.request);
              }
              for (const SendAttempt& it : ActionsOf<SendAttempt>(actions)) {
                sent.push_back(it.request);
                timers.ScheduleAfter(service, [&handle, id = it.attempt] {
                  handle(AttemptFinished{id, AttemptResult::kAnswered, true});
                });
              }
              for (const WakeAt& it : ActionsOf<WakeAt>(actions)) {
                // One nanosecond later, so that attempts that end at the same
                // time are handled first, as in the reference queue.
                timers.ScheduleAt(it.when + Duration(1),
                                  [&handle] { handle(TimerTick{}); });
              }
            };
        std::uint64_t id = 1;
        // Odd offsets keep arrivals and attempt ends at different times.
        Duration at(0);
        for (const auto& [wait, slack] : arrivals) {
          const Duration gap = milliseconds(wait % 32) + Duration(997 * id);
          at += gap;
          timers.Advance(gap);
          const Instant deadline =
              timers.Now() + milliseconds(100 + slack * 4) + Duration(13 * id);
          reference.Arrive(RequestId(id), deadline, timers.Now());
          handle(Layout(id, deadline));
          ++id;
        }
        timers.Advance(seconds(5));
        reference.Advance(timers.Now());
        std::sort(refused.begin(), refused.end());
        std::sort(reference.refused.begin(), reference.refused.end());
        RC_ASSERT(sent == reference.sent);
        RC_ASSERT(refused == reference.refused);
      }));
}

// Guards against a late response to a request that cannot be served.
TEST_CASE("a request that would miss its deadline is refused at once") {
  Router router = MakeTestRouter(TestRegion(), kStart);
  const auto actions =
      router.Handle(Layout(1, kStart + milliseconds(50)), kStart);
  const auto responses = ActionsOf<Respond>(actions);
  REQUIRE(responses.size() == 1);
  CHECK(responses[0].outcome == Outcome::kNotRun);
  CHECK(responses[0].reason == OutcomeReason::kWouldMissDeadline);
  CHECK(responses[0].retry_after >= seconds(1));
}

// Guards against a queue that sheds every request for ever. Attempts that are
// in flight while the process is suspended raise the latency estimate above the
// deadline; shed requests add no samples that would correct the estimate.
TEST_CASE("a queue recovers after a suspension with attempts in flight") {
  Router router = MakeTestRouter(TestRegion(), kStart);
  Instant now = kStart;
  std::uint64_t id = 1;
  for (int i = 0; i < 2; ++i) {
    const auto sent = ActionsOf<SendAttempt>(
        router.Handle(Layout(id++, now + seconds(2)), now));
    REQUIRE(sent.size() == 1);
    now += seconds(25);
    router.Handle(
        AttemptFinished{sent[0].attempt, AttemptResult::kAnswered, true}, now);
  }
  CHECK(
      ActionsOf<SendAttempt>(router.Handle(Layout(id++, now + seconds(2)), now))
          .empty());
  now += seconds(5);
  CHECK(
      ActionsOf<SendAttempt>(router.Handle(Layout(id++, now + seconds(2)), now))
          .size() == 1);
}

// Guards against sending before membership has granted a permit, and against
// sending after a pause that outlasted the permit.
TEST_CASE("nothing is sent without a valid permit") {
  Router router = MakeTestRouter(TestRegion(), kStart);
  router.Handle(SendPermitChanged{kStart + seconds(5)}, kStart);
  const Instant later = kStart + seconds(5);
  const auto actions = router.Handle(Layout(1, later + seconds(2)), later);
  CHECK(ActionsOf<SendAttempt>(actions).empty());
  REQUIRE(ActionsOf<Respond>(actions).size() == 1);
  CHECK(ActionsOf<Respond>(actions)[0].reason == OutcomeReason::kNoSendPermit);
}

// Guards against a retry that runs an order twice, and against reporting "not
// run" when the order may have been processed.
TEST_CASE("an order whose attempt failed is unknown and never sent again") {
  Router router = MakeTestRouter(TestRegion(), kStart);
  const auto sent = ActionsOf<SendAttempt>(
      router.Handle(Order(1, kStart + seconds(2)), kStart));
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].needs_fresh_connection);
  const auto after = router.Handle(
      AttemptFinished{sent[0].attempt, AttemptResult::kFailed, true}, kStart);
  REQUIRE(ActionsOf<Respond>(after).size() == 1);
  CHECK(ActionsOf<Respond>(after)[0].outcome == Outcome::kUnknown);
}

// Guards against failing an order that was certainly not sent, although another
// endpoint could process it.
TEST_CASE("an order is retried on another endpoint when no byte was sent") {
  Router router = MakeTestRouter(TestRegion(), kStart);
  const auto sent = ActionsOf<SendAttempt>(
      router.Handle(Order(1, kStart + seconds(2)), kStart));
  REQUIRE(sent.size() == 1);
  router.Handle(AttemptFinished{sent[0].attempt, AttemptResult::kFailed, false},
                kStart);
  const auto again = ActionsOf<SendAttempt>(
      router.Handle(TimerTick{}, kStart + milliseconds(20)));
  REQUIRE(again.size() == 1);
  CHECK(again[0].vm != sent[0].vm);
}

// Guards against a repeatable request that waits for a slow attempt although
// another endpoint is free.
TEST_CASE("a slow repeatable request is hedged and the late response dropped") {
  Router router = MakeTestRouter(TestRegion(), kStart);
  const auto first = ActionsOf<SendAttempt>(
      router.Handle(Layout(1, kStart + seconds(2)), kStart));
  REQUIRE(first.size() == 1);
  const Instant later = kStart + milliseconds(310);
  const auto hedge = ActionsOf<SendAttempt>(router.Handle(TimerTick{}, later));
  REQUIRE(hedge.size() == 1);
  CHECK(hedge[0].is_hedge);
  CHECK(hedge[0].vm != first[0].vm);
  const auto won = ActionsOf<Respond>(router.Handle(
      AttemptFinished{hedge[0].attempt, AttemptResult::kAnswered, true},
      later));
  REQUIRE(won.size() == 1);
  CHECK(won[0].attempt == hedge[0].attempt);
  CHECK(router.in_flight(first[0].vm) == 1);
  const auto lost = router.Handle(
      AttemptFinished{first[0].attempt, AttemptResult::kAnswered, true}, later);
  CHECK(ActionsOf<Respond>(lost).empty());
  CHECK(ActionsOf<DropResponse>(lost).size() == 1);
  CHECK(router.in_flight(first[0].vm) == 0);
}

// Guards against a failing endpoint that stays in the pool, and against an
// ejected endpoint that returns without successful probes.
TEST_CASE("a failing endpoint is ejected and returns after two probes") {
  Router router = MakeTestRouter(TestRegion(), kStart);
  Instant now = kStart;
  std::uint64_t id = 1;
  const VmId bad = TestVm(2);
  std::vector<ProbeEndpoint> probes;
  // Eight concurrent requests use every slot of the share, so that the bad
  // endpoint cannot be avoided.
  for (int i = 0; i < 3; ++i) {
    now += milliseconds(5);
    std::vector<SendAttempt> sent;
    for (int n = 0; n < 8; ++n) {
      const auto actions = router.Handle(Layout(id++, now + seconds(2)), now);
      for (const auto& it : ActionsOf<SendAttempt>(actions)) sent.push_back(it);
    }
    CHECK(sent.size() == 8);
    for (const SendAttempt& it : sent) {
      const AttemptResult result = it.vm == bad
                                       ? AttemptResult::kAnsweredWithError
                                       : AttemptResult::kAnswered;
      router.Handle(AttemptFinished{it.attempt, result, true},
                    now + milliseconds(1));
    }
  }
  REQUIRE(router.endpoints().is_ejected(bad));
  now += milliseconds(1100);
  probes = ActionsOf<ProbeEndpoint>(router.Handle(TimerTick{}, now));
  REQUIRE(probes.size() == 1);
  CHECK(probes[0].vm == bad);
  const ProbeFinished good{bad, true, false, Generation(1)};
  router.Handle(good, now);
  CHECK(router.endpoints().is_ejected(bad));
  router.Handle(good, now + seconds(1));
  CHECK(!router.endpoints().is_ejected(bad));
}

// Guards against new attempts on an endpoint whose probe reports that it is
// draining.
TEST_CASE("a draining endpoint receives no attempts until it restarts") {
  RegionState region = TestRegion();
  while (region.vms.size() > 2) region.vms.erase(std::prev(region.vms.end()));
  Router router = MakeTestRouter(region, kStart);
  router.Handle(ProbeFinished{TestVm(0), true, true, Generation(1)}, kStart);
  for (std::uint64_t id = 1; id <= 8; ++id) {
    for (const SendAttempt& it : ActionsOf<SendAttempt>(
             router.Handle(Layout(id, kStart + seconds(2)), kStart))) {
      CHECK(it.vm == TestVm(1));
    }
  }
  CHECK(router.Report(kStart).draining.contains(TestVm(0)));
  region.vms.at(TestVm(0)).generation = Generation(2);
  const auto actions = router.Handle(
      RegionStateChanged{std::make_shared<RegionState>(region), Version(2)},
      kStart + milliseconds(100));
  const auto sent = ActionsOf<SendAttempt>(actions);
  REQUIRE(!sent.empty());
  for (const SendAttempt& it : sent) CHECK(it.vm == TestVm(0));
}

// Guards against two entries that use the same slot: a share must not grow
// before the entry whose share shrinks has received the region state.
TEST_CASE("a share shrinks at once and grows after a delay") {
  RegionState region = TestRegion();
  Router router = MakeTestRouter(region, kStart);
  CHECK(router.endpoints().Limit(TestVm(0), kStart) == 2);
  region.shares[1].weight = 0;
  router.Handle(
      RegionStateChanged{std::make_shared<RegionState>(region), Version(2)},
      kStart);
  CHECK(router.endpoints().Limit(TestVm(0), kStart + seconds(2)) == 2);
  CHECK(router.endpoints().Limit(TestVm(0), kStart + seconds(3)) == 4);
  region.shares[1].weight = 3;
  router.Handle(
      RegionStateChanged{std::make_shared<RegionState>(region), Version(3)},
      kStart + seconds(4));
  CHECK(router.endpoints().Limit(TestVm(0), kStart + seconds(4)) == 1);
}

// Guards against requests that wait for ever in a queue that is no longer
// declared.
TEST_CASE("requests of a removed queue are refused at once") {
  RegionState region = TestRegion();
  region.vms.erase(std::next(region.vms.begin()), region.vms.end());
  Router router = MakeTestRouter(region, kStart);
  for (std::uint64_t id = 1; id <= 5; ++id) {
    router.Handle(Layout(id, kStart + seconds(2)), kStart);
    router.Handle(Order(100 + id, kStart + seconds(2)), kStart);
  }
  auto changed = std::make_shared<Declarations>(*TestDeclarations());
  changed->queues.erase(QueueId("proof/layout"));
  const auto responses =
      ActionsOf<Respond>(router.Handle(DeclarationsChanged{changed}, kStart));
  REQUIRE(!responses.empty());
  for (const Respond& it : responses) {
    CHECK(it.outcome == Outcome::kNotRun);
    CHECK(it.reason == OutcomeReason::kNoSuchQueue);
  }
}

}  // namespace
}  // namespace pomelomill
