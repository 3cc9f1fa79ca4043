#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "pomelomill/testing.h"

namespace pomelomill::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a crashed process that still acts through an old timer or an
// old response.
TEST_CASE("a crash drops timers and bound callbacks for good") {
  VirtualTimerService world;
  FakeProcess process("entry-1", world);
  int starts = 0;
  int effects = 0;
  process.Start([&] { ++starts; });
  process.ScheduleAfter(seconds(1), [&] { ++effects; });
  auto response = process.Bind([&] { ++effects; });
  process.Crash();
  process.ScheduleAfter(seconds(1), [&] { ++effects; });
  process.Restart();
  response();
  world.Advance(seconds(5));
  CHECK(effects == 0);
  CHECK(starts == 2);
  CHECK(process.run() == 2);
}

// Guards against a pause that loses work or lets it run early, and against a
// cancelled timer that runs on wake.
TEST_CASE("a paused process runs its due work when it wakes, in order") {
  VirtualTimerService world;
  FakeProcess process("entry-1", world);
  std::string order;
  process.ScheduleAfter(seconds(1), [&] { order += "a"; });
  const TimerId dropped =
      process.ScheduleAfter(seconds(2), [&] { order += "x"; });
  process.ScheduleAfter(seconds(3), [&] { order += "b"; });
  process.Pause();
  world.ScheduleAfter(milliseconds(1500), process.Bind([&, dropped] {
    order += "r";
    process.Cancel(dropped);
  }));
  world.Advance(seconds(10));
  CHECK(order.empty());
  process.Wake();
  CHECK(order == "arb");
  CHECK(process.Now() == Instant(seconds(10)));
}

// Guards against timers that fire before their local time on a drifting clock.
TEST_CASE("timers follow the drift and the jumps of the local clock") {
  VirtualTimerService world;
  FakeProcess process("entry-1", world);
  process.SetClockRate(0.5);
  Instant fired_world;
  Instant fired_local;
  process.ScheduleAt(Instant(seconds(10)), [&] {
    fired_world = world.Now();
    fired_local = process.Now();
  });
  world.Advance(seconds(4));
  CHECK(process.Now() == Instant(seconds(2)));
  process.JumpClock(seconds(6));
  world.Advance(milliseconds(3999));
  CHECK(fired_local == Instant());
  world.Advance(milliseconds(2));
  CHECK(fired_local >= Instant(seconds(10)));
  CHECK(fired_world - Instant(seconds(8)) < milliseconds(1));
}

// Guards against a matrix whose cells silently inject nothing.
TEST_CASE("a fault fires at the n-th passage of its step and is recorded") {
  VirtualTimerService world;
  FaultInjector injector(world);
  FakeProcess process("entry-1", world);
  injector.Arm({"lease.renew", Fault::kCrashBefore, 2});
  CHECK(injector.Before("lease.renew", process) == Fault::kNone);
  CHECK(injector.Before("lease.grant", process) == Fault::kNone);
  CHECK(injector.Before("lease.renew", process) == Fault::kCrashBefore);
  CHECK(!process.is_running());
  CHECK(injector.fired() == 1);
  CHECK(injector.passages().size() == 3);
  world.Advance(injector.durations.restart);
  CHECK(process.is_running());
}

// Guards against faults that the command line cannot name.
TEST_CASE("every fault has a name of its own") {
  for (Fault fault : AllFaults()) {
    CHECK(FaultByName(FaultName(fault)) == fault);
  }
  CHECK(AllFaults().size() == 33);
  CHECK(!FaultByName("no-such-fault"));
}

}  // namespace
}  // namespace pomelomill::testing
