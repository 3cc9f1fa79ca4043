#include <doctest/doctest.h>

#include "pomelomill/jobs.h"

namespace pomelomill {
namespace {

using std::chrono::seconds;

JobClassDeclaration Class(const std::string& id, const std::string& team,
                          std::uint32_t cores) {
  JobClassDeclaration job_class;
  job_class.id = id;
  job_class.team = TeamId(team);
  job_class.cores = cores;
  job_class.memory_mb = 1024;
  return job_class;
}

WorkerRecord Worker(int i, double cores = 32) {
  WorkerRecord record;
  record.id = WorkerId("w" + std::to_string(i));
  record.rack = RackId("r" + std::to_string(i / 4));
  record.zone = ZoneId("z" + std::to_string(i / 4 % 3));
  record.capacity = {cores, 65536, 0};
  return record;
}

struct Bench {
  explicit Bench(int n, const JobSettings& settings = {})
      : scheduler(settings, Epoch(1), &decisions) {
    for (int i = 0; i < n; ++i) workers.push_back(Worker(i));
    Send(WorkersListed{workers});
  }

  std::vector<JobAction> Send(const JobEvent& event) {
    return scheduler.Handle(event, now);
  }
  std::vector<JobAction> TickAfter(Duration d) {
    now += d;
    return Send(Tick{});
  }
  void Submit(const std::string& id, const JobClassDeclaration& job_class,
              std::uint32_t tasks = 1) {
    Send(JobSubmitted{JobId(id), job_class, tasks});
  }

  DecisionLog decisions;
  JobScheduler scheduler;
  std::vector<WorkerRecord> workers;
  Instant now{};
};

template <typename T>
std::vector<T> Of(const std::vector<JobAction>& actions) {
  std::vector<T> found;
  for (const JobAction& it : actions) {
    if (const T* action = std::get_if<T>(&it)) found.push_back(*action);
  }
  return found;
}

// Guards against tasks that are lost between submission and start, and against
// placing all tasks of a job into one zone.
TEST_CASE("tasks of a job are started and spread over zones") {
  Bench bench(12);
  bench.Submit("j", Class("c", "t", 4), 3);
  const auto starts = Of<StartTask>(bench.TickAfter(seconds(1)));
  REQUIRE(starts.size() == 3);
  CHECK(bench.scheduler.waiting_tasks() == 0);
  std::vector<std::uint32_t> zones;
  zones.reserve(starts.size());
  const PlaceLedger& places = bench.scheduler.places();
  for (const StartTask& it : starts)
    zones.push_back(places.worker(places.Find(it.worker)).zone);
  std::sort(zones.begin(), zones.end());
  CHECK(zones == std::vector<std::uint32_t>{0, 1, 2});
  CHECK_FALSE(bench.decisions.Explain("job", "j").empty());
}

// Guards against a job that never ends and against a place that stays reserved.
TEST_CASE("a finished job is reported and its places are released") {
  Bench bench(2);
  bench.Submit("j", Class("c", "t", 4), 2);
  const auto starts = Of<StartTask>(bench.TickAfter(seconds(1)));
  REQUIRE(starts.size() == 2);
  CHECK(bench.Send(TaskFinished{starts[0].start.task, {}}).empty());
  const auto end =
      Of<ReportJobFinished>(bench.Send(TaskFinished{starts[1].start.task, {}}));
  REQUIRE(end.size() == 1);
  CHECK(end[0].job == JobId("j"));
  CHECK(bench.scheduler.places().places() == 0);
  CHECK(bench.scheduler.jobs() == 0);
  // A repeated event must not release anything again.
  bench.Send(TaskFinished{starts[1].start.task, {}});
  CHECK(bench.scheduler.places().releases() == 2);
}

// Guards against a second run of a task while the first one may still run on a
// worker that does not respond.
TEST_CASE("a task is not started elsewhere before the lease has expired") {
  JobSettings settings;
  Bench bench(2, settings);
  bench.Submit("j", Class("c", "t", 4));
  const auto first = Of<StartTask>(bench.TickAfter(seconds(1)));
  REQUIRE(first.size() == 1);
  const WorkerId lost = first[0].worker;
  const Instant sent = bench.now;
  // An unknown outcome counts as started.
  CHECK(bench
            .Send(TaskCallEnded{first[0].start.task, TaskCall::kStart,
                                CallOutcome::kUnknown, sent})
            .empty());
  Instant last_renewal = sent;
  std::vector<StartTask> again;
  for (int i = 0; i < 400 && again.empty(); ++i) {
    const auto actions = bench.TickAfter(seconds(1));
    for (const RenewLeases& it : Of<RenewLeases>(actions)) {
      last_renewal = bench.now;
      bench.Send(WorkerRenewed{it.worker, false});
    }
    again = Of<StartTask>(actions);
  }
  REQUIRE(again.size() == 1);
  CHECK(again[0].worker != lost);
  CHECK(bench.now - last_renewal >=
        LongestLease(settings.lease) + settings.lease.max_delivery);
  CHECK(again[0].start.task != first[0].start.task);
}

// Guards against a stop that is used although a checkpoint is possible, and
// against urgent work that waits for normal work to end.
TEST_CASE("urgent work gets its place by checkpoint") {
  Bench bench(1);
  bench.Send(TeamsDeclared{{{TeamId("t"), {TeamId("t"), 1, 0, 32}}}});
  JobClassDeclaration normal = Class("n", "t", 16);
  normal.can_checkpoint = true;
  bench.Submit("n", normal, 2);
  const auto starts = Of<StartTask>(bench.TickAfter(seconds(1)));
  REQUIRE(starts.size() == 2);
  for (const StartTask& it : starts) bench.Send(TaskStarted{it.start.task});
  JobClassDeclaration urgent = Class("u", "t", 8);
  urgent.is_urgent = true;
  bench.Submit("u", urgent);
  const auto operations = Of<OperateTask>(bench.TickAfter(seconds(1)));
  REQUIRE(operations.size() == 1);
  CHECK(operations[0].operation == TaskOperation::kCheckpoint);
  bench.Send(TaskCheckpointed{operations[0].task, 0.5});
  const auto started = Of<StartTask>(bench.TickAfter(seconds(1)));
  REQUIRE(started.size() == 1);
  CHECK(started[0].job == JobId("u"));
}

// Guards against a scheduling pass for each cancelled job and against places
// that are released twice or never.
TEST_CASE("a burst of cancellations costs one pass") {
  Bench bench(8);
  JobsCancelled cancel;
  for (int i = 0; i < 100; ++i) {
    const std::string id = "j" + std::to_string(i);
    bench.Submit(id, Class("c", "t", 8));
    cancel.jobs.emplace_back(id);
  }
  const auto starts = Of<StartTask>(bench.TickAfter(seconds(1)));
  REQUIRE(starts.size() == 32);
  // An open start would keep each place; these end without a response.
  for (const StartTask& it : starts)
    bench.Send(TaskCallEnded{it.start.task, TaskCall::kStart,
                             CallOutcome::kUnknown, bench.now});
  const auto passes = bench.scheduler.stats().passes;
  const auto stops = Of<OperateTask>(bench.Send(cancel));
  CHECK(stops.size() == 32);
  for (const OperateTask& it : stops) {
    // The 404 that proves the end, twice.
    const TaskCallEnded gone{it.task, TaskCall::kStop, CallOutcome::kRefused,
                             bench.now + seconds(3)};
    bench.Send(gone);
    bench.Send(gone);
  }
  bench.TickAfter(seconds(1));
  CHECK(bench.scheduler.stats().passes == passes + 1);
  CHECK(bench.scheduler.places().releases() == 32);
  CHECK(bench.scheduler.places().places() == 0);
  CHECK(bench.scheduler.jobs() == 0);
}

}  // namespace
}  // namespace pomelomill
