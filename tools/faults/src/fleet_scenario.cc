#include "fleet_scenario.h"

#include <utility>

#include "pomelomill/config.h"
#include "pomelomill/control/region_writer.h"
#include "pomelomill/platform/region_state_json.h"
#include "test_fleet.h"
#include "text.h"

namespace pomelomill::faults {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kEntries = 3;
/// The entries are ready after the first registrations and the first shares.
constexpr Instant kFirstRequest{seconds(8)};
constexpr Instant kLastRequest{seconds(70)};
constexpr Instant kSecondApply{seconds(25)};
/// The first drain, stop of an entry or shift of demand.
constexpr Instant kFirstChange{seconds(14)};
constexpr Instant kSecondChange{seconds(40)};
constexpr Duration kBootTime = seconds(5);
constexpr Duration kAskAgain = milliseconds(500);
constexpr Duration kEntryRestart = seconds(5);

std::string ConfigText(std::uint64_t revision) {
  Declarations declarations = *FleetDeclarations();
  declarations.fleet.store_calls_per_s = 50 + static_cast<double>(revision);
  // A move waits until demand has lasted longer than a cold start.
  for (auto& [id, pool] : declarations.pools) pool.cold_start = kBootTime;
  return CanonicalText(declarations);
}

void Decode(const testing::StoreWrite& write, Evidence& evidence) {
  if (write.is_erase) return;
  if (write.key == kConfigKey) {
    const auto record = ReadConfigRecord(write.value);
    if (!record) return;
    evidence.config_writes.push_back({write.at, write.version, record->revision,
                                      record->apply_id, record->writer,
                                      record->sequence});
  }
  if (write.key == RegionStateKey(RegionId("region"))) {
    const auto state = RegionStateFromJson(write.value);
    if (state) {
      evidence.region_writes.push_back({write.at, write.version, *state});
    } else {
      evidence.notes.emplace_back("a region state cannot be read");
    }
  }
}

}  // namespace

FleetScenario::FleetScenario(World& world, FleetScenarioOptions options)
    : world_(world), options_(options) {
  world_.decode_write = Decode;
  AddFleet(world_.platform);
  world_.platform.set_boot_time(kBootTime);
  ApplyAt(Instant(), 1);
  ApplyAt(kSecondApply, 2);
  hosts_.resize(kEntries);
  for (std::size_t i = 0; i < kEntries; ++i) {
    const std::string name = Text("entry-", i + 1);
    processes_.push_back(&world_.AddProcess(name));
    directory_[name + ":7000"] = &hosts_[i];
  }
  ScheduleLoad();
  for (std::size_t i = 0; i < kEntries; ++i) {
    processes_[i]->Start([this, i] { Begin(i); });
  }
  const auto at = [this](Instant when, std::function<void()> change) {
    world_.timers.ScheduleAt(when, std::move(change));
  };
  if (options_.has_drains) {
    at(kFirstChange, [this] { Drain(VmId("vm-2")); });
    at(kSecondChange, [this] { Drain(VmId("vm-5")); });
  }
  if (options_.has_entry_stops) {
    at(kFirstChange, [this] { StopEntry(0); });
    at(kSecondChange, [this] { StopEntry(1); });
  }
}

void FleetScenario::Begin(std::size_t i) {
  const testing::Fault fault =
      world_.injector.Before("entry.start", *processes_[i]);
  if (!processes_[i]->is_running()) return;
  processes_[i]->RunInside(processes_[i]->run(), [this, i] {
    hosts_[i] = std::make_unique<EntryHost>(world_, *processes_[i], directory_);
    hosts_[i]->Start();
  });
  world_.injector.After(fault, *processes_[i]);
}

void FleetScenario::ScheduleLoad() {
  std::vector<EntryDoor> doors;
  for (std::size_t i = 0; i < kEntries; ++i) {
    doors.push_back(
        {processes_[i],
         [this, i](std::size_t request, Duration time) {
           hosts_[i]->Accept(request, time);
         },
         [this, i](std::size_t request) { hosts_[i]->Cancel(request); },
         [this, i] { return hosts_[i] && hosts_[i]->node().is_ready(); }});
  }
  std::vector<CallerLoad> loads = FleetLoads();
  for (CallerLoad& it : loads) {
    it.service_time = milliseconds(600);
    if (options_.has_drains) {
      // A stop follows 1.75 s after its intent at the earliest; longer runs
      // show whether it waits for them.
      it.service_time = milliseconds(2500);
      it.deadline = seconds(5);
    }
    it.is_keyed = options_.has_keys && !it.is_repeatable;
  }
  ScheduleCallers(world_, loads, doors, kFirstRequest, kLastRequest);
  if (!options_.has_moves) return;
  // More than the pool "quote" can serve, then more than what is left of the
  // pool "proof".
  CallerLoad shift = loads.back();
  shift.rate = 10;
  shift.service_time = milliseconds(1200);
  shift.deadline = seconds(4);
  ScheduleCallers(world_, {shift}, doors, kFirstChange, kSecondChange);
  shift.queue = loads.front().queue;
  shift.rate = 20;
  ScheduleCallers(world_, {shift}, doors, kSecondChange, kLastRequest);
}

void FleetScenario::ApplyAt(Instant at, std::uint64_t revision) {
  world_.timers.ScheduleAt(at, [this, revision] {
    ConfigRecord record;
    record.revision = Revision(revision);
    record.author = "operator";
    record.apply_id = ApplyId(Text("apply-", revision));
    record.writer = "operator/1";
    record.sequence = revision;
    record.text = ConfigText(revision);
    world_.store.Write(kConfigKey, ToJson(record));
  });
}

void FleetScenario::Drain(const VmId& vm) {
  for (std::size_t i = 0; i < kEntries; ++i) {
    testing::FakeProcess& process = *processes_[i];
    if (!process.is_running() || process.is_paused() || !hosts_[i]) continue;
    if (hosts_[i]->node().controller().DrainVm(vm)) return;
  }
  world_.timers.ScheduleAfter(kAskAgain, [this, vm] { Drain(vm); });
}

void FleetScenario::StopEntry(std::size_t i) {
  testing::FakeProcess& process = *processes_[i];
  process.RunInside(process.run(), [this, i, &process] {
    if (!hosts_[i]) return;
    hosts_[i]->Stop([this, &process, run = process.run()] {
      if (process.run() != run) return;
      process.Crash();
      world_.timers.ScheduleAfter(kEntryRestart,
                                  [&process] { process.Restart(); });
    });
  });
}

}  // namespace pomelomill::faults
