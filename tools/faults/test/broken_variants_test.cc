#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "groups.h"
#include "pomelomill/entry.h"
#include "pomelomill/store.h"
#include "router_host.h"
#include "test_fleet.h"

// For each property a broken variant of a code path of the product, and the
// same cell without it: a checker that cannot fail shows nothing.

namespace pomelomill::faults {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ArmedFault;
using testing::Fault;

constexpr std::uint64_t kSeed = 1;

bool Finds(const CellResult& result, const std::string& property) {
  for (const Finding& it : result.findings) {
    if (it.property == property) return true;
  }
  return false;
}

/// Runs one cell with and without the variant: `property` must be reported
/// with it, and nothing without it.
void CheckReported(const Group& group, const std::vector<ArmedFault>& faults,
                   const std::string& property,
                   const std::function<void(World&)>& prepare) {
  const Cell cell{CellKind::kPair, group.name, faults};
  const CellResult sound = RunCell(group, cell, kSeed);
  CHECK(sound.is_reached);
  CHECK(sound.findings.empty());
  CHECK(Finds(RunCell(group, cell, kSeed, prepare), property));
}

TEST_CASE("P1 reports an entry that drops every second response") {
  CheckReported(DispatchGroup(), {{"dispatch.send", Fault::kLoseRequest, 1}},
                "P1", [](World& world) {
                  world.broken.attempt = [n = 0](AttemptFinished& it) mutable {
                    if (++n % 2 == 0) it.result = AttemptResult::kFailed;
                  };
                });
}

// The holder is paused over the end of its lease and then writes whatever the
// version of the region state is.
TEST_CASE("P2 reports a holder whose writes ignore the version") {
  CheckReported(LeaseGroup(), {{"lease.state-write", Fault::kPauseBefore, 2}},
                "P2", [](World& world) {
                  world.broken.store_client = [&world](StoreClient client) {
                    client.put = [put = client.put, &world](
                                     const std::string& key,
                                     const std::string& value, Version,
                                     const LeaseId& lease, Duration timeout,
                                     const StoreCallback<Version>& done) {
                      if (!lease.empty())
                        return put(key, value, {}, lease, timeout, done);
                      // The version is looked up when the paused process wakes.
                      put(key, value, Version(~0ULL), lease, timeout,
                          [&world, key, value, done](const Result<Version>&) {
                            done(world.store.Write(key, value));
                          });
                    };
                    return client;
                  };
                });
}

TEST_CASE("P3 reports an entry that hands out the response before") {
  CheckReported(DispatchGroup(), {{"dispatch.send", Fault::kLateResponse, 1}},
                "P3", [](World& world) {
                  world.broken.body =
                      [last = std::string()](const std::string& body) mutable {
                        return std::exchange(last, body);
                      };
                });
}

TEST_CASE("P3 reports an entry that passes on a truncated response") {
  CheckReported(DispatchGroup(),
                {{"dispatch.send", Fault::kEndpointTruncates, 1}}, "P3",
                [](World& world) {
                  world.broken.attempt = [](AttemptFinished& event) {
                    event.result = AttemptResult::kAnswered;
                  };
                });
}

/// A sender that takes every failed attempt for one that sent nothing.
void DenySentBytes(World& world) {
  world.broken.attempt = [](AttemptFinished& event) {
    event.was_any_byte_sent = false;
  };
}

TEST_CASE("P4 reports a timeout that is answered as not run") {
  // All first attempts lose their response; no second endpoint is tried.
  CheckReported(DispatchGroup(),
                {{"dispatch.send", Fault::kLoseResponse, 1},
                 {"dispatch.send", Fault::kLoseResponse, 2},
                 {"dispatch.send", Fault::kLoseResponse, 3},
                 {"dispatch.send", Fault::kLoseResponse, 4},
                 {"dispatch.send", Fault::kLoseResponse, 5},
                 {"dispatch.send", Fault::kEndpointClosesLate, 6},
                 {"dispatch.send", Fault::kEndpointClosesLate, 7},
                 {"dispatch.send", Fault::kEndpointClosesLate, 8},
                 {"dispatch.send", Fault::kEndpointClosesLate, 9}},
                "P4", [](World& world) {
                  DenySentBytes(world);
                  world.broken.router_options = [](RouterOptions& options) {
                    options.max_attempts = 1;
                  };
                });
}

TEST_CASE("P5 reports a router that retries what must not be repeated") {
  // Enough broken attempts to meet several of the queue "proof/order".
  std::vector<ArmedFault> faults;
  for (std::uint32_t i = 1; i <= 24; ++i) {
    faults.push_back({"dispatch.send", Fault::kEndpointClosesLate, i});
  }
  CheckReported(DispatchGroup(), faults, "P5", [](World& world) {
    DenySentBytes(world);
    world.broken.router_options = [](RouterOptions& options) {
      options.retry_share = 1;
    };
  });
}

TEST_CASE("P8 reports a writer that repeats without reading back") {
  CheckReported(
      ApplyGroup(), {{"apply.write", Fault::kLoseResponse, 1}}, "P8",
      [](World& world) {
        world.broken.store_client = [&world](StoreClient client) {
          client.put = [put = client.put, &world](
                           const std::string& key, const std::string& value,
                           Version expect, const LeaseId& lease,
                           Duration timeout,
                           const StoreCallback<Version>& done) {
            put(key, value, expect, lease, timeout,
                [=, &world](const Result<Version>& result) {
                  if (result || result.error() != StoreError::kOutcomeUnknown) {
                    return done(result);
                  }
                  put(key, value, world.store.Read(key).version, lease, timeout,
                      done);
                });
          };
          return client;
        };
      });
}

TEST_CASE("P8 reports an entry that accepts a lower revision") {
  // A message from before the second apply arrives after it.
  std::vector<ArmedFault> faults;
  for (std::uint32_t i = 40; i <= 70; ++i) {
    faults.push_back({"apply.exchange", Fault::kLateRequest, i});
  }
  CheckReported(ApplyGroup(), faults, "P8", [](World& world) {
    world.broken.accepts_lower_revision = true;
  });
}

/// An entry, and a holder that drains and then stops one VM under load.
struct StopScenario {
  explicit StopScenario(World& world, bool tells_entry, Duration stop_after)
      : process(world.AddProcess("entry-1")) {
    AddFleet(world.platform);
    auto state = std::make_shared<RegionState>(FleetState());
    RouterOptions options;
    options.entry = EntryId("entry-1");
    options.incarnation = IncarnationId("entry-1/1");
    SetShare(*state, options.entry, options.incarnation);
    host = std::make_unique<RouterHost>(world, process, options);
    host->Handle(DeclarationsChanged{FleetDeclarations()});
    host->Handle(SendPermitChanged{Instant::max()});
    host->Handle(RegionStateChanged{state, Version(1)});
    auto drained = std::make_shared<RegionState>(*state);
    Intent intent;
    intent.id = IntentId("i1");
    intent.vm = VmId("vm-1");
    intent.generation = Generation(1);
    drained->intents[intent.id] = intent;
    drained->vms.at(intent.vm).phase = VmPhase::kDraining;
    client = world.platform.ClientFor(process);
    world.timers.ScheduleAt(
        Instant(seconds(5)), [this, &world, drained, tells_entry] {
          world.evidence.region_writes.push_back(
              {world.timers.Now(), Version(2), *drained});
          if (tells_entry) {
            host->Handle(RegionStateChanged{drained, Version(2)});
          }
        });
    world.timers.ScheduleAt(Instant(seconds(5)) + stop_after, [this] {
      client.operate_vm(VmId("vm-1"), VmOperation::kReboot, IntentId("i1"),
                        Generation(1), seconds(2), [](const Status&) {});
    });
    std::vector<CallerLoad> loads = FleetLoads();
    for (CallerLoad& it : loads) {
      it.service_time = milliseconds(500);
      it.rate = 20;
    }
    ScheduleCallers(world, loads,
                    {{&process,
                      [this](std::size_t request, Duration time) {
                        host->Accept(request, time);
                      },
                      [this](std::size_t request) { host->Cancel(request); },
                      {}}},
                    Instant(seconds(1)), Instant(seconds(20)));
  }

  testing::FakeProcess& process;
  std::unique_ptr<RouterHost> host;
  PlatformClient client;
};

std::vector<Finding> RunStop(bool tells_entry, Duration stop_after) {
  World world(kSeed);
  const StopScenario scenario(world, tells_entry, stop_after);
  world.timers.Advance(seconds(30));
  return CheckProperties({"P6", "P7"}, world.Collect());
}

TEST_CASE("P6 reports an entry that ignores an intent") {
  CHECK(RunStop(true, seconds(15)).empty());
  const auto found = RunStop(false, seconds(15));
  REQUIRE(!found.empty());
  CHECK(found[0].property == "P6");
}

TEST_CASE("P7 reports a stop before the entries have confirmed zero") {
  CHECK(RunStop(true, seconds(3)).empty());
  const auto found = RunStop(true, milliseconds(50));
  REQUIRE(!found.empty());
  CHECK(found[0].property == "P7");
}

/// The platform never learns of the first drain, so that the endpoint does not
/// refuse by itself. The first call is named last, because the last fault must
/// happen also when the drain ends soon.
std::vector<ArmedFault> WithoutDrainCalls() {
  std::vector<ArmedFault> faults;
  for (std::uint32_t i = 8; i >= 1; --i) {
    faults.push_back({"drain.call", Fault::kLoseRequest, i});
  }
  return faults;
}

TEST_CASE("P6 reports a data plane that does not learn of intents") {
  CheckReported(StopGroup(), WithoutDrainCalls(), "P6", [](World& world) {
    world.broken.node_hooks = [](EntryNodeHooks& hooks,
                                 testing::FakeProcess& process) {
      if (process.name() != "entry-2") return;
      hooks.endpoint_leaving = [](const EndpointLeaving&) {};
      hooks.table_changed = [change = hooks.table_changed](
                                const std::shared_ptr<const RegionState>& state,
                                Version version) {
        if (state->intents.empty()) change(state, version);
      };
    };
  });
}

/// Entries confirm a drain whatever runs on the VM, and the endpoint's own
/// count of requests is not heeded.
TEST_CASE("P7 reports a controller whose drains are always confirmed") {
  CheckReported(StopGroup(), {}, "P7", [](World& world) {
    world.broken.load_report = [](LoadReport& load) { load.in_flight.clear(); };
    world.broken.node_hooks = [](EntryNodeHooks& hooks, testing::FakeProcess&) {
      hooks.check_health =
          [check = hooks.check_health](
              const VmId& vm, const std::string& address,
              const std::function<void(Result<EndpointHealth>)>& done) {
            check(vm, address, [done](Result<EndpointHealth> health) {
              if (health) health->active = 0;
              done(health);
            });
          };
    };
  });
}

}  // namespace
}  // namespace pomelomill::faults
