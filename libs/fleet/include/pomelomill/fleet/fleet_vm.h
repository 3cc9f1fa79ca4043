#pragma once

#include <cstdint>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/time.h"

namespace pomelomill {

enum class FleetVmState { kUp, kMoving, kInMaintenance, kDown };

/// A VM as the platform lists it. Its id, zone and rack never change; after
/// each move and each maintenance it runs a worker with a new id.
struct FleetVm {
  VmId vm;
  PoolId pool;
  FleetVmState state = FleetVmState::kUp;
  /// Empty while no worker runs on the VM.
  WorkerId worker;
  ZoneId zone;
  RackId rack;
  std::uint32_t cpu_millis = 0;

  bool operator==(const FleetVm&) const = default;
};

/// An operator's request to maintain each of these VMs once.
struct MaintenanceWave {
  WaveId id;
  std::vector<VmId> vms;
  /// Time allowed for the whole wave, counted from the operator's request.
  Duration duration{};
  /// Maximum number of VMs of the wave that may be down for it at a time.
  std::uint32_t max_down = 1;

  bool operator==(const MaintenanceWave&) const = default;
};

/// Outcome of a call that asks the platform to maintain or to move a VM.
enum class VmCallOutcome {
  /// The call was accepted, or an earlier call has already taken effect.
  kAccepted,
  /// The VM is not up; the call may be repeated later.
  kBusy,
  /// The request is invalid: the VM does not exist, or the wave does not
  /// contain it.
  kRefused,
  /// No answer was received; the call may still take effect later.
  kUnknown,
};

}  // namespace pomelomill
