#include "test_fleet.h"

#include <string>

namespace pomelomill::faults {
namespace {

constexpr int kVms = 6;
constexpr int kProofVms = 4;

/// The queues must answer this share of the requests that can be saved; the
/// load needs a sixth of the slots, so that the loss of a zone leaves enough.
constexpr double kAvailability = 0.9;

std::string VmName(int i) { return "vm-" + std::to_string(i + 1); }
std::string ZoneName(int i) { return "zone-" + std::to_string(i % 3 + 1); }
std::string RackName(int i) { return "rack-" + std::to_string(i + 1); }
PoolId PoolOf(int i) { return PoolId(i < kProofVms ? "proof" : "quote"); }

}  // namespace

void AddFleet(testing::FakePlatform& platform) {
  for (int i = 0; i < kVms; ++i) {
    platform.AddVm(VmId(VmName(i)), ZoneId(ZoneName(i)), RackId(RackName(i)));
  }
}

std::shared_ptr<const Declarations> FleetDeclarations() {
  auto it = std::make_shared<Declarations>();
  it->fleet.name = "faults";
  it->fleet.regions = {RegionId("region")};
  it->fleet.zones[RegionId("region")] = {ZoneId("zone-1"), ZoneId("zone-2"),
                                         ZoneId("zone-3")};
  for (const char* name : {"proof", "quote"}) {
    PoolDeclaration pool;
    pool.id = PoolId(name);
    pool.region = RegionId("region");
    pool.size = pool.id == PoolId("proof") ? kProofVms : kVms - kProofVms;
    pool.min_size = 1;
    for (int i = 0; i < kVms; ++i) {
      if (PoolOf(i) == pool.id) pool.vms.emplace_back(VmName(i));
    }
    it->pools[pool.id] = pool;
    ServiceDeclaration service;
    service.id = ServiceId(name);
    service.pool = pool.id;
    service.title = name;
    it->services[service.id] = service;
  }
  for (const CallerLoad& load : FleetLoads()) {
    QueueDeclaration queue;
    queue.id = load.queue;
    const std::string& name = load.queue.value();
    queue.service = ServiceId(name.substr(0, name.find('/')));
    queue.availability = kAvailability;
    queue.is_repeatable = load.is_repeatable;
    queue.mean_rate = load.rate;
    queue.service_time = load.service_time;
    it->queues[queue.id] = queue;
  }
  return it;
}

RegionState FleetState() {
  RegionState state;
  state.region = RegionId("region");
  state.epoch = Epoch(1);
  for (int i = 0; i < kVms; ++i) {
    VmState& vm = state.vms[VmId(VmName(i))];
    vm.pool = PoolOf(i);
    vm.address = "127.0.0.1:" + std::to_string(9001 + i);
    vm.zone = ZoneId(ZoneName(i));
    vm.rack = RackId(RackName(i));
    vm.generation = Generation(1);
  }
  return state;
}

std::vector<CallerLoad> FleetLoads() {
  return {{QueueId("proof/layout"), true, 6},
          {QueueId("proof/order"), false, 3},
          {QueueId("quote/price"), true, 3}};
}

std::map<QueueId, QueueBudget> FleetBudgets() {
  std::map<QueueId, QueueBudget> budgets;
  for (const CallerLoad& it : FleetLoads()) {
    budgets[it.queue] = {kAvailability};
  }
  return budgets;
}

void SetShare(RegionState& state, const EntryId& entry,
              const IncarnationId& incarnation) {
  for (EntryShare& it : state.shares) {
    if (it.entry != entry) continue;
    it.incarnation = incarnation;
    return;
  }
  state.shares.push_back({entry, incarnation, 1});
}

}  // namespace pomelomill::faults
