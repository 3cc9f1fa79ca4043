#include "loop_monitor.h"

#include <doctest/doctest.h>

#include "pomelomill/base/virtual_timer_service.h"
#include "pomelomill/jobtesting.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_CASE("an overloaded process logs its event loop delay once a second") {
  // Without this line, the delay of an overloaded pool owner looks in the log
  // as if its workers and the store did not answer.
  VirtualTimerService time;
  PausableTimers timers(time);
  std::vector<std::string> lines;
  Duration max_delay{};
  LoopMonitor monitor(
      timers,
      {.on_sample = [&](Duration it) { max_delay = std::max(max_delay, it); },
       .event =
           [&](std::string_view part, std::string_view event,
               const std::vector<EventField>& fields) {
             lines.push_back(std::string(part) + " " + std::string(event) +
                             " " + fields.front().value);
           }});
  monitor.Start();
  time.Advance(seconds(5));
  CHECK(lines.empty());
  for (int i = 0; i < 20; ++i) {
    timers.Pause();
    time.Advance(milliseconds(400));
    timers.Resume();
    time.Advance(milliseconds(100));
  }
  CHECK(max_delay >= milliseconds(300));
  CHECK(lines.size() >= 8);
  CHECK(lines.size() <= 11);
  CHECK(lines.front().starts_with("process delayed 3"));
}

}  // namespace pomelomill
