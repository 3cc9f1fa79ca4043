#include "pomelomill/platform/vm_list_tracker.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace pomelomill {
namespace {

using std::chrono::seconds;

VmRecord Vm(const std::string& id, std::uint64_t generation,
            VmListing listing = VmListing::kLive) {
  return {.id = VmId(id),
          .address = "10.0.0.1:80",
          .zone = ZoneId("z"),
          .rack = RackId("r"),
          .listing = listing,
          .generation = Generation(generation)};
}

std::vector<VmRecord> Others() { return {Vm("b", 1), Vm("c", 1), Vm("d", 1)}; }

std::vector<VmRecord> With(const VmRecord& vm) {
  std::vector<VmRecord> list = Others();
  list.push_back(vm);
  return list;
}

// Guards against dropping a healthy VM because one list left it out.
TEST_CASE("a VM is missing only after several lists and some time") {
  VmListTracker tracker;
  Instant now(seconds(100));
  CHECK(tracker.Observe(With(Vm("a", 1)), now).size() == 4);
  for (int i = 0; i < 3; ++i) {
    now += seconds(10);
    CHECK(tracker.Observe(Others(), now).empty());
  }
  CHECK_FALSE(tracker.Find(VmId("a"))->is_missing);
  now += seconds(10);
  const std::vector<VmListEvent> missing = {
      {VmListChange::kMissing, VmId("a"), Generation(1)}};
  CHECK(tracker.Observe(Others(), now) == missing);
  CHECK(tracker.Observe(Others(), now).empty());
  const std::vector<VmListEvent> live = {
      {VmListChange::kLive, VmId("a"), Generation(1)}};
  CHECK(tracker.Observe(With(Vm("a", 1)), now) == live);
}

// Guards against a truncated list that empties the fleet.
TEST_CASE("a list with less than half of the VMs makes none missing") {
  VmListTracker tracker;
  Instant now(seconds(100));
  tracker.Observe(With(Vm("a", 1)), now);
  for (int i = 0; i < 10; ++i) {
    now += seconds(30);
    CHECK(tracker.Observe({Vm("b", 1)}, now).empty());
  }
}

// Guards against work that goes on being sent to a leaving VM, and against a
// stale list that brings it back.
TEST_CASE("a leaving VM stays leaving until it restarts or recovers") {
  VmListTracker tracker;
  Instant now(seconds(100));
  tracker.Observe(With(Vm("a", 3)), now);
  const std::vector<VmListEvent> leaving = {
      {VmListChange::kLeaving, VmId("a"), Generation(3)}};
  CHECK(tracker.Observe(With(Vm("a", 3, VmListing::kLeaving)), now) == leaving);
  CHECK(tracker.Observe(With(Vm("a", 3)), now).empty());
  CHECK(tracker.Find(VmId("a"))->record.listing == VmListing::kLeaving);
  now += seconds(60);
  const std::vector<VmListEvent> live = {
      {VmListChange::kLive, VmId("a"), Generation(3)}};
  CHECK(tracker.Observe(With(Vm("a", 3)), now) == live);
  tracker.Observe(With(Vm("a", 3, VmListing::kLeaving)), now);
  const std::vector<VmListEvent> restarted = {
      {VmListChange::kRestarted, VmId("a"), Generation(4)}};
  CHECK(tracker.Observe(With(Vm("a", 4)), now) == restarted);
  CHECK(tracker.Find(VmId("a"))->record.listing == VmListing::kLive);
}

// Guards against a list from before a restart that undoes what is known.
TEST_CASE("a stale list with lower generations changes nothing") {
  VmListTracker tracker;
  const Instant now(seconds(100));
  tracker.Observe(With(Vm("a", 5)), now);
  CHECK(tracker.Observe(With(Vm("a", 4, VmListing::kLeaving)), now).empty());
  CHECK(tracker.Find(VmId("a"))->record.generation == Generation(5));
  CHECK(tracker.Find(VmId("a"))->record.listing == VmListing::kLive);
}

}  // namespace
}  // namespace pomelomill
