#include "plan_scheduler.h"

#include <doctest/doctest.h>

#include <vector>

#include "pomelomill/base/virtual_timer_service.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kInterval = milliseconds(4);

}  // namespace

// Replays a load peak, at which a thousand reports a second reach an owner.
// Guards against a plan for each of them.
TEST_CASE("changes that arrive together share a plan") {
  VirtualTimerService timers;
  int plans = 0;
  PlanScheduler scheduler(timers, kInterval, [&] { ++plans; });
  for (int i = 0; i < 1'000; ++i) {
    scheduler.Schedule();
    timers.Advance(milliseconds(1));
  }
  CHECK(plans <= seconds(1) / kInterval);
  CHECK(plans >= seconds(1) / kInterval / 2);
}

// Guards against a delay of the first plan after a pause.
TEST_CASE("a single change is planned for at once") {
  VirtualTimerService timers;
  std::vector<Instant> planned;
  PlanScheduler scheduler(timers, kInterval,
                          [&] { planned.push_back(timers.Now()); });
  timers.Advance(seconds(1));
  scheduler.Schedule();
  timers.Advance(milliseconds(0));
  CHECK(planned == std::vector{Instant(seconds(1))});
}

TEST_CASE("the earliest of several times counts") {
  VirtualTimerService timers;
  std::vector<Instant> planned;
  PlanScheduler scheduler(timers, kInterval,
                          [&] { planned.push_back(timers.Now()); });
  scheduler.ScheduleAt(Instant(milliseconds(50)));
  scheduler.ScheduleAt(Instant(milliseconds(20)));
  scheduler.ScheduleAt(Instant(milliseconds(70)));
  timers.Advance(milliseconds(200));
  CHECK(planned == std::vector{Instant(milliseconds(20))});
}

TEST_CASE("a destroyed scheduler does not plan") {
  VirtualTimerService timers;
  int plans = 0;
  {
    PlanScheduler scheduler(timers, kInterval, [&] { ++plans; });
    scheduler.Schedule();
  }
  timers.Advance(seconds(1));
  CHECK(plans == 0);
}

}  // namespace pomelomill
