#include "world.h"

#include <algorithm>
#include <utility>

namespace pomelomill::faults {
namespace {

using testing::Fault;

/// Longer than every lease of the groups, so that an outage ends authority.
constexpr Duration kOutage = std::chrono::seconds(25);
/// One-way latency of a slow store; beyond the timeouts of the cores.
constexpr Duration kSlowLatency = std::chrono::seconds(4);
constexpr Duration kListLag = std::chrono::seconds(30);

}  // namespace

Duration FaultLength(Fault fault, const testing::FaultDurations& durations) {
  switch (fault) {
    case Fault::kCrashBefore:
    case Fault::kCrashAfter:
      return durations.restart;
    case Fault::kPauseBefore:
    case Fault::kPauseAfter:
      return durations.pause;
    case Fault::kStoreDown:
    case Fault::kStoreUnreachable:
    case Fault::kPartitionOut:
    case Fault::kPartitionIn:
    case Fault::kPartitionBoth:
    case Fault::kVmListStale:
    case Fault::kVmListWrong:
      return kOutage;
    case Fault::kStoreSlow:
      // Requests under way arrive after the store has recovered.
      return kOutage + 2 * kSlowLatency;
    case Fault::kLateRequest:
    case Fault::kLateResponse:
      return std::chrono::seconds(6);
    case Fault::kSlowWatch:
      return std::chrono::seconds(12);
    default:
      return std::chrono::seconds(1);
  }
}

World::World(std::uint64_t seed)
    : injector(timers),
      store(timers, &injector),
      platform(timers, &injector),
      network(timers, &injector),
      random(seed) {
  injector.on_environment = [this](Fault fault, testing::FakeProcess& process) {
    Break(fault, process);
  };
  const Duration jitter = std::chrono::microseconds(random.Below(2000));
  store.set_latency(std::chrono::milliseconds(1) + jitter);
  for (testing::CallTransport* it :
       {&store.transport(), &platform.transport()}) {
    it->drops_request = [this, before = it->drops_request](
                            const testing::FakeProcess& process) {
      return (before && before(process)) || cut_out_.contains(process.name());
    };
    it->drops_response = [this](const testing::FakeProcess& process) {
      return cut_in_.contains(process.name());
    };
  }
}

testing::FakeProcess& World::AddProcess(const std::string& name,
                                        bool is_entry) {
  processes_.push_back(
      {std::make_unique<testing::FakeProcess>(name, timers), is_entry});
  return *processes_.back().process;
}

testing::FakeEndpoint& World::EndpointOf(const VmId& vm) {
  const auto vms = platform.vms();
  const bool is_known = std::find(vms.begin(), vms.end(), vm) != vms.end();
  return platform.endpoint(is_known ? vm : vms.front());
}

void World::Break(Fault fault, testing::FakeProcess& process) {
  const Instant end = timers.Now() + FaultLength(fault, injector.durations);
  switch (fault) {
    case Fault::kStoreDown:
      store.set_down(true);
      timers.ScheduleAt(end, [this] { store.set_down(false); });
      break;
    case Fault::kStoreUnreachable:
      store.set_unreachable(true);
      timers.ScheduleAt(end, [this] { store.set_unreachable(false); });
      break;
    case Fault::kStoreSlow: {
      const Duration normal = std::chrono::milliseconds(2);
      store.set_latency(kSlowLatency);
      timers.ScheduleAfter(kOutage,
                           [this, normal] { store.set_latency(normal); });
      break;
    }
    case Fault::kConflictingWrite:
      if (conflicting_write) conflicting_write();
      break;
    case Fault::kPartitionOut:
      Partition(process.name(), true, false);
      break;
    case Fault::kPartitionIn:
      Partition(process.name(), false, true);
      break;
    case Fault::kPartitionBoth:
      Partition(process.name(), true, true);
      break;
    case Fault::kVmListStale:
      platform.set_list_lag(kListLag);
      timers.ScheduleAt(end, [this] { platform.set_list_lag(Duration(0)); });
      break;
    case Fault::kVmListWrong:
      // The first VM is missing and an unknown one is listed.
      platform.distort_list = [](std::vector<VmRecord>& list) {
        if (list.empty()) return;
        list.front().id = VmId("vm-unknown");
      };
      timers.ScheduleAt(end, [this] { platform.distort_list = {}; });
      break;
    default:
      LoseOne(fault);
      break;
  }
}

void World::Partition(const std::string& process, bool is_out, bool is_in) {
  if (is_out) {
    cut_out_.insert(process);
    network.BlockFrom(process);
  }
  if (is_in) {
    cut_in_.insert(process);
    network.BlockTo(process);
  }
  timers.ScheduleAfter(kOutage, [this] {
    cut_out_.clear();
    cut_in_.clear();
    network.HealAll();
  });
}

void World::LoseOne(Fault fault) {
  const auto vms = platform.vms();
  if (vms.empty()) return;
  const VmId& vm = vms[random.Below(vms.size())];
  if (fault == Fault::kVmLost) platform.LoseVm(vm);
  if (fault == Fault::kRackLost) platform.LoseRack(platform.rack_of(vm));
  if (fault == Fault::kZoneLost) platform.LoseZone(platform.zone_of(vm));
}

Evidence World::Collect() const {
  Evidence all = evidence;
  all.end = timers.Now();
  for (const auto& it : injector.passages()) {
    if (it.fault == Fault::kNone) continue;
    const Instant end = it.at + FaultLength(it.fault, injector.durations);
    all.healed = std::max(all.healed.value_or(end), end);
  }
  for (const Slot& it : processes_) {
    all.processes.push_back({it.process->name(), it.process->is_running(),
                             it.process->is_paused(), it.is_entry,
                             it.process->events()});
  }
  all.runs = platform.AllRuns();
  all.operations = platform.operations();
  all.task_runs = platform.workers().runs();
  all.leases = store.leases();
  if (decode_write) {
    for (const auto& it : store.writes()) decode_write(it, all);
  }
  return all;
}

}  // namespace pomelomill::faults
