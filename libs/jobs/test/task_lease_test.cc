#include <doctest/doctest.h>

#include "pomelomill/jobs.h"

namespace pomelomill {
namespace {

using std::chrono::seconds;

JobClassDeclaration SmallClass() {
  JobClassDeclaration job_class;
  job_class.id = "c";
  job_class.team = TeamId("t");
  job_class.cores = 4;
  job_class.memory_mb = 1024;
  job_class.run_time = std::chrono::minutes(10);
  return job_class;
}

WorkersListed TwoWorkers() {
  WorkersListed list;
  for (const char* n : {"1", "2"}) {
    list.workers.push_back({WorkerId(std::string("w") + n),
                            RackId(std::string("r") + n),
                            ZoneId(std::string("z") + n),
                            {32, 65536, 0},
                            {},
                            {}});
  }
  return list;
}

std::vector<StartTask> Starts(const std::vector<JobAction>& actions) {
  std::vector<StartTask> found;
  for (const JobAction& it : actions) {
    if (const auto* start = std::get_if<StartTask>(&it))
      found.push_back(*start);
  }
  return found;
}

// Ticks every second and answers each renewal as unknown; returns the moment
// of the first start, or the limit when there was none.
Instant NextStart(JobScheduler& scheduler, Instant now, Duration limit) {
  const Instant end = now + limit;
  while (now < end) {
    now += seconds(1);
    const auto actions = scheduler.Handle(Tick{}, now);
    if (!Starts(actions).empty()) return now;
    for (const JobAction& it : actions) {
      if (const auto* renew = std::get_if<RenewLeases>(&it))
        scheduler.Handle(WorkerRenewed{renew->worker, false}, now);
    }
  }
  return end;
}

// Guards against a lease that is taken for expired although the start, decided
// before a pause of the process, was sent only after it.
TEST_CASE("a start whose call is open keeps its lease") {
  JobScheduler scheduler({}, Epoch(1), nullptr);
  scheduler.Handle(TwoWorkers(), Instant{});
  scheduler.Handle(JobSubmitted{JobId("j"), SmallClass(), 1}, Instant{});
  const Instant decided = Instant(seconds(1));
  const auto first = Starts(scheduler.Handle(Tick{}, decided));
  REQUIRE(first.size() == 1);
  // The process is paused for far longer than the lease.
  const Instant woken = decided + std::chrono::minutes(10);
  CHECK(NextStart(scheduler, woken, std::chrono::minutes(5)) ==
        woken + std::chrono::minutes(5));
  // The call ends without a response: it was sent by then at the latest.
  const Instant ended = woken + std::chrono::minutes(5);
  scheduler.Handle(TaskCallEnded{first[0].start.task, TaskCall::kStart,
                                 CallOutcome::kUnknown, decided},
                   ended);
  const JobSettings settings;
  const Instant second = NextStart(scheduler, ended, std::chrono::minutes(10));
  CHECK(second < ended + std::chrono::minutes(10));
  CHECK(second - ended >=
        LongestLease(settings.lease) + settings.lease.max_delivery);
}

// Guards against a refusal that is taken for proof that the task never ran,
// although its start had not been sent when the refused call was.
TEST_CASE("a 404 proves nothing while the start may still arrive") {
  JobScheduler scheduler({}, Epoch(1), nullptr);
  scheduler.Handle(TwoWorkers(), Instant{});
  scheduler.Handle(JobSubmitted{JobId("j"), SmallClass(), 1}, Instant{});
  const Instant decided = Instant(seconds(1));
  const auto first = Starts(scheduler.Handle(Tick{}, decided));
  REQUIRE(first.size() == 1);
  const TaskId& task = first[0].start.task;
  const Instant renewed = decided + seconds(30);
  scheduler.Handle(Tick{}, renewed);
  scheduler.Handle(
      TaskCallEnded{task, TaskCall::kRenew, CallOutcome::kRefused, renewed},
      renewed);
  CHECK(scheduler.places().places() == 1);
  scheduler.Handle(
      TaskCallEnded{task, TaskCall::kStart, CallOutcome::kUnknown, decided},
      renewed + seconds(1));
  // Sent before the last moment at which the start can arrive.
  scheduler.Handle(TaskCallEnded{task, TaskCall::kRenew, CallOutcome::kRefused,
                                 renewed + seconds(2)},
                   renewed + seconds(2));
  CHECK(scheduler.places().places() == 1);
  scheduler.Handle(TaskCallEnded{task, TaskCall::kRenew, CallOutcome::kRefused,
                                 renewed + seconds(3)},
                   renewed + seconds(3));
  CHECK(scheduler.places().places() == 0);
}

// Guards against a lease that is taken for expired although its renewal was
// sent only after a pause.
TEST_CASE("a renewal whose call is open keeps the lease") {
  JobScheduler scheduler({}, Epoch(1), nullptr);
  scheduler.Handle(TwoWorkers(), Instant{});
  scheduler.Handle(JobSubmitted{JobId("j"), SmallClass(), 1}, Instant{});
  Instant now = Instant(seconds(1));
  const auto first = Starts(scheduler.Handle(Tick{}, now));
  REQUIRE(first.size() == 1);
  scheduler.Handle(TaskCallEnded{first[0].start.task, TaskCall::kStart,
                                 CallOutcome::kAccepted, now},
                   now);
  bool is_renewed = false;
  while (!is_renewed) {
    now += seconds(1);
    for (const JobAction& it : scheduler.Handle(Tick{}, now))
      is_renewed = is_renewed || std::holds_alternative<RenewLeases>(it);
  }
  // Paused before the renewal is sent, for longer than the whole lease.
  const Instant woken = now + std::chrono::minutes(10);
  CHECK(Starts(scheduler.Handle(Tick{}, woken)).empty());
  CHECK(scheduler.places().places() == 1);
  CHECK(scheduler.stats().lost_attempts == 0);
}

// Guards against a clock that jumps while the leases of the workers go on: all
// tasks would be started a second time at once.
TEST_CASE("a jump of the clock ends no lease") {
  JobScheduler scheduler({}, Epoch(1), nullptr);
  scheduler.Handle(TwoWorkers(), Instant{});
  scheduler.Handle(JobSubmitted{JobId("j"), SmallClass(), 1}, Instant{});
  const Instant started = Instant(seconds(1));
  const auto first = Starts(scheduler.Handle(Tick{}, started));
  REQUIRE(first.size() == 1);
  scheduler.Handle(TaskCallEnded{first[0].start.task, TaskCall::kStart,
                                 CallOutcome::kAccepted, started},
                   started);
  const Instant jumped = started + std::chrono::minutes(10);
  const JobSettings settings;
  const Instant second = NextStart(scheduler, jumped, std::chrono::minutes(10));
  CHECK(second < jumped + std::chrono::minutes(10));
  CHECK(second - jumped >=
        LongestLease(settings.lease) + settings.lease.max_delivery);
}

}  // namespace
}  // namespace pomelomill
