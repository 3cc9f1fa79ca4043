#include <doctest/doctest.h>

#include <string_view>
#include <utility>
#include <vector>

#include "fleet_manager.h"
#include "job_world.h"
#include "pool_owner.h"
#include "store_keys.h"
#include "store_records.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const PoolId kPool("p");
const QueueId kQueue("q");
const WorkerId kWorker("w");

/// An owner whose right to send orders can end during a decision, as when the
/// process is delayed there beyond its lease.
class Fixture {
 public:
  Fixture() {
    platform.store = store_.Client(timers, faults_);
    platform.wave_prefix = "waves-asked/";
    platform.decode_wave = [](const StoredKey&) -> Result<MaintenanceWave> {
      return MaintenanceWave{
          .id = WaveId("1"), .vms = {VmId("vm")}, .max_down = 1};
    };
    platform.wave_status_key = [](const WaveId&) -> std::string {
      return "wave-status";
    };
    platform.encode_wave_status = [](bool) -> std::string { return "x"; };
    platform.workers.renew =
        [this](const WorkerAddress&, const RenewRequest&,
               std::function<void(Result<WorkerReport>)> done) {
          timers.ScheduleAfter(milliseconds(300), [this,
                                                   done = std::move(done)] {
            done(WorkerReport{.clock_ms = ToMillis(timers.Now() - Instant{}),
                              .started_ms = 1});
          });
        };
    platform.workers.start = [this](const WorkerAddress&, const StartRequest&,
                                    const std::function<void(StartResponse)>&) {
      ++orders;
    };
    platform.fleet.list =
        [this](std::function<void(Result<std::vector<FleetVm>>)> done) {
          timers.ScheduleAfter(milliseconds(5), [done = std::move(done)] {
            done(std::vector<FleetVm>{{.vm = VmId("vm"),
                                       .pool = PoolId("spare"),
                                       .worker = kWorker}});
          });
        };
    platform.fleet.maintain =
        [this](const VmId&, const WaveId&, const EntryId&, FencingToken,
               const std::function<void(Result<VmCallOutcome>)>&) { ++orders; };
    platform.fleet.move =
        [this](const VmId&, const PoolId&, const EntryId&, FencingToken,
               const std::function<void(Result<VmCallOutcome>)>&) { ++orders; };
  }

  /// Makes this process the owner of a role in the store.
  FencingToken Acquire(const PoolId& role) {
    store_.Put(OwnerKey(role), "owner");
    std::uint64_t version = 0;
    platform.store.read(OwnerKey(role), seconds(1),
                        [&](const Result<StoredKey>& key) {
                          version = key ? key->version.value() : 0;
                        });
    timers.Advance(milliseconds(100));
    return FencingToken(version);
  }

  Instant AllowedUntil() const {
    return is_allowed ? Instant::max() : Instant::min();
  }

  VirtualTimerService timers;
  PlatformHooks platform;
  JobServiceSettings settings;
  bool is_allowed = true;
  int orders = 0;
  FakeKvStore store_{timers};

 private:
  StoreFaults faults_;
};

}  // namespace

// Guards against orders of a process that was delayed between the check of its
// right and the order.
TEST_CASE("a start is not sent when its decision outlasts the lease") {
  for (const bool outlasts : {false, true}) {
    CAPTURE(outlasts);
    Fixture it;
    const FencingToken token = it.Acquire(kPool);
    PoolOwner owner(it.platform, it.timers, it.settings, kPool, token,
                    {.on_lost = [] {},
                     .starts_allowed_until = [&] { return it.AllowedUntil(); },
                     .orders_allowed_until = [&] { return it.AllowedUntil(); },
                     .wall_ms = [] { return 0; },
                     .on_decision =
                         [&](std::string_view, std::size_t jobs, Duration) {
                           if (jobs != 0 && outlasts) it.is_allowed = false;
                         }});
    FleetConfig config;
    config.queues.push_back({.id = kQueue, .pool = kPool});
    config.pools.push_back({.id = kPool});
    owner.Start(config);
    it.timers.Advance(milliseconds(500));
    owner.OnWorkers({{.spec = {.id = kWorker, .capacity = {4'000, 8'000, 0}},
                      .pool = kPool,
                      .address = "w:1"}});
    it.timers.Advance(seconds(2));
    it.store_.Put(JobKey(kPool, JobId("00000000000000aa")),
                  EncodeStoredJob({.queue = kQueue, .spec = ChainJob(1, 1)}));
    it.timers.Advance(seconds(1));
    CHECK((it.orders == 0) == outlasts);
  }
}

// Guards against TWICE: the owner itself sent a further copy of a start to the
// next incarnation of its worker, under the token of the first copy.
TEST_CASE("a start is not repeated once its worker is listed as restarted") {
  for (const bool is_restarted : {false, true}) {
    CAPTURE(is_restarted);
    Fixture it;
    // Repeats are quick only after answers that were.
    constexpr int kAnswered = 12;
    constexpr std::int64_t kLateClockMs = 1'000'000;
    it.platform.workers.start =
        [&it](const WorkerAddress&, const StartRequest&,
              const std::function<void(StartResponse)>& done) {
          if (++it.orders > kAnswered) return;
          it.timers.ScheduleAfter(milliseconds(1), [done] {
            done({StartOutcome::kStarted, kLateClockMs});
          });
        };
    const FencingToken token = it.Acquire(kPool);
    PoolOwner owner(it.platform, it.timers, it.settings, kPool, token,
                    {.on_lost = [] {},
                     .starts_allowed_until = [&] { return it.AllowedUntil(); },
                     .orders_allowed_until = [&] { return it.AllowedUntil(); },
                     .wall_ms = [] { return 0; }});
    FleetConfig config;
    config.queues.push_back({.id = kQueue, .pool = kPool});
    config.pools.push_back({.id = kPool});
    owner.Start(config);
    it.timers.Advance(milliseconds(500));
    ListedWorker worker{
        .spec = {.id = kWorker, .capacity = {16'000, 16'000, 0}},
        .pool = kPool,
        .address = "w:1"};
    worker.spec.started_ms = 1;
    owner.OnWorkers({worker});
    it.timers.Advance(seconds(2));
    it.store_.Put(
        JobKey(kPool, JobId("00000000000000aa")),
        EncodeStoredJob({.queue = kQueue, .spec = ChainJob(1, kAnswered)}));
    it.timers.Advance(seconds(1));
    REQUIRE(it.orders == kAnswered);
    it.store_.Put(JobKey(kPool, JobId("00000000000000bb")),
                  EncodeStoredJob({.queue = kQueue, .spec = ChainJob(1, 1)}));
    while (it.orders <= kAnswered) it.timers.Advance(milliseconds(1));
    it.timers.Advance(milliseconds(50));
    if (is_restarted) {
      worker.spec.started_ms = 2;
      owner.OnWorkers({worker});
    }
    it.timers.Advance(milliseconds(200));
    CHECK((it.orders == kAnswered + 1) == is_restarted);
  }
}

TEST_CASE("a VM is not maintained when the decision outlasts the lease") {
  for (const bool outlasts : {false, true}) {
    CAPTURE(outlasts);
    Fixture it;
    const FencingToken token = it.Acquire(PoolId(kFleetRole));
    FleetManager manager(
        it.platform, it.timers, it.settings, token,
        {.on_lost = [] {},
         .vm_orders_allowed_until = [&] { return it.AllowedUntil(); },
         .load = [](const PoolId&, const auto&) {},
         .on_decision =
             [&](std::string_view decision, std::size_t, Duration) {
               if (decision == "maintain" && outlasts) it.is_allowed = false;
             }});
    FleetConfig config;
    config.pools.push_back({.id = PoolId("spare"), .is_spare = true});
    it.store_.Put("waves-asked/1", "wave");
    manager.Start(config);
    it.timers.Advance(seconds(6));
    CHECK((it.orders == 0) == outlasts);
  }
}

}  // namespace pomelomill
