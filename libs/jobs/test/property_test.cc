#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "fleet.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Lost and late messages, partitions, failing workers, wrong sizes, preemption
/// and cancellations in random order; returns what went wrong.
std::vector<std::string> RunChaos(std::uint64_t seed, JobSettings job_settings,
                                  double listed_capacity_factor = 1) {
  WorldSettings settings;
  settings.workers = 12;
  settings.loss = 0.05;
  settings.late = 0.05;
  settings.drift = 0.0009;
  settings.seed = seed;
  DecisionLog decisions;
  JobScheduler scheduler(job_settings, Epoch(1), &decisions);
  JobWorld world(settings, [&](const JobEvent& event, Instant now) {
    if (const auto* list = std::get_if<WorkersListed>(&event)) {
      WorkersListed scaled = *list;
      for (WorkerRecord& it : scaled.workers)
        it.capacity.cores *= listed_capacity_factor;
      return scheduler.Handle(scaled, now);
    }
    return scheduler.Handle(event, now);
  });
  world.truth = [](const JobClassDeclaration& c, Random& random) {
    TaskTruth truth;
    truth.usage = {c.cores * (0.3 + random.Unit()),
                   c.memory_mb * (0.3 + random.Unit()), 0};
    truth.run_time = milliseconds(500 + random.Below(40'000));
    truth.is_failing = random.Chance(0.05);
    return truth;
  };
  std::vector<std::string> wrong;
  world.after_event = [&] {
    const PlaceLedger& places = scheduler.places();
    if (places.reservations() - places.releases() != places.places())
      wrong.emplace_back("a place was released twice or never");
  };
  world.Send(TestTeams(4, 96));
  Random random(seed ^ 0x9e3779b97f4a7c15ULL);
  int next = 0;
  std::vector<JobId> jobs;
  for (int step = 0; step < 40; ++step) {
    switch (random.Below(8)) {
      case 0:
        world.SetPartitioned(static_cast<std::uint32_t>(random.Below(12)),
                             random.Chance(0.4));
        break;
      case 1:
        world.SetFailing(static_cast<std::uint32_t>(random.Below(12)),
                         random.Chance(0.4));
        break;
      case 2: {
        std::vector<JobId> some;
        for (const JobId& it : jobs) {
          if (random.Chance(0.2)) some.push_back(it);
        }
        world.Cancel(some);
        break;
      }
      default: {
        JobClassDeclaration c = TestClass(
            "c" + std::to_string(random.Below(6)),
            "t" + std::to_string(random.Below(4)),
            1 + static_cast<std::uint32_t>(random.Below(16)), seconds(20));
        c.is_urgent = random.Chance(0.3);
        c.can_checkpoint = random.Chance(0.6);
        c.can_throttle = random.Chance(0.3);
        const std::string id = "j" + std::to_string(next++);
        jobs.emplace_back(id);
        world.Submit(id, c, 1 + static_cast<std::uint32_t>(random.Below(12)));
        break;
      }
    }
    world.RunFor(milliseconds(random.Below(8000)));
  }
  for (std::uint32_t i = 0; i < settings.workers; ++i) {
    world.SetPartitioned(i, false);
    world.SetFailing(i, false);
  }
  world.Cancel(jobs);
  world.RunFor(minutes(5));
  if (scheduler.places().places() != 0)
    wrong.emplace_back("a place is still held after all jobs ended");
  if (scheduler.jobs() != 0)
    wrong.emplace_back("a job is left after all were cancelled");
  wrong.insert(wrong.end(), world.violations.begin(), world.violations.end());
  return wrong;
}

void Show(const std::vector<std::string>& wrong) {
  for (std::size_t i = 0; i < std::min<std::size_t>(3, wrong.size()); ++i)
    RC_LOG() << wrong[i] << "\n";
}

// Guards against a second run of a task, a worker over its capacity and places
// that are released twice or never, for random orders of faults.
TEST_CASE("no order of faults runs a task twice or overfills a worker") {
  CHECK(rc::check([](std::uint64_t seed) {
    const auto wrong = RunChaos(seed, JobSettings{});
    Show(wrong);
    RC_ASSERT(wrong.empty());
  }));
}

int Violations(const JobSettings& settings, double capacity_factor,
               const std::string& text) {
  int n = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const auto wrong = RunChaos(seed, settings, capacity_factor);
    n += std::any_of(wrong.begin(), wrong.end(), [&](const std::string& it) {
      return it.find(text) != std::string::npos;
    });
  }
  return n;
}

// Guards against a check that passes whatever the scheduler does: a scheduler
// that takes leases for shorter than they are must be found out.
TEST_CASE("a restart before the lease is over is detected") {
  JobSettings broken;
  broken.lease.length = seconds(5);
  broken.lease.renew_every = seconds(3);
  broken.lease.max_delivery = seconds(0);
  int n = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    WorldSettings settings;
    settings.workers = 4;
    settings.seed = seed;
    DecisionLog decisions;
    JobScheduler scheduler(broken, Epoch(1), &decisions);
    JobWorld world(settings, [&](const JobEvent& event, Instant now) {
      auto actions = scheduler.Handle(event, now);
      for (JobAction& it : actions) {
        if (auto* start = std::get_if<StartTask>(&it))
          start->start.lease = JobSettings{}.lease.length;
      }
      return actions;
    });
    world.Submit("j", TestClass("c", "t0", 4, minutes(5)), 8);
    world.RunFor(seconds(10));
    world.SetPartitioned(0, true);
    world.RunFor(minutes(2));
    n += world.violations.empty() ? 0 : 1;
  }
  CHECK(n > 0);
}

// Guards against a capacity check that passes whatever the scheduler does.
TEST_CASE("a scheduler that overestimates capacity is detected") {
  CHECK(Violations(JobSettings{}, 2, "over its capacity") > 0);
}

}  // namespace
}  // namespace pomelomill
