#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <string>

#include "pomelomill/platform.h"
#include "pomelomill/testing.h"

namespace pomelomill::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTimeout = seconds(2);

struct Fixture {
  VirtualTimerService world;
  FaultInjector injector{world};
  FakePlatform platform{world, &injector};
  FakeProcess process{"entry-1", world};
  PlatformClient client = platform.ClientFor(process);
  VmId vm{"vm-1"};
  FakeEndpoint* endpoint =
      &platform.AddVm(vm, ZoneId("zone-a"), RackId("rack-1"), 2);

  Status Operate(VmOperation op, const std::string& intent,
                 std::uint64_t generation) {
    std::optional<Status> result;
    client.operate_vm(vm, op, IntentId(intent), Generation(generation),
                      kTimeout, [&](const Status& it) { result = it; });
    world.Advance(kTimeout);
    REQUIRE(result);
    return *result;
  }
  std::vector<VmRecord> List() {
    std::vector<VmRecord> list;
    client.list_vms(kTimeout, [&](Result<std::vector<VmRecord>> it) {
      list = std::move(*it);
    });
    world.Advance(milliseconds(10));
    return list;
  }
  std::optional<Result<EndpointResponse>> sent;
  void Send(const std::string& id, Duration service_time = milliseconds(100)) {
    sent.reset();
    EndpointRequest request;
    request.id = id;
    request.service_time = service_time;
    endpoint->Send(process, "dispatch", request, kTimeout,
                   [this](const Result<EndpointResponse>& it) { sent = it; });
  }
};

// Guards against a late repeat of a stop that hits the VM after its return.
TEST_CASE("an intent takes effect once and an old generation never") {
  Fixture f;
  CHECK(f.Operate(VmOperation::kReboot, "i1", 1));
  CHECK(f.Operate(VmOperation::kReboot, "i1", 1));
  f.world.Advance(seconds(30));
  CHECK(f.endpoint->generation() == Generation(2));
  CHECK(f.Operate(VmOperation::kReboot, "i1", 1));
  CHECK(f.Operate(VmOperation::kReboot, "i2", 1).error() ==
        PlatformError::kWrongGeneration);
  CHECK(f.endpoint->is_up());
  int effective = 0;
  for (const auto& it : f.platform.operations()) effective += it.is_effective;
  CHECK(effective == 1);
}

// Guards against records that hide a request cut by a stop.
TEST_CASE("a stop cuts the requests in flight and records them") {
  Fixture f;
  f.Send("r1", seconds(10));
  f.world.Advance(milliseconds(10));
  CHECK(f.Operate(VmOperation::kStop, "i1", 1));
  CHECK(f.sent->error() == std::errc::connection_reset);
  CHECK(f.endpoint->runs().at(0).how == RunEnd::kCutByStop);
  CHECK(f.platform.operations().at(0).in_flight == 1);
  f.Send("r2");
  f.world.Advance(seconds(1));
  CHECK(f.sent->error() == std::errc::connection_refused);
  CHECK(f.endpoint->runs().size() == 1);
  CHECK(f.List().empty());
}

// Guards against a VM that returns although it must not, and against losses
// that leave a VM of the rack alive.
TEST_CASE("VMs that do not return and lost racks stay away") {
  Fixture f;
  f.platform.AddVm(VmId("vm-2"), ZoneId("zone-a"), RackId("rack-2"));
  f.platform.set_returns(f.vm, false);
  CHECK(f.Operate(VmOperation::kReboot, "i1", 1));
  f.world.Advance(seconds(60));
  CHECK(!f.endpoint->is_up());
  f.platform.LoseRack(RackId("rack-2"));
  CHECK(!f.platform.endpoint(VmId("vm-2")).is_up());
  CHECK(f.List().size() == 1);
  f.platform.LoseZone(ZoneId("zone-a"));
  CHECK(f.List().empty());
}

// Guards against a list that is fresh although it should lag.
TEST_CASE("the VM list lags and can be wrong") {
  Fixture f;
  f.platform.set_list_lag(seconds(10));
  f.world.Advance(seconds(60));
  CHECK(f.Operate(VmOperation::kStop, "i1", 1));
  CHECK(f.List().size() == 1);
  f.world.Advance(seconds(10));
  CHECK(f.List().empty());
  f.platform.distort_list = [](std::vector<VmRecord>& list) {
    list.push_back({VmId("vm-9"), "127.0.0.1:1", ZoneId("zone-a"),
                    RackId("rack-9"), VmListing::kLive, Generation(1)});
  };
  CHECK(f.List().size() == 1);
}

// Guards against refusals that ran the request, and against slots that are
// exceeded.
TEST_CASE("an endpoint refuses beyond its slots and while it drains") {
  Fixture f;
  f.Send("r1", seconds(1));
  f.Send("r2", seconds(1));
  f.Send("r3", seconds(1));
  f.world.Advance(milliseconds(10));
  CHECK((*f.sent)->outcome == EndpointOutcome::kNotProcessed);
  f.world.Advance(seconds(2));
  f.endpoint->set_draining(true);
  f.Send("r4");
  f.world.Advance(seconds(2));
  CHECK((*f.sent)->outcome == EndpointOutcome::kNotProcessed);
  CHECK(f.endpoint->runs().size() == 2);
  CHECK(f.endpoint->max_active() == 2);
}

// Guards against misbehaviour that leaves no trace in the record: the request
// ran in every case but a refusal and an early close.
TEST_CASE("an endpoint closes, truncates, fails and answers late") {
  using M = EndpointMisbehaviour;
  Fixture f;
  const auto meet = [&](M kind) {
    f.endpoint->Misbehave(kind);
    const std::size_t before = f.endpoint->runs().size();
    f.Send("r");
    f.world.Advance(seconds(10));
    return f.endpoint->runs().size() - before;
  };
  CHECK(meet(M::kRefuse) == 0);
  CHECK(meet(M::kCloseBeforeRunning) == 0);
  CHECK(f.sent->error() == std::errc::connection_reset);
  CHECK(meet(M::kCloseBeforeResponse) == 1);
  CHECK(f.sent->error() == std::errc::connection_reset);
  CHECK(meet(M::kTruncate) == 1);
  CHECK((*f.sent)->outcome == EndpointOutcome::kTruncated);
  CHECK((*f.sent)->body != EndpointBody("r"));
  CHECK(meet(M::kFail) == 1);
  CHECK((*f.sent)->outcome == EndpointOutcome::kFailed);
  CHECK(meet(M::kAnswerLate) == 1);
  CHECK(f.sent->error() == std::errc::timed_out);
  CHECK(meet(M::kNone) == 1);
  CHECK((*f.sent)->body == EndpointBody("r"));
}

// Guards against tasks that outlive their lease, or that a repeat starts a
// second time.
TEST_CASE("tasks run under leases") {
  Fixture f;
  FakeWorkers& workers = f.platform.workers();
  const WorkerId id("w1");
  workers.Add({id, RackId("rack-1"), ZoneId("zone-a"), {4, 4096, 0}, {}, {}});
  const TaskStart start{TaskId("t1"), {3, 1024, 0}, seconds(10), seconds(100)};
  CHECK(workers.Start(id, start));
  CHECK(workers.Start(id, start));
  CHECK(workers.runs().size() == 1);
  CHECK(workers.Start(id, {TaskId("t2"), {3, 1024, 0}, seconds(10), seconds(1)})
            .error() == PlatformError::kRefused);
  f.world.Advance(seconds(8));
  CHECK(workers.Operate(id, TaskId("t1"), TaskOperation::kRenew));
  f.world.Advance(seconds(8));
  CHECK(workers.List().at(0).tasks.size() == 1);
  f.world.Advance(seconds(3));
  CHECK(workers.runs().at(0).how == TaskEnd::kLeaseLapsed);
  CHECK(workers.Operate(id, TaskId("t1"), TaskOperation::kRenew).error() ==
        PlatformError::kNotFound);
  workers.set_failing(id, true);
  CHECK(workers.Start(id, start));
  f.world.Advance(seconds(2));
  CHECK(workers.runs().at(1).how == TaskEnd::kFailed);
}

// Guards against a checkpoint that leaves the task running or ends it without
// notice.
TEST_CASE("a checkpoint ends the task after a second") {
  Fixture f;
  FakeWorkers& workers = f.platform.workers();
  const WorkerId id("w1");
  workers.Add({id, RackId("rack-1"), ZoneId("zone-a"), {4, 4096, 0}, {}, {}});
  std::string ended;
  workers.on_end = [&](const TaskRun& run) { ended = run.task.value(); };
  CHECK(workers.Start(id,
                      {TaskId("t1"), {1, 1024, 0}, seconds(60), seconds(100)}));
  CHECK(workers.Operate(id, TaskId("t1"), TaskOperation::kCheckpoint));
  CHECK(ended.empty());
  f.world.Advance(seconds(2));
  CHECK(ended == "t1");
  CHECK(workers.runs().at(0).how == TaskEnd::kCheckpointed);
}

// Guards against a clock rate that shortens the lease on a slow worker: a
// slow clock holds the task longer.
TEST_CASE("a worker with a slow clock keeps its task longer") {
  Fixture f;
  FakeWorkers& workers = f.platform.workers();
  const WorkerId id("w1");
  workers.Add({id, RackId("rack-1"), ZoneId("zone-a"), {4, 4096, 0}, {}, {}});
  workers.set_clock_rate(id, 0.5);
  CHECK(workers.Start(id,
                      {TaskId("t1"), {1, 1024, 0}, seconds(10), seconds(100)}));
  f.world.Advance(seconds(19));
  CHECK(!workers.runs().at(0).end);
  f.world.Advance(seconds(2));
  CHECK(workers.runs().at(0).how == TaskEnd::kLeaseLapsed);
}

}  // namespace
}  // namespace pomelomill::testing
