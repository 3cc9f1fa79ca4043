#include "pomelomill/jobtesting/fake_vms.h"

#include <algorithm>
#include <utility>

namespace pomelomill {
namespace {

constexpr std::uint32_t kCpuMillis = 4'000;
constexpr Duration kLatency = std::chrono::milliseconds(2);
constexpr Duration kCallTimeout = std::chrono::milliseconds(1500);
/// `leaseMs` of the platform: holders must not take turns within this time.
constexpr Duration kTurnTime = std::chrono::seconds(3);

}  // namespace

void FakeVms::Add(const VmId& vm, const PoolId& pool, const WorkerId& worker) {
  vms_[vm] = {
      .vm = vm, .pool = pool, .worker = worker, .cpu_millis = kCpuMillis};
}

void FakeVms::NoteOrder(const VmId& vm, Order order) {
  order.at = timers_.Now();
  order.was_in_touch = !hooks_.is_in_touch || hooks_.is_in_touch(order.holder);
  const auto [it, is_first] = last_orders_.try_emplace(vm, order);
  if (is_first) return;
  const Order before = std::exchange(it->second, order);
  if (before.holder == order.holder) return;
  const std::string who = before.holder.value() + " and " +
                          order.holder.value() + " for " + vm.value();
  if (before.token == order.token)
    violations_.push_back("ONE: one token of " + who);
  // Orders that are carried out late by the platform do not count.
  const bool counts = before.was_in_touch && order.was_in_touch &&
                      !before.is_late && !order.is_late;
  if (counts && order.at - before.at < kTurnTime) {
    violations_.push_back(
        "ONE: " + std::to_string(ToMillis(order.at - before.at)) +
        " ms between orders of " + who + " at " +
        std::to_string(ToMillis(order.at.time_since_epoch())));
  }
}

Result<VmCallOutcome> FakeVms::Maintain(const VmId& vm, const WaveId& wave,
                                        const Order& order) {
  NoteOrder(vm, order);
  std::uint64_t& highest = tokens_[vm];
  if (order.token.value() < highest) return Unexpected(WorkerError::kFenced);
  highest = order.token.value();
  const auto asked = waves_.find(wave);
  const auto found = vms_.find(vm);
  if (asked == waves_.end() || found == vms_.end())
    return VmCallOutcome::kRefused;
  if (done_[wave][vm]) return VmCallOutcome::kAccepted;
  if (found->second.state != FleetVmState::kUp) return VmCallOutcome::kBusy;
  std::uint32_t down = 0;
  for (const VmId& it : asked->second.vms)
    down += vms_.at(it).state == FleetVmState::kInMaintenance;
  if (down >= asked->second.max_down)
    violations_.push_back("LIMIT: too many down: " + vm.value());
  done_[wave][vm] = true;
  ++maintained_[vm];
  GoDown(found->second, FleetVmState::kInMaintenance, order.is_late);
  return VmCallOutcome::kAccepted;
}

Result<VmCallOutcome> FakeVms::Move(const VmId& vm, const PoolId& to,
                                    const Order& order) {
  NoteOrder(vm, order);
  std::uint64_t& highest = tokens_[vm];
  if (order.token.value() < highest) return Unexpected(WorkerError::kFenced);
  highest = order.token.value();
  const auto found = vms_.find(vm);
  if (found == vms_.end()) return VmCallOutcome::kRefused;
  FleetVm& it = found->second;
  if (it.pool == to) return VmCallOutcome::kAccepted;
  if (it.state != FleetVmState::kUp) return VmCallOutcome::kBusy;
  it.pool = to;
  ++moves_;
  GoDown(it, FleetVmState::kMoving, order.is_late);
  return VmCallOutcome::kAccepted;
}

void FakeVms::GoDown(FleetVm& vm, FleetVmState state, bool is_late) {
  vm.state = state;
  hooks_.on_worker_end(std::exchange(vm.worker, WorkerId()), is_late);
  timers_.ScheduleAfter(down_time_, [this, id = vm.vm] { Return(id); });
}

void FakeVms::Return(const VmId& vm) {
  FleetVm& it = vms_.at(vm);
  it.state = FleetVmState::kUp;
  it.worker = WorkerId(it.pool.value() + vm.value() + "x" +
                       std::to_string(++lives_[vm]));
  hooks_.on_worker_begin(it.pool, it.worker);
}

FleetCalls FakeVms::Calls(TimerService& client_timers, const VmFaults& faults) {
  TimerService* const timers = &client_timers;
  const VmFaults* const fault = &faults;
  FleetCalls calls;
  calls.list =
      [=, this](const std::function<void(Result<std::vector<FleetVm>>)>& done) {
        if (fault->is_cut) {
          timers->ScheduleAfter(kCallTimeout, [done] {
            done(Unexpected(WorkerError::kNoResponse));
          });
          return;
        }
        timers_.ScheduleAfter(kLatency, [=, this] {
          std::vector<FleetVm> vms;
          for (const auto& [id, vm] : vms_) vms.push_back(vm);
          timers->ScheduleAfter(kLatency, [done, vms] { done(vms); });
        });
      };
  const auto run = [=, this](
                       std::function<Result<VmCallOutcome>()> call,
                       const std::function<void(Result<VmCallOutcome>)>& done) {
    const Duration late = fault->late;
    const bool is_lost = fault->loses_answers || late > Duration(0);
    if (fault->is_cut || is_lost) {
      timers->ScheduleAfter(kCallTimeout,
                            [done] { done(VmCallOutcome::kUnknown); });
      if (fault->is_cut) return;
    }
    timers_.ScheduleAfter(kLatency + late, [=, call = std::move(call)] {
      const auto outcome = call();
      if (!is_lost)
        timers->ScheduleAfter(kLatency, [done, outcome] { done(outcome); });
    });
  };
  calls.maintain = [=, this](
                       const VmId& vm, const WaveId& wave,
                       const EntryId& holder, FencingToken token,
                       const std::function<void(Result<VmCallOutcome>)>& done) {
    const bool is_late = fault->late > Duration(0);
    run(
        [=, this] {
          return Maintain(vm, wave, {holder, token, is_late});
        },
        done);
  };
  calls.move = [=, this](
                   const VmId& vm, const PoolId& to, const EntryId& holder,
                   FencingToken token,
                   const std::function<void(Result<VmCallOutcome>)>& done) {
    const bool is_late = fault->late > Duration(0);
    run([=, this] { return Move(vm, to, {holder, token, is_late}); }, done);
  };
  return calls;
}

}  // namespace pomelomill
