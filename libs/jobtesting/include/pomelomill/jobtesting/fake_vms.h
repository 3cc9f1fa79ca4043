#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/jobserver/platform_hooks.h"
#include "pomelomill/jobtesting/fake_workers.h"

namespace pomelomill {

/// What goes wrong between one process and the platform's VM calls.
struct VmFaults {
  bool is_cut = false;
  /// Maintenance calls take effect without an answer.
  bool loses_answers = false;
  /// Moves and maintenance get no answer and take effect this much later; 0
  /// for none.
  Duration late{};
};

/// The VMs of a deployment and the platform's calls on them. Each maintenance
/// ends the worker; a new one with another id joins the pool afterwards.
class FakeVms {
 public:
  struct Hooks {
    /// The worker's process ends, perhaps by an order that was carried out
    /// late.
    std::function<void(const WorkerId&, bool is_late)> on_worker_end;
    std::function<void(const PoolId&, const WorkerId&)> on_worker_begin;
    /// Whether an entry has been free of faults for so long that the rules on
    /// holders apply to it; all are when it is not set.
    std::function<bool(const EntryId&)> is_in_touch;
  };

  FakeVms(TimerService& timers, Duration down_time, Hooks hooks)
      : timers_(timers), down_time_(down_time), hooks_(std::move(hooks)) {}

  void Add(const VmId& vm, const PoolId& pool, const WorkerId& worker);
  /// The wave that the platform checks calls against.
  void SetWave(const MaintenanceWave& wave) { waves_[wave.id] = wave; }
  FleetCalls Calls(TimerService& client_timers, const VmFaults& faults);

  std::uint32_t moves() const { return moves_; }
  /// How often each VM was maintained.
  const std::map<VmId, std::uint32_t>& maintained() const {
    return maintained_;
  }
  /// More VMs down than a wave allows, one token of two holders, and orders of
  /// two holders for one VM within three seconds, as text that begins with the
  /// name of the rule.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Order {
    EntryId holder;
    FencingToken token;
    bool is_late = false;
    Instant at{};
    bool was_in_touch = false;
  };

  /// Checks an order against those for the same VM before it.
  void NoteOrder(const VmId& vm, Order order);
  Result<VmCallOutcome> Maintain(const VmId& vm, const WaveId& wave,
                                 const Order& order);
  Result<VmCallOutcome> Move(const VmId& vm, const PoolId& to,
                             const Order& order);
  /// Ends the worker; a new one begins after the time that the work takes.
  void GoDown(FleetVm& vm, FleetVmState state, bool is_late);
  void Return(const VmId& vm);

  TimerService& timers_;
  const Duration down_time_;
  Hooks hooks_;
  std::map<VmId, FleetVm> vms_;
  std::map<WaveId, MaintenanceWave> waves_;
  std::map<VmId, std::uint64_t> tokens_;
  std::map<VmId, Order> last_orders_;
  std::map<VmId, std::uint32_t> maintained_;
  std::map<VmId, std::uint32_t> lives_;
  std::uint32_t moves_ = 0;
  std::map<WaveId, std::map<VmId, bool>> done_;
  std::vector<std::string> violations_;
};

}  // namespace pomelomill
