#include "pomelomill/platform/vm_list_tracker.h"

#include <set>

namespace pomelomill {

std::vector<VmListEvent> VmListTracker::Observe(
    const std::vector<VmRecord>& list, Instant now) {
  std::vector<VmListEvent> events;
  std::size_t expected = 0;
  for (const auto& [id, vm] : vms_) {
    if (!vm.is_missing) ++expected;
  }
  const bool is_truncated = 2 * list.size() < expected;
  for (const VmRecord& record : list) ObserveListed(record, now, &events);
  if (!is_truncated) ObserveMissing(list, now, &events);
  return events;
}

const TrackedVm* VmListTracker::Find(const VmId& vm) const {
  const auto it = vms_.find(vm);
  return it == vms_.end() ? nullptr : &it->second;
}

void VmListTracker::ObserveListed(const VmRecord& record, Instant now,
                                  std::vector<VmListEvent>* events) {
  const auto [it, is_new] = vms_.try_emplace(record.id);
  TrackedVm& vm = it->second;
  ++vm.lists;
  const auto note = [&](VmListChange change) {
    events->push_back({change, record.id, record.generation});
  };
  if (is_new) {
    vm.record = record;
    note(VmListChange::kAdded);
    if (record.listing == VmListing::kLeaving) note(VmListChange::kLeaving);
    return;
  }
  if (record.generation < vm.record.generation) return;
  if (vm.is_missing) note(VmListChange::kLive);
  vm.is_missing = false;
  vm.missed_lists = 0;
  const VmListing before = vm.record.listing;
  if (record.generation > vm.record.generation) {
    vm.record = record;
    vm.live_since.reset();
    note(VmListChange::kRestarted);
    if (record.listing == VmListing::kLeaving) note(VmListChange::kLeaving);
    return;
  }
  vm.record = record;
  if (record.listing == VmListing::kLeaving) {
    vm.live_since.reset();
    if (before == VmListing::kLive) note(VmListChange::kLeaving);
  } else if (before == VmListing::kLeaving) {
    if (!vm.live_since) vm.live_since = now;
    if (now - *vm.live_since >= settings_.recovered_after) {
      vm.live_since.reset();
      note(VmListChange::kLive);
    } else {
      vm.record.listing = VmListing::kLeaving;
    }
  }
}

void VmListTracker::ObserveMissing(const std::vector<VmRecord>& list,
                                   Instant now,
                                   std::vector<VmListEvent>* events) {
  std::set<VmId> listed;
  for (const VmRecord& record : list) listed.insert(record.id);
  for (auto it = vms_.begin(); it != vms_.end();) {
    TrackedVm& vm = it->second;
    if (!listed.contains(it->first)) {
      vm.lists = 0;
      if (vm.missed_lists++ == 0) vm.missed_since = now;
      const Duration missed = now - vm.missed_since;
      if (missed >= settings_.forget_after) {
        it = vms_.erase(it);
        continue;
      }
      if (!vm.is_missing && vm.missed_lists >= settings_.missing_lists &&
          missed >= settings_.missing_after) {
        vm.is_missing = true;
        events->push_back(
            {VmListChange::kMissing, it->first, vm.record.generation});
      }
    }
    ++it;
  }
}

}  // namespace pomelomill
