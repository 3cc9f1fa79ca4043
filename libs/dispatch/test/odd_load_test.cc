#include <doctest/doctest.h>

#include "pomelomill/dispatch.h"

namespace pomelomill {

// Guards against a listed entry that has never reported, of an odd capacity,
// which decides how much CPU the waiting tasks of the pool seem to need.
TEST_CASE("a listed worker that has not reported does not change the load") {
  Dispatcher dispatcher{DispatcherOptions{}, [](const DispatchEvent&) {}};
  dispatcher.SetQueue(QueueId("q"), {{.max_attempts = 2}});
  auto spec = std::make_shared<JobSpec>();
  StepSpec& step = spec->steps.emplace_back();
  step.tasks = 8;
  step.size = {.cpu_millis = 1'000, .memory_mb = 100};
  dispatcher.AddJob({.id = JobId("a"), .queue = QueueId("q"), .spec = spec},
                    Instant{});
  const WorkerSpec good{.id = WorkerId("a"),
                        .capacity = {.cpu_millis = 4'000, .memory_mb = 8'000}};
  const WorkerSpec odd{
      .id = WorkerId("z"),
      .capacity = {.cpu_millis = 1'000'000'000, .memory_mb = 1}};
  dispatcher.SetListedWorkers({good});
  dispatcher.OnReport(WorkerId("a"), {.clock_ms = 1}, Instant{}, 0);
  const auto before = dispatcher.load();
  CHECK(before.waiting_cpu_millis == 8'000);
  dispatcher.SetListedWorkers({good, odd});
  CHECK(dispatcher.load().waiting_cpu_millis == before.waiting_cpu_millis);
}

}  // namespace pomelomill
