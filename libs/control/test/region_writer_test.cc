#include "pomelomill/control/region_writer.h"

#include <doctest/doctest.h>

#include <optional>

#include "pomelomill/control/control_error.h"
#include "pomelomill/control/control_lease.h"
#include "pomelomill/platform/region_state_json.h"
#include "pomelomill/testing.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FakeProcess;
using testing::FakeStore;
using testing::FaultInjector;

const RegionId kRegion("r");

/// An entry process with a region writer.
struct Holder {
  Holder(const std::string& name, VirtualTimerService& world, FakeStore& store)
      : process(name, world),
        writer(store.ClientFor(process), kRegion, IncarnationId(name),
               [this](const auto&, Version) { ++published; }) {}

  std::optional<Status> TakeOver(VirtualTimerService& world) {
    std::optional<Status> result;
    writer.TakeOver([&](Status status) { result = status; });
    world.Advance(seconds(5));
    return result;
  }

  FakeProcess process;
  int published = 0;
  RegionWriter writer;
};

RegionState Stored(const FakeStore& store) {
  return *RegionStateFromJson(store.Read(RegionStateKey(kRegion)).value);
}

void AddVm(RegionWriter& writer, const std::string& vm) {
  writer.Propose([vm](RegionState* state, Version) {
    state->vms[VmId(vm)] = {.pool = PoolId("a")};
  });
}

// Guards against a write of a former holder that succeeds after another entry
// has taken over.
TEST_CASE("a superseded writer cannot write and steps down") {
  VirtualTimerService world;
  FakeStore store(world);
  Holder a("a", world, store);
  Holder b("b", world, store);
  REQUIRE(a.TakeOver(world)->has_value());
  AddVm(a.writer, "vm-1");
  a.writer.Flush();
  world.Advance(seconds(1));
  REQUIRE(b.TakeOver(world)->has_value());
  CHECK(b.writer.state()->epoch == Epoch(2));
  CHECK(b.writer.state()->vms.contains(VmId("vm-1")));

  AddVm(a.writer, "vm-2");
  a.writer.Flush();
  world.Advance(seconds(1));
  a.writer.Flush();
  world.Advance(seconds(1));
  CHECK_FALSE(a.writer.is_holder());
  CHECK(Stored(store).epoch == Epoch(2));
  CHECK_FALSE(Stored(store).vms.contains(VmId("vm-2")));
}

// Guards against a write that is repeated or treated as failed when only its
// response was lost.
TEST_CASE("a write whose response was lost is recognised by reading back") {
  VirtualTimerService world;
  FaultInjector injector(world);
  FakeStore store(world, &injector);
  Holder a("a", world, store);
  REQUIRE(a.TakeOver(world)->has_value());
  injector.Arm({.step = "store.put",
                .fault = testing::Fault::kLoseResponse,
                .occurrence = 2});
  AddVm(a.writer, "vm-1");
  a.writer.Flush();
  world.Advance(seconds(5));
  CHECK(a.writer.is_busy());
  a.writer.Flush();
  world.Advance(seconds(1));
  CHECK(injector.fired() == 1);
  CHECK(a.writer.is_holder());
  CHECK_FALSE(a.writer.is_busy());
  CHECK(a.writer.state()->vms.contains(VmId("vm-1")));
  CHECK(store.WritesOf(RegionStateKey(kRegion)).size() == 2);
}

// Guards against two writes that cannot be told apart: a holder that takes over
// again after a store outage has the same incarnation as the writer of the
// value that it reads.
TEST_CASE("a repeated take-over raises the sequence number") {
  VirtualTimerService world;
  FakeStore store(world);
  Holder a("a", world, store);
  REQUIRE(a.TakeOver(world)->has_value());
  AddVm(a.writer, "vm-1");
  a.writer.Flush();
  world.Advance(seconds(1));
  const RegionState before = Stored(store);
  REQUIRE(a.TakeOver(world)->has_value());
  CHECK(Stored(store).writer == before.writer);
  CHECK(Stored(store).sequence > before.sequence);
}

// Guards against a take-over that is reported as successful during a store
// outage.
TEST_CASE("a take-over fails while the store is down") {
  VirtualTimerService world;
  FakeStore store(world);
  Holder a("a", world, store);
  store.set_down(true);
  const auto status = a.TakeOver(world);
  REQUIRE(status.has_value());
  CHECK(status->error() == ControlError::kStoreFailed);
  CHECK_FALSE(a.writer.is_holder());
  store.set_down(false);
  CHECK(a.TakeOver(world)->has_value());
}

/// One entry that competes for the control lease.
struct Candidate {
  Candidate(const std::string& name, VirtualTimerService& world,
            FakeStore& store)
      : process(name, world),
        client(store.ClientFor(process)),
        control(
            {.region = kRegion, .self = IncarnationId(name)}, client, process,
            [this] { return held; }, [] { return 0.0; }) {}

  void Grant(VirtualTimerService& world, Duration ttl) {
    const Instant sent = process.Now();
    client.grant_lease(ttl, seconds(1), [this, sent, ttl](Result<LeaseId> id) {
      if (id) held = HeldLease{*id, sent + ttl};
    });
    world.Advance(milliseconds(100));
  }

  void Run(VirtualTimerService& world, int ticks) {
    for (int i = 0; i < ticks; ++i) {
      control.Tick();
      world.Advance(milliseconds(500));
    }
  }

  FakeProcess process;
  StoreClient client;
  std::optional<HeldLease> held;
  ControlLease control;
};

// Guards against two holders at a time, and against a holder that relies on a
// lease that may have expired.
TEST_CASE("one candidate holds the control lease until it may have expired") {
  VirtualTimerService world;
  FakeStore store(world);
  Candidate a("a", world, store);
  Candidate b("b", world, store);
  a.Grant(world, seconds(10));
  b.Grant(world, seconds(60));
  a.Run(world, 2);
  CHECK(a.control.IsHeldFor(seconds(5)));
  CHECK_FALSE(a.control.IsHeldFor(seconds(10)));
  b.Run(world, 2);
  CHECK_FALSE(b.control.IsHeldFor(Duration(0)));
  CHECK(b.control.holder() == IncarnationId("a"));
  while (!b.control.IsHeldFor(Duration(0))) {
    // At no step do both candidates hold the lease.
    b.Run(world, 1);
    const bool both =
        a.control.IsHeldFor(Duration(0)) && b.control.IsHeldFor(Duration(0));
    REQUIRE_FALSE(both);
  }
}

// Guards against a candidate that takes a key that it wrote under an earlier
// store lease for its own: the store deletes the key when that lease expires.
TEST_CASE("a key under an earlier store lease does not count as held") {
  VirtualTimerService world;
  FakeStore store(world);
  Candidate a("a", world, store);
  a.Grant(world, seconds(60));
  a.Run(world, 2);
  REQUIRE(a.control.IsHeldFor(Duration(0)));
  a.Grant(world, seconds(60));
  a.Run(world, 4);
  CHECK_FALSE(a.control.IsHeldFor(Duration(0)));
}

// Guards against an entry that keeps or regains control while it shuts down.
TEST_CASE("a released lease is free at once and is not claimed again") {
  VirtualTimerService world;
  FakeStore store(world);
  Candidate a("a", world, store);
  Candidate b("b", world, store);
  a.Grant(world, seconds(60));
  b.Grant(world, seconds(60));
  a.Run(world, 2);
  a.control.Release();
  world.Advance(milliseconds(100));
  a.Run(world, 4);
  CHECK_FALSE(a.control.IsHeldFor(Duration(0)));
  b.Run(world, 4);
  CHECK(b.control.IsHeldFor(Duration(0)));
}

}  // namespace
}  // namespace pomelomill
