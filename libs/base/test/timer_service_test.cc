#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <string>
#include <vector>

#include "pomelomill/base.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;

// Guards against runs that depend on container order: equal times must run in
// the order of scheduling.
TEST_CASE("virtual timers run by time, then by order of scheduling") {
  VirtualTimerService timers;
  std::string order;
  timers.ScheduleAfter(milliseconds(2), [&] { order += "c"; });
  timers.ScheduleAfter(milliseconds(1), [&] { order += "a"; });
  timers.ScheduleAfter(milliseconds(1), [&] { order += "b"; });
  timers.Advance(milliseconds(5));
  CHECK(order == "abc");
  CHECK(timers.Now() == Instant(milliseconds(5)));
}

// Guards against losing timers that a callback schedules inside the interval
// that is being advanced over.
TEST_CASE("virtual timers scheduled while advancing run on the way") {
  VirtualTimerService timers;
  std::vector<Instant> ticks;
  std::function<void()> tick = [&] {
    ticks.push_back(timers.Now());
    timers.ScheduleAfter(milliseconds(10), tick);
  };
  timers.ScheduleAfter(milliseconds(10), tick);
  timers.Advance(milliseconds(35));
  CHECK(ticks.size() == 3);
  CHECK(ticks.back() == Instant(milliseconds(30)));
}

// Guards against a cancelled timer that still fires.
TEST_CASE("cancelled timers do not run") {
  VirtualTimerService timers;
  int runs = 0;
  const TimerId id = timers.ScheduleAfter(milliseconds(1), [&] { ++runs; });
  timers.Cancel(id);
  timers.Cancel(id);
  timers.Advance(milliseconds(5));
  CHECK(runs == 0);
}

// Guards against a callback on the real clock that reschedules itself without
// delay and keeps the context from running anything else.
TEST_CASE("Asio timers let other work run between rounds") {
  asio::io_context context;
  AsioTimerService timers(context);
  int runs = 0;
  std::string order;
  std::function<void()> again = [&] {
    if (++runs < 3) timers.ScheduleAfter(Duration(0), again);
  };
  timers.ScheduleAfter(Duration(0), again);
  const TimerId dropped =
      timers.ScheduleAfter(milliseconds(1), [&] { order += "x"; });
  timers.ScheduleAfter(milliseconds(2), [&] { order += "y"; });
  timers.Cancel(dropped);
  context.run();
  CHECK(runs == 3);
  CHECK(order == "y");
}

}  // namespace
}  // namespace pomelomill
