#include "pomelomill/jobserver/worker_link.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "pomelomill/base/virtual_timer_service.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;

/// A link whose calls are answered by the test.
class LinkFixture {
 public:
  LinkFixture() {
    calls_.renew = [this](const WorkerAddress&, const RenewCall& call,
                          std::function<void(Result<WorkerReport>)> done) {
      sent.push_back(call);
      done_ = std::move(done);
    };
    WorkerLinkHooks hooks;
    hooks.on_report = [](const WorkerReport&) {};
    hooks.on_silent = [](std::error_code) {};
    hooks.on_gone = [](const char*) {};
    hooks.on_fenced = [] {};
    hooks.ack_limit = [this] { return ack_limit; };
    hooks.has_unstored_ends = [this] { return has_unstored_ends; };
    hooks.may_order = [] { return true; };
    link = std::make_unique<WorkerLink>(
        calls_, timers,
        WorkerAddress{.id = WorkerId("w"), .address = "127.0.0.1:1"},
        FencingToken(1), hooks);
    link->Start();
  }

  /// Answers the call that waits; the worker began its life at `born_ms`.
  void Answer(std::int64_t clock_ms, std::int64_t born_ms = 1) {
    auto done = std::move(done_);
    done(WorkerReport{.clock_ms = clock_ms, .born_ms = born_ms});
  }

  VirtualTimerService timers;
  std::uint64_t ack_limit = 0;
  bool has_unstored_ends = false;
  std::vector<RenewCall> sent;
  std::unique_ptr<WorkerLink> link;

 private:
  WorkerCalls calls_;
  std::function<void(Result<WorkerReport>)> done_;
};

}  // namespace

TEST_CASE("ends are acknowledged at once after a call that waited for them") {
  // Guards against a delay of every acknowledgement by another call: the call
  // that brought the end was sent long ago, its answer is fresh.
  LinkFixture fixture;
  fixture.Answer(1000);
  fixture.timers.Advance(milliseconds(550));
  fixture.has_unstored_ends = true;
  fixture.Answer(1550);
  fixture.timers.Advance(milliseconds(20));
  fixture.has_unstored_ends = false;
  fixture.ack_limit = 4;
  fixture.link->Wake();
  CHECK(fixture.sent.back().acknowledged == 4);
  CHECK(fixture.sent.back().wait > Duration(0));
}

TEST_CASE("a link that was paused asks the worker before it acknowledges") {
  // Guards against the loss of an end: while this process was paused the
  // worker began a new life, in which end 4 belongs to another task.
  LinkFixture fixture;
  fixture.Answer(1000);
  fixture.has_unstored_ends = true;
  fixture.Answer(1005);
  fixture.ack_limit = 4;
  fixture.has_unstored_ends = false;
  fixture.timers.Advance(milliseconds(90));
  SUBCASE("the same life goes on") {
    fixture.link->Wake();
    REQUIRE(fixture.sent.back().acknowledged == 4);
    fixture.timers.Advance(milliseconds(500));
    fixture.ack_limit = 5;
    fixture.Answer(1100);
    CHECK(fixture.sent.back().acknowledged == 0);
    CHECK(fixture.sent.back().wait == Duration(0));
    fixture.Answer(1595);
    CHECK(fixture.sent.back().acknowledged == 5);
  }
  SUBCASE("a new life answers") {
    fixture.link->Wake();
    fixture.timers.Advance(milliseconds(500));
    fixture.ack_limit = 5;
    fixture.Answer(1100);
    REQUIRE(fixture.sent.back().acknowledged == 0);
    fixture.ack_limit = 0;
    fixture.Answer(20, 2);
    CHECK(fixture.sent.back().acknowledged == 0);
    fixture.ack_limit = 1;
    fixture.Answer(25, 2);
    CHECK(fixture.sent.back().acknowledged == 1);
  }
}

TEST_CASE("an end is acknowledged once in each life") {
  // Guards against repeated acknowledgements that reach a new life late.
  LinkFixture fixture;
  fixture.Answer(1000);
  fixture.ack_limit = 3;
  fixture.Answer(1005);
  REQUIRE(fixture.sent.back().acknowledged == 3);
  fixture.Answer(1010);
  CHECK(fixture.sent.back().acknowledged == 0);
  CHECK(fixture.sent.back().wait > Duration(0));
}

}  // namespace pomelomill
