#include "fake_platform.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "platform_protocol.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Fixture {
  VirtualTimerService timers;
  std::vector<std::string> endpoint;
  FakePlatform platform{
      timers,
      {},
      [this](const VmId& vm, EndpointMode mode, Generation generation) {
        endpoint.push_back(vm.value() + " " +
                           std::to_string(static_cast<int>(mode)) + " " +
                           std::to_string(generation.value()));
      }};

  Fixture() {
    for (const char* id : {"a", "b"}) {
      platform.AddVm({.id = VmId(id),
                      .address = "127.0.0.1:1",
                      .zone = ZoneId("z"),
                      .rack = RackId(std::string("rack-") + id),
                      .listing = VmListing::kLive,
                      .generation = Generation(1)});
    }
    platform.AddWorker({.id = WorkerId("w"),
                        .rack = RackId("rack-a"),
                        .zone = ZoneId("z"),
                        .capacity = {.cores = 4, .memory_mb = 100},
                        .usage = {},
                        .tasks = {}});
    timers.Advance(seconds(10));
  }

  int Call(const std::string& method, const std::string& target,
           const std::string& body = "") {
    return Answer(platform, method, target, body).status;
  }
};

// Guards against a stand-in that is kinder than the platform: repeats without
// effect, refusal of a wrong generation, and a list that lags.
TEST_CASE("a reboot is idempotent, checks the generation and shows late") {
  Fixture f;
  CHECK(f.Call("POST", "/v1/vms/a/reboot?intent=i&generation=2") == 409);
  CHECK(f.Call("POST", "/v1/vms/a/reboot?intent=i&generation=1") == 202);
  CHECK(f.Call("POST", "/v1/vms/a/reboot?intent=j&generation=1") == 409);
  CHECK(f.platform.ListVms()[0].listing == VmListing::kLive);
  f.timers.Advance(seconds(2));
  CHECK(f.platform.ListVms()[0].listing == VmListing::kLeaving);
  f.timers.Advance(seconds(20));
  CHECK(f.platform.GetVm(VmId("a"))->operation == OperationState::kDone);
  CHECK(f.platform.GetVm(VmId("a"))->vm.generation == Generation(2));
  CHECK(f.Call("POST", "/v1/vms/a/reboot?intent=i&generation=1") == 202);
  CHECK(f.platform.effects().size() == 1);
  CHECK(Answer(f.platform, "GET", "/v1/vms/a", "")
            .body.find(R"({"intent":"i","op":"reboot","state":"done"})") !=
        std::string::npos);
  const std::vector<std::string> modes = {"a 1 1", "a 2 1", "a 0 2"};
  CHECK(f.endpoint == modes);
  CHECK(f.Call("GET", "/v1/vms/x") == 404);
  CHECK(f.Call("POST", "/v1/vms/a/reboot") == 400);
}

// Guards against waves that are never tested against VMs that stay away.
TEST_CASE("a VM can fail to return and a rack can be lost and restored") {
  Fixture f;
  CHECK(f.Call("POST", "/-/admin/vms/a?returns=0") == 202);
  CHECK(f.Call("POST", "/v1/vms/a/reboot?intent=i&generation=1") == 202);
  f.timers.Advance(seconds(30));
  CHECK(f.platform.GetVm(VmId("a"))->operation == OperationState::kFailed);
  CHECK(f.Call("POST", "/-/admin/racks/rack-b?lost=1") == 200);
  f.timers.Advance(seconds(2));
  CHECK(f.platform.ListVms().size() == 1);
  CHECK(f.endpoint.back() == "b 2 1");
  CHECK(f.Call("POST", "/-/admin/racks/rack-b?lost=0") == 200);
  f.timers.Advance(seconds(22));
  CHECK(f.platform.ListVms().size() == 2);
  CHECK(f.endpoint.back() == "b 0 2");
}

// Guards against tasks that outlive their lease or their worker's room.
TEST_CASE("tasks run under leases and within the worker's room") {
  Fixture f;
  const std::string body =
      R"({"task":"t1","lease_ms":1000,"cores":3,"memory_mb":10,"run_ms":5000})";
  const std::string other =
      R"({"task":"t2","lease_ms":1000,"cores":3,"memory_mb":10,"run_ms":5000})";
  CHECK(f.Call("POST", "/v1/workers/w/tasks", body) == 202);
  CHECK(f.Call("POST", "/v1/workers/w/tasks", body) == 409);
  CHECK(f.Call("POST", "/v1/workers/w/tasks", other) == 409);
  f.timers.Advance(milliseconds(900));
  CHECK(f.Call("POST", "/v1/workers/w/tasks/t1/renew") == 202);
  f.timers.Advance(milliseconds(900));
  CHECK(f.Call("POST", "/v1/workers/w/tasks/t1/renew") == 202);
  f.timers.Advance(milliseconds(1000));
  CHECK(f.Call("POST", "/v1/workers/w/tasks/t1/renew") == 404);
  CHECK(f.Call("POST", "/v1/workers/w/tasks", other) == 202);
  CHECK(f.platform.ListWorkers()[0].usage.cores == 3);
  CHECK(f.Call("POST", "/v1/workers/w/tasks/t2/stop") == 202);
  CHECK(f.Call("POST", "/-/admin/workers/w?fails=1") == 202);
  CHECK(f.Call("POST", "/v1/workers/w/tasks", body) == 202);
  f.timers.Advance(milliseconds(600));
  CHECK(f.Call("POST", "/v1/workers/w/tasks/t1/stop") == 404);
  CHECK(f.Call("POST", "/v1/workers/w/tasks", "{") == 400);
}

}  // namespace
}  // namespace pomelomill
