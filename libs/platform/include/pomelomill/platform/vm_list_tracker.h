#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/time.h"
#include "pomelomill/platform/platform_client.h"

namespace pomelomill {

struct VmListSettings {
  /// A VM counts as missing after this many successive lists without it and
  /// at least this time, since single lists lag or leave VMs out.
  std::size_t missing_lists = 3;
  Duration missing_after = std::chrono::seconds(30);
  /// A leaving VM that lists show as live again at the same generation counts
  /// as live after this time; shorter ones are lists that lag.
  Duration recovered_after = std::chrono::seconds(60);
  /// Missing VMs are forgotten after this time, which bounds the memory.
  Duration forget_after = std::chrono::hours(24);
};

enum class VmListChange { kAdded, kRestarted, kLeaving, kLive, kMissing };

struct VmListEvent {
  VmListChange change = VmListChange::kAdded;
  VmId vm;
  Generation generation;

  bool operator==(const VmListEvent&) const = default;
};

/// One VM as all lists so far show it.
struct TrackedVm {
  VmRecord record;
  bool is_missing = false;
  /// Successive lists that showed the VM, up to the latest.
  std::size_t lists = 0;
  /// Successive lists without the VM and the time of the first of them.
  std::size_t missed_lists = 0;
  Instant missed_since{};
  /// For a leaving VM that lists show as live again.
  std::optional<Instant> live_since;
};

/// Combines the lagging lists of the platform. What a list says about a VM
/// counts only at the highest generation seen of it. Pure.
class VmListTracker {
 public:
  explicit VmListTracker(VmListSettings settings = {}) : settings_(settings) {}

  /// Takes one complete list and returns what changed. A list with less than
  /// half of the known VMs is taken for truncated: it makes no VM missing.
  std::vector<VmListEvent> Observe(const std::vector<VmRecord>& list,
                                   Instant now);

  const TrackedVm* Find(const VmId& vm) const;
  const std::map<VmId, TrackedVm>& vms() const { return vms_; }

 private:
  void ObserveListed(const VmRecord& record, Instant now,
                     std::vector<VmListEvent>* events);
  void ObserveMissing(const std::vector<VmRecord>& list, Instant now,
                      std::vector<VmListEvent>* events);

  VmListSettings settings_;
  std::map<VmId, TrackedVm> vms_;
};

}  // namespace pomelomill
