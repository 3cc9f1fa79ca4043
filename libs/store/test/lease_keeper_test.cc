#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

#include "pomelomill/base.h"
#include "pomelomill/store.h"
#include "pomelomill/testing.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FakeProcess;
using testing::FakeStore;

struct Fixture {
  VirtualTimerService world;
  FakeStore store{world};
  FakeProcess process{"entry-1", world};
  StoreClient client = store.ClientFor(process);
  std::string events;
  LeaseKeeper keeper{client,
                     process,
                     LeaseKeeperOptions(),
                     {[this](const LeaseId&) { events += 'h'; },
                      [this] { events += 'u'; }, [this] { events += 'l'; }}};
};

// Guards against renewals that are too rare to survive a failed one, or more
// frequent than the store's budget allows.
TEST_CASE("a lease is granted once and renewed at a third of its time") {
  Fixture f;
  CHECK_FALSE(f.keeper.is_held());
  f.keeper.Start();
  f.world.Advance(seconds(60));
  CHECK(f.keeper.is_held());
  CHECK(f.events == "h");
  CHECK(f.store.leases().size() == 1);
  const auto renewals = f.store.CallsOf(testing::StoreCall::kRenewLease);
  CHECK(renewals >= 17);
  CHECK(renewals <= 18);
}

// Guards against a holder that counts from the response: the store may have
// started its count long before.
TEST_CASE("a lease counts from the moment before the call was sent") {
  Fixture f;
  f.store.set_latency(milliseconds(400));
  const Instant sent_at = f.process.Now();
  f.keeper.Start();
  f.world.Advance(milliseconds(900));
  CHECK(f.keeper.held_until() ==
        sent_at + LeaseKeeperOptions().ttl - LeaseKeeperOptions().drift_margin);
}

// Guards against a holder that still believes in its lease after an outage or
// a pause, and against a new lease while the old one still exists.
TEST_CASE("an outage makes the lease uncertain, then a new one is granted") {
  Fixture f;
  f.keeper.Start();
  f.world.Advance(seconds(1));
  const LeaseId first = f.keeper.lease();
  f.store.set_unreachable(true);
  f.world.Advance(seconds(8));
  CHECK(f.keeper.is_held());
  f.world.Advance(seconds(5));
  CHECK_FALSE(f.keeper.is_held());
  CHECK(f.events == "hu");
  CHECK(f.process.Now() > f.keeper.lapsed_after() - seconds(1));
  f.store.set_unreachable(false);
  f.world.Advance(seconds(4));
  CHECK(f.keeper.is_held());
  CHECK(f.keeper.lease() != first);
  CHECK(f.events == "hulh");
}

// Guards against losing a lease that the store still has after a short outage.
TEST_CASE("a lease that was uncertain but renewed in time is kept") {
  Fixture f;
  f.keeper.Start();
  f.world.Advance(seconds(1));
  const LeaseId first = f.keeper.lease();
  f.store.set_down(true);
  f.world.Advance(milliseconds(8'600));
  CHECK(f.events == "hu");
  f.store.set_down(false);
  f.world.Advance(seconds(2));
  CHECK(f.keeper.is_held());
  CHECK(f.keeper.lease() == first);
  CHECK(f.events == "huh");
}

// Guards against acting on a lease that lapsed during a pause, before the
// timers of the process have run.
TEST_CASE("a paused holder knows at once that its lease may have lapsed") {
  Fixture f;
  f.keeper.Start();
  f.world.Advance(seconds(1));
  f.process.Pause();
  f.world.Advance(seconds(25));
  CHECK_FALSE(f.keeper.is_held());
  f.process.Wake();
  f.world.Advance(seconds(2));
  CHECK(f.keeper.is_held());
  CHECK(f.store.leases().size() == 2);
}

// Guards against a lease that outlives a planned stop of its holder.
TEST_CASE("Stop gives the lease up") {
  Fixture f;
  f.keeper.Start();
  f.world.Advance(seconds(1));
  const LeaseId lease = f.keeper.lease();
  bool is_done = false;
  f.keeper.Stop([&] { is_done = true; });
  CHECK_FALSE(f.keeper.is_held());
  f.world.Advance(seconds(1));
  CHECK(is_done);
  CHECK(f.store.leases().at(lease).ended.has_value());
  f.world.Advance(seconds(30));
  CHECK(f.store.leases().size() == 1);
}

// Guards against the loss of a lease by a process that is late with everything:
// it takes timers and answers only each 0.8 s, and one of its renewals fails.
TEST_CASE("a late process keeps its lease when a renewal fails") {
  const LeaseKeeperOptions options{.ttl = seconds(3),
                                   .drift_margin = milliseconds(300),
                                   .call_timeout = milliseconds(900),
                                   .retry_pause = milliseconds(150)};
  // The failure meets another call each time.
  for (int failed_round = 3; failed_round < 12; ++failed_round) {
    CAPTURE(failed_round);
    Fixture f;
    LeaseKeeper keeper(f.client, f.process, options,
                       {[&](const LeaseId&) { f.events += 'h'; },
                        [&] { f.events += 'u'; }, [&] { f.events += 'l'; }});
    keeper.Start();
    f.world.Advance(milliseconds(100));
    for (int i = 0; i < 30; ++i) {
      f.store.set_down(i == failed_round);
      f.process.Pause();
      f.world.Advance(milliseconds(800));
      f.process.Wake();
      // Long enough for a call to reach the store, not for its answer.
      f.world.Advance(Duration(1));
    }
    CHECK(f.events == "h");
    CHECK(f.store.leases().size() == 1);
  }
}

// Guards against the one error that must not happen: a holder that believes in
// its lease when the store has ended it, whatever the clock drift within the
// margin, outages, latency and pauses.
TEST_CASE("a lease that counts as held exists in the store") {
  CHECK(rc::check([](std::uint64_t seed) {
    Random random(seed);
    Fixture f;
    // The margin of 0.5 s on 10 s covers clocks that differ by 5%.
    f.process.SetClockRate(0.96 + random.Unit() * 0.08);
    f.keeper.Start();
    for (int i = 0; i < 300; ++i) {
      switch (random.Below(24)) {
        case 0:
          f.store.set_unreachable(random.Chance(0.5));
          break;
        case 1:
          f.store.set_down(random.Chance(0.5));
          break;
        case 2:
          f.store.set_latency(milliseconds(random.Below(700)));
          break;
        case 3:
          f.process.Pause();
          break;
        case 4:
          f.process.Wake();
          break;
        case 5:
          f.process.JumpClock(milliseconds(random.Below(3'000)));
          break;
        default:
          break;
      }
      f.world.Advance(milliseconds(random.Below(1'500)));
      if (!f.keeper.is_held()) continue;
      const auto& lease = f.store.leases().at(f.keeper.lease());
      RC_ASSERT(!lease.ended.has_value());
    }
  }));
}

}  // namespace
}  // namespace pomelomill
