#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <string>

#include "pomelomill/store.h"
#include "pomelomill/testing.h"

namespace pomelomill::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTimeout = seconds(2);

struct Fixture {
  VirtualTimerService world;
  FaultInjector injector{world};
  FakeStore store{world, &injector};
  FakeProcess process{"entry-1", world};
  StoreClient client = store.ClientFor(process);

  template <typename T>
  StoreCallback<T> Into(std::optional<Result<T>>& slot) {
    return [&slot](Result<T> result) {
      CHECK(!slot);
      slot = std::move(result);
    };
  }

  Result<Version> Put(const std::string& key, const std::string& value,
                      Version expect, const LeaseId& lease = {}) {
    std::optional<Result<Version>> result;
    client.put(key, value, expect, lease, kTimeout, Into<Version>(result));
    world.Advance(kTimeout);
    REQUIRE(result);
    return *result;
  }
  Result<StoreItem> Get(const std::string& key) {
    std::optional<Result<StoreItem>> result;
    client.get(key, kTimeout, Into<StoreItem>(result));
    world.Advance(kTimeout);
    REQUIRE(result);
    return *result;
  }
  LeaseId Grant(Duration ttl) {
    std::optional<Result<LeaseId>> result;
    client.grant_lease(ttl, kTimeout, Into<LeaseId>(result));
    world.Advance(milliseconds(10));
    REQUIRE(result);
    return **result;
  }
};

// Guards against versions that restart after a delete, which would let an old
// writer's compare-and-swap succeed.
TEST_CASE("versions increase with each write and never restart") {
  Fixture f;
  CHECK(f.Put("k", "a", Version()) == Version(1));
  CHECK(f.Put("k", "b", Version()).error() == StoreError::kConflict);
  CHECK(f.Put("k", "b", Version(1)) == Version(2));
  std::optional<Result<Version>> erased;
  f.client.erase("k", Version(2), kTimeout, f.Into<Version>(erased));
  f.world.Advance(kTimeout);
  CHECK(erased->has_value());
  CHECK(f.Get("k").error() == StoreError::kNotFound);
  CHECK(f.Put("k", "c", Version(2)).error() == StoreError::kConflict);
  CHECK(f.Put("k", "c", Version()) == Version(4));
  CHECK(f.store.WritesOf("k").size() == 4);
}

// Guards against a fake that turns a lost response into a lost write.
TEST_CASE(
    "a lost response leaves the write in force, a lost request does not") {
  Fixture f;
  f.injector.Arm({"store.put", Fault::kLoseResponse, 1});
  f.injector.Arm({"store.put", Fault::kLoseRequest, 2});
  CHECK(f.Put("a", "1", Version()).error() == StoreError::kOutcomeUnknown);
  CHECK(f.store.Read("a").value == "1");
  CHECK(f.Put("b", "1", Version()).error() == StoreError::kOutcomeUnknown);
  CHECK(f.store.Read("b").version == Version());
}

// Guards against a late request that never arrives, and against two responses
// to one call.
TEST_CASE("late and duplicated requests take effect after the timeout") {
  Fixture f;
  f.injector.Arm({"store.put", Fault::kLateRequest, 1});
  f.injector.Arm({"store.put", Fault::kDuplicate, 2});
  CHECK(f.Put("a", "1", Version()).error() == StoreError::kOutcomeUnknown);
  CHECK(f.store.Read("a").version == Version());
  f.world.Advance(seconds(10));
  CHECK(f.store.Read("a").version == Version(1));
  CHECK(f.Put("b", "1", Version()) == Version(1));
  CHECK(f.store.CallsOf(StoreCall::kPut) == 3);
  CHECK(f.store.arrivals().back().outcome == StoreError::kConflict);
}

// Guards against a reordered request that keeps its place.
TEST_CASE("a reordered request arrives after the next one") {
  Fixture f;
  f.injector.Arm({"store.put", Fault::kReorder, 1});
  std::optional<Result<Version>> first;
  std::optional<Result<Version>> second;
  f.client.put("k", "1", Version(), {}, kTimeout, f.Into<Version>(first));
  f.client.put("k", "2", Version(), {}, kTimeout, f.Into<Version>(second));
  f.world.Advance(kTimeout);
  CHECK(second->has_value());
  CHECK(first->error() == StoreError::kConflict);
}

// Guards against leases that outlive their time to live or their renewals.
TEST_CASE("keys of a lease go when it lapses, and renewals keep them") {
  Fixture f;
  const LeaseId lease = f.Grant(seconds(5));
  CHECK(f.Put("k", "1", Version(), lease));
  std::optional<Result<LeaseId>> renewed;
  f.client.renew_lease(lease, kTimeout, f.Into<LeaseId>(renewed));
  f.world.Advance(seconds(4));
  CHECK(f.store.Read("k").version == Version(1));
  f.world.Advance(seconds(2));
  CHECK(f.store.Read("k").version == Version());
  CHECK(f.store.leases().at(lease).ended);
  CHECK(f.Put("k", "2", Version(), lease).error() == StoreError::kLeaseLapsed);
  renewed.reset();
  f.client.renew_lease(lease, kTimeout, f.Into<LeaseId>(renewed));
  f.world.Advance(kTimeout);
  CHECK(renewed->error() == StoreError::kLeaseLapsed);
}

// Guards against a watch that misses the write it waits for or never ends.
TEST_CASE("a watch reports a newer version, or version 0 after the wait") {
  Fixture f;
  std::optional<Result<StoreItem>> result;
  f.client.watch("k", Version(), seconds(5), f.Into<StoreItem>(result));
  f.world.Advance(seconds(1));
  CHECK(!result);
  f.store.Write("k", "1");
  f.world.Advance(milliseconds(5));
  CHECK((*result)->version == Version(1));
  result.reset();
  f.client.watch("k", Version(1), seconds(5), f.Into<StoreItem>(result));
  f.world.Advance(seconds(6));
  CHECK((*result)->version == Version());
  CHECK(f.store.CallsOf(StoreCall::kWatch) == 2);
}

// Guards against an outage that has effects, or that leaves watches waiting.
TEST_CASE("a store that is down or over its limit has no effect") {
  Fixture f;
  std::optional<Result<StoreItem>> watch;
  f.client.watch("k", Version(), seconds(50), f.Into<StoreItem>(watch));
  f.world.Advance(seconds(1));
  f.store.set_down(true);
  f.world.Advance(seconds(1));
  CHECK(watch->error() == StoreError::kUnavailable);
  CHECK(f.Put("k", "1", Version()).error() == StoreError::kUnavailable);
  f.store.set_down(false);
  f.store.set_unreachable(true);
  CHECK(f.Put("k", "1", Version()).error() == StoreError::kOutcomeUnknown);
  CHECK(f.Get("k").error() == StoreError::kUnavailable);
  f.store.set_unreachable(false);
  f.store.set_rate_limit(0.1);
  CHECK(f.Put("k", "1", Version()).error() == StoreError::kRateLimited);
  CHECK(f.store.writes().empty());
}

// Guards against stale reads that are fresh.
TEST_CASE("a stale read returns the value before the latest write") {
  Fixture f;
  f.store.Write("k", "1");
  f.store.Write("k", "2");
  f.injector.Arm({"store.get", Fault::kStaleRead, 1});
  const auto stale = f.Get("k");
  CHECK(stale->value == "1");
  CHECK(stale->version == Version(1));
  CHECK(f.Get("k")->value == "2");
}

// Guards against a pause in which the request goes out at once: a paused
// holder must write when it wakes.
TEST_CASE("a process paused before a write sends it on waking") {
  Fixture f;
  f.injector.Arm({"store.put", Fault::kPauseBefore, 1});
  std::optional<Result<Version>> result;
  f.client.put("k", "1", Version(), {}, kTimeout, f.Into<Version>(result));
  f.world.Advance(f.injector.durations.pause - seconds(1));
  CHECK(f.store.writes().empty());
  f.world.Advance(seconds(2));
  CHECK(f.store.Read("k").version == Version(1));
  CHECK(result->error() == StoreError::kOutcomeUnknown);
}

}  // namespace
}  // namespace pomelomill::testing
