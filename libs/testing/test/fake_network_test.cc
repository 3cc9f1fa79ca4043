#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "pomelomill/testing.h"

namespace pomelomill::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Fixture {
  VirtualTimerService world;
  FaultInjector injector{world};
  FakeNetwork network{world, &injector};
  FakeProcess a{"a", world};
  FakeProcess b{"b", world};
  std::string received;

  void Send(FakeProcess& from, FakeProcess& to, const std::string& text) {
    network.Send(from, to, "exchange", [this, text] { received += text; });
  }
};

// Guards against faults on messages that change nothing.
TEST_CASE("messages are lost, late, duplicated and reordered") {
  Fixture f;
  f.injector.Arm({"exchange", Fault::kLoseRequest, 1});
  f.injector.Arm({"exchange", Fault::kLateRequest, 2});
  f.injector.Arm({"exchange", Fault::kDuplicate, 3});
  f.injector.Arm({"exchange", Fault::kReorder, 4});
  f.Send(f.a, f.b, "1");
  f.Send(f.a, f.b, "2");
  f.Send(f.a, f.b, "3");
  f.world.Advance(seconds(2));
  CHECK(f.received == "33");
  f.Send(f.a, f.b, "4");
  f.Send(f.a, f.b, "5");
  f.world.Advance(milliseconds(10));
  CHECK(f.received == "3354");
  f.world.Advance(seconds(10));
  CHECK(f.received == "33542");
  CHECK(f.network.messages().at(0).deliveries == 0);
  CHECK(f.network.messages().at(2).deliveries == 2);
}

// Guards against a one-way partition that stops both directions.
TEST_CASE("partitions are one-way or two-way") {
  Fixture f;
  f.network.Block("a", "b");
  f.Send(f.a, f.b, "1");
  f.Send(f.b, f.a, "2");
  f.world.Advance(seconds(1));
  CHECK(f.received == "2");
  f.network.BlockFrom("b");
  f.Send(f.b, f.a, "3");
  f.network.Open("a", "b");
  f.Send(f.a, f.b, "4");
  f.world.Advance(seconds(1));
  CHECK(f.received == "24");
  f.network.BlockTo("b");
  f.Send(f.a, f.b, "5");
  f.world.Advance(seconds(1));
  f.network.HealAll();
  f.Send(f.a, f.b, "6");
  f.Send(f.b, f.a, "7");
  f.world.Advance(seconds(1));
  CHECK(f.received == "2467");
}

// Guards against messages that reach a crashed process, or that a paused one
// handles before it wakes.
TEST_CASE("a paused receiver handles messages on waking, a crashed one never") {
  Fixture f;
  f.b.Pause();
  f.Send(f.a, f.b, "1");
  f.world.Advance(seconds(1));
  CHECK(f.received.empty());
  f.b.Wake();
  CHECK(f.received == "1");
  f.b.Crash();
  f.Send(f.a, f.b, "2");
  f.world.Advance(seconds(1));
  f.b.Restart();
  f.world.Advance(seconds(1));
  CHECK(f.received == "1");
}

}  // namespace
}  // namespace pomelomill::testing
