#include "pomelomill/control/vm_adoption.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "pomelomill/platform/vm_list_tracker.h"

namespace pomelomill {
namespace {

using std::chrono::seconds;

VmRecord Record(const char* id, const char* address) {
  return {.id = VmId(id), .address = address};
}

bool Has(const std::vector<VmRecord>& records, const char* id) {
  return std::any_of(records.begin(), records.end(),
                     [&](const VmRecord& it) { return it.id == VmId(id); });
}

// Guards against adoption from a single wrong list: an id that does not exist
// was adopted at the address of a VM, and the VM itself was adopted a second
// time once the list was right.
TEST_CASE("a VM that no pool declares is adopted only after three lists") {
  Declarations declarations;
  declarations.pools[PoolId("p")] = {.id = PoolId("p"), .vms = {VmId("named")}};
  VmListTracker tracker;
  const std::vector<VmRecord> wrong = {Record("named", "10.0.0.1:80"),
                                       Record("no-such-vm", "10.0.0.2:80")};
  const std::vector<VmRecord> right = {Record("named", "10.0.0.1:80"),
                                       Record("open", "10.0.0.2:80")};

  Instant now{};
  for (int i = 0; i < 2; ++i, now += seconds(2)) {
    tracker.Observe(wrong, now);
    const auto adoptable = AdoptableVms(wrong, tracker, declarations);
    CHECK(Has(adoptable, "named"));
    CHECK_FALSE(Has(adoptable, "no-such-vm"));
  }
  for (int i = 0; i < 3; ++i, now += seconds(2)) {
    tracker.Observe(right, now);
    CHECK(Has(AdoptableVms(right, tracker, declarations), "open") == (i == 2));
  }
  // A list without the VM resets its count of successive lists.
  tracker.Observe(wrong, now);
  tracker.Observe(right, now + seconds(2));
  CHECK_FALSE(Has(AdoptableVms(right, tracker, declarations), "open"));
}

// Guards against the adoption of other VMs in place of a VM that the pool
// declares by id but that is not listed yet: the pool would exceed its size.
TEST_CASE("no other VM is adopted in place of a declared but unlisted VM") {
  Declarations declarations;
  declarations.pools[PoolId("p")] = {.id = PoolId("p"),
                                     .region = RegionId("r"),
                                     .size = 2,
                                     .vms = {VmId("vm-1")}};
  RegionState state;
  state.region = RegionId("r");
  AdoptVms(&state, declarations,
           {Record("x", "10.0.0.2:80"), Record("y", "10.0.0.3:80")});
  CHECK(state.vms.size() == 1);
  AdoptVms(&state, declarations, {Record("vm-1", "10.0.0.1:80")});
  CHECK(state.vms.size() == 2);
  CHECK(state.vms.contains(VmId("vm-1")));
}

}  // namespace
}  // namespace pomelomill
