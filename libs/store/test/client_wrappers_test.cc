#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <vector>

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

  std::error_code Get(const StoreClient& c) {
    std::optional<std::error_code> ec;
    c.get("k", seconds(1), [&](const Result<StoreItem>& r) {
      REQUIRE(!ec);
      ec = r ? std::error_code() : r.error();
    });
    CHECK_MESSAGE(!ec, "callbacks run later");
    world.Advance(seconds(1));
    REQUIRE(ec);
    return *ec;
  }
};

// Guards against calls on a store that is down, and against a breaker that
// stays open after the store is back.
TEST_CASE("the breaker opens after failures and closes after a probe") {
  Fixture f;
  f.store.Write("k", "v");
  const auto breaker = std::make_shared<CircuitBreaker>();
  const StoreClient c = WithBreaker(f.client, f.process, breaker);
  CHECK(f.Get(c) == std::error_code());
  f.store.set_down(true);
  for (int i = 0; i < 5; ++i) CHECK(f.Get(c) == StoreError::kUnavailable);
  CHECK(breaker->is_open());
  const auto calls = f.store.calls();
  CHECK(f.Get(c) == StoreError::kUnavailable);
  CHECK(f.store.calls() == calls);
  f.store.set_down(false);
  f.world.Advance(seconds(2));
  CHECK(f.Get(c) == std::error_code());
  CHECK_FALSE(breaker->is_open());
  CHECK(f.store.calls() == calls + 1);
}

// Guards against a slow store that passes for a healthy one, and against a
// waiting watch that passes for a slow call.
TEST_CASE("slow responses open the breaker, waiting watches do not") {
  Fixture f;
  f.store.Write("k", "v");
  const auto breaker = std::make_shared<CircuitBreaker>();
  const StoreClient c = WithBreaker(f.client, f.process, breaker);
  for (int i = 0; i < 6; ++i) {
    c.watch("k", Version(1), seconds(5), [](const Result<StoreItem>&) {});
    f.world.Advance(seconds(6));
  }
  CHECK_FALSE(breaker->is_open());
  f.store.set_latency(milliseconds(450));
  for (int i = 0; i < 5; ++i) CHECK(f.Get(c) == std::error_code());
  CHECK(breaker->is_open());
}

// Guards against more than one call at a time on an open breaker.
TEST_CASE("an open breaker lets one probe through at a time") {
  CircuitBreaker breaker;
  const Instant start{};
  for (std::uint32_t i = 0; i < 5; ++i) {
    CHECK(breaker.Allow(start));
    breaker.OnFailure(start);
  }
  const Instant later = start + breaker.options().open_time;
  CHECK_FALSE(breaker.Allow(later - milliseconds(1)));
  CHECK(breaker.Allow(later));
  CHECK_FALSE(breaker.Allow(later));
  breaker.OnFailure(later);
  CHECK_FALSE(breaker.Allow(later + milliseconds(1)));
  CHECK(breaker.Allow(later + breaker.options().open_time));
  breaker.OnSuccess();
  CHECK(breaker.Allow(later + breaker.options().open_time));
}

// Guards against calls that pile up on a slow store.
TEST_CASE("a second call of one purpose is refused while one is outstanding") {
  Fixture f;
  const StoreClient c = WithOneOutstanding(f.client, f.process);
  std::vector<std::error_code> results;
  const auto done = [&](const Result<StoreItem>& r) {
    results.push_back(r ? std::error_code() : r.error());
  };
  c.get("k", seconds(1), done);
  c.get("k", seconds(1), done);
  CHECK(results.empty());
  f.world.Advance(seconds(1));
  CHECK(results ==
        std::vector<std::error_code>{make_error_code(StoreError::kUnavailable),
                                     make_error_code(StoreError::kNotFound)});
  CHECK(f.store.calls() == 1);
  CHECK(f.Get(c) == StoreError::kNotFound);
}

// Guards against counts that leave out a call or file it under another result.
TEST_CASE("the counter agrees with the store's own record") {
  Fixture f;
  const auto counter = std::make_shared<CallCounter>();
  const StoreClient c = WithCounter(f.client, counter);
  f.store.Write("k", "v");
  f.Get(c);
  f.store.set_down(true);
  f.Get(c);
  f.store.set_down(false);
  f.store.set_unreachable(true);
  c.put("k", "x", Version(1), LeaseId(), seconds(1),
        [](const Result<Version>&) {});
  f.world.Advance(seconds(1));
  f.store.set_unreachable(false);
  c.put("k", "x", Version(9), LeaseId(), seconds(1),
        [](const Result<Version>&) {});
  c.erase("k", Version(1), seconds(1), [](const Result<Version>&) {});
  c.watch("k", Version(), seconds(1), [](const Result<StoreItem>&) {});
  c.range("k", seconds(1), [](const Result<std::vector<StoreItem>>&) {});
  c.grant_lease(seconds(5), seconds(1), [](const Result<LeaseId>&) {});
  c.renew_lease(LeaseId("none"), seconds(1), [](const Result<LeaseId>&) {});
  c.revoke_lease(LeaseId("none"), seconds(1), [](const Result<LeaseId>&) {});
  f.world.Advance(seconds(3));
  CHECK(counter->count(StoreCallKind::kGet).started == 2);
  CHECK(counter->count(StoreCallKind::kGet).succeeded == 1);
  CHECK(counter->count(StoreCallKind::kGet).unavailable == 1);
  CHECK(counter->count(StoreCallKind::kPut).unknown == 1);
  CHECK(counter->count(StoreCallKind::kPut).refused == 1);
  CHECK(counter->count(StoreCallKind::kRenewLease).refused == 1);
  for (std::size_t i = 0; i < kStoreCallKinds; ++i)
    CHECK(counter->count(static_cast<StoreCallKind>(i)).started >= 1);
  // The put that never arrived is the only call that the store did not see.
  CHECK(counter->started() == f.store.calls() + 1);
}

// Guards against a configuration that reverts by a lagging watch, read or
// peer: whatever the order of items, versions only rise.
TEST_CASE("a watcher never delivers a lower version") {
  CHECK(rc::check([](std::uint64_t seed) {
    Random random(seed);
    Fixture f;
    std::vector<Version> delivered;
    KeyWatcher watcher(f.client, f.process, "k", [&](const StoreItem& item) {
      delivered.push_back(item.version);
    });
    watcher.Start();
    for (int i = 0; i < 60; ++i) {
      switch (random.Below(8)) {
        case 0:
          f.store.set_down(random.Chance(0.4));
          break;
        case 1:
          f.store.set_watch_delay(milliseconds(random.Below(5'000)));
          break;
        case 2:
          watcher.Offer({"k", "from a peer", Version(random.Below(20))});
          break;
        default:
          f.store.Write("k", std::to_string(i));
      }
      f.world.Advance(milliseconds(random.Below(2'000)));
    }
    f.store.set_down(false);
    f.store.set_watch_delay(Duration(0));
    f.world.Advance(seconds(60));
    for (std::size_t i = 1; i < delivered.size(); ++i)
      RC_ASSERT(delivered[i - 1] < delivered[i]);
    RC_ASSERT(watcher.version() >= f.store.Read("k").version);
    RC_ASSERT(watcher.last_contact().has_value());
  }));
}

// Guards against a watcher that floods the store while it is down, or while
// nothing changes: one call for each wait, and one for each longest pause
// after the doubling of the first pauses.
TEST_CASE("a watcher's calls are bounded") {
  Fixture f;
  const KeyWatcherOptions options;
  KeyWatcher watcher(f.client, f.process, "k", [](const StoreItem&) {});
  watcher.Start();
  f.world.Advance(seconds(200));
  CHECK(f.store.calls() <=
        1 + static_cast<std::uint64_t>(seconds(200) / options.wait));
  f.store.set_down(true);
  const auto calls = f.store.calls();
  f.world.Advance(seconds(300));
  CHECK(f.store.calls() - calls <=
        6 + static_cast<std::uint64_t>(seconds(300) / options.longest_pause));
}

// Guards against a watch that the store never answers and that delays a
// configuration beyond the 10 s in which it must be in force everywhere.
TEST_CASE("a lost watch is replaced within the time of a configuration") {
  Fixture f;
  std::optional<Instant> delivered;
  KeyWatcher watcher(f.client, f.process, "k",
                     [&](const StoreItem&) { delivered = f.process.Now(); });
  // The longest pause is reached, and then one more watch is lost.
  f.store.set_unreachable(true);
  watcher.Start();
  f.world.Advance(seconds(40));
  f.store.set_unreachable(false);
  f.store.Write("k", "new");
  const Instant accepted = f.process.Now();
  f.world.Advance(seconds(60));
  REQUIRE(delivered.has_value());
  CHECK(*delivered - accepted < seconds(10));
}

// Guards against watches that take the store's reads as the fleet grows: 36
// entries with 2 watches each may take a tenth of 2,000 reads a second, also
// when the store is down.
TEST_CASE("the watches of all entries stay within the store's reads") {
  constexpr double kWatches = 36 * 2;
  const KeyWatcherOptions options;
  const double shortest = std::chrono::duration<double>(
                              std::min(options.wait, options.longest_pause))
                              .count();
  CHECK(kWatches / shortest <= 2000 * 0.1);
}

}  // namespace
}  // namespace pomelomill
