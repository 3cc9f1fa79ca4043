#include "fleet_manager.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "fleet_writer.h"
#include "pomelomill/fleet.h"
#include "pomelomill/store/prefix_follower.h"
#include "pomelomill/store/store_error.h"
#include "store_keys.h"
#include "store_records.h"

namespace pomelomill {
namespace {

constexpr Duration kStoreTimeout = std::chrono::milliseconds(1500);
constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
/// A maintained VM is down for two seconds; a shorter period would cost more
/// list calls than it saves time.
constexpr Duration kVmListPeriod = std::chrono::milliseconds(500);
/// Load peaks build up within a second and last some seconds.
constexpr Duration kLoadPeriod = std::chrono::milliseconds(250);

/// An order of the previous owner may still be carried out within this time,
/// and two successive owners must not send orders for one VM within it.
constexpr Duration kOrderLifetime = std::chrono::milliseconds(3000);
/// Delay before pools are sized after a change. Loads from several pool owners,
/// and reports of workers that are emptied together, arrive within this time
/// and are handled by one decision.
constexpr Duration kPlanDelay = std::chrono::milliseconds(30);

std::string Describe(const Result<VmCallOutcome>& outcome) {
  if (!outcome) return outcome.error().message();
  switch (*outcome) {
    case VmCallOutcome::kAccepted:
      return "accepted";
    case VmCallOutcome::kBusy:
      return "busy";
    case VmCallOutcome::kRefused:
      return "refused";
    case VmCallOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

struct ClosedWorker {
  PoolId pool;
  /// Id of the evacuation request; the report that the worker is empty repeats
  /// it.
  std::string request;
};

}  // namespace

class FleetManager::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const PlatformHooks& platform, TimerService& timers,
       const JobServiceSettings& settings, FencingToken token,
       FleetManagerHooks hooks)
      : platform_(platform),
        timers_(timers),
        settings_(settings),
        token_(token),
        hooks_(std::move(hooks)) {}

  void Start(const FleetConfig& config) {
    orders_allowed_from_ = timers_.Now() + kOrderLifetime;
    writer_.emplace(
        platform_.store, timers_, token_,
        FleetWriterHooks{
            .on_lost = [this] { ReportLost("the owner key has changed"); },
            .on_retry =
                [this](std::error_code ec) {
                  Event("store-retry", {{"error", ec.message()}});
                }});
    OnConfig(config);
    for (const PoolConfig& it : config.pools) ReopenInheritedWorkers(it.id);
    emptied_follower_.emplace(
        platform_.store, timers_, kEvacuatedPrefix,
        PrefixFollowerHooks{
            .on_change = [this](const auto& it) { OnEmptied(it); }});
    wave_follower_.emplace(
        platform_.store, timers_, platform_.wave_prefix,
        PrefixFollowerHooks{
            .on_change = [this](const auto& it) { OnWave(it); }});
    emptied_follower_->Start();
    wave_follower_->Start();
    ListVms();
    RequestLoads();
  }

  void OnConfig(const FleetConfig& config) {
    spare_.clear();
    pools_.clear();
    for (const PoolConfig& it : config.pools)
      (it.is_spare ? spare_ : pools_).insert(it.id);
  }

  void Halt() {
    is_halted_ = true;
    hooks_ = {};
    writer_.reset();
    emptied_follower_.reset();
    wave_follower_.reset();
    timers_.Cancel(list_timer_);
    timers_.Cancel(load_timer_);
  }

 private:
  template <typename T, typename Then>
  std::function<void(Result<T>)> Guarded(Then then) {
    return [weak = weak_from_this(), then](Result<T> result) {
      const auto self = weak.lock();
      if (self != nullptr && !self->is_halted_) then(*self, std::move(result));
    };
  }

  void Event(std::string_view event, std::vector<EventField> fields) {
    if (!hooks_.event) return;
    fields.insert(fields.begin(), {"token", std::to_string(token_.value())});
    hooks_.event("fleet", event, std::move(fields));
  }

  void RunAfter(Duration delay, std::function<void(Impl&)> work) {
    timers_.ScheduleAfter(delay,
                          [weak = weak_from_this(), work = std::move(work)] {
                            const auto self = weak.lock();
                            if (self != nullptr && !self->is_halted_)
                              work(*self);
                          });
  }

  void ReportLost(const char* reason) {
    Event("lost", {{"reason", reason}});
    RunAfter(Duration(0), [](Impl& self) { self.hooks_.on_lost(); });
  }

  /// Reopens the workers that an earlier owner had closed, as only that owner
  /// knew the reason. They stay closed until none of its orders can take effect
  /// any more: a late order would end the tasks that run there by then.
  void ReopenInheritedWorkers(const PoolId& pool) {
    platform_.store.read_prefix(
        EvacuationPrefix(pool), kStoreTimeout,
        Guarded<PrefixRead>([pool](Impl& self, const Result<PrefixRead>& read) {
          if (!read) {
            self.Event("store-retry", {{"error", read.error().message()}});
            return self.RunAfter(kRetryDelay, [pool](Impl& it) {
              it.ReopenInheritedWorkers(pool);
            });
          }
          const std::size_t prefix = EvacuationPrefix(pool).size();
          for (const StoredKey& it : read->items) {
            const WorkerId worker(it.key.substr(prefix));
            self.RunAfter(kOrderLifetime, [pool, worker](Impl& later) {
              if (!later.closed_workers_.contains(worker))
                later.Reopen({pool, worker, {}});
            });
          }
        }));
  }

  void OnEmptied(const StoredKey& change) {
    if (change.is_removed) return;
    const std::size_t slash = change.key.rfind('/');
    const WorkerId worker(change.key.substr(slash + 1));
    const auto closed = closed_workers_.find(worker);
    // The report answers a request of an earlier owner or a withdrawn one.
    if (closed == closed_workers_.end()) return writer_->Remove(change.key);
    if (closed->second.request != change.value) return;
    wave_planner_.OnWorkerEmptied(worker);
    sizer_.OnWorkerEmptied(worker);
    PlanMaintenance();
    SchedulePoolSizing();
  }

  void OnWave(const StoredKey& change) {
    if (change.is_removed) {
      if (const auto it = wave_ids_.find(change.key); it != wave_ids_.end()) {
        Event("wave-removed", {{"wave", it->second.value()}});
        wave_planner_.RemoveWave(it->second);
      }
      return;
    }
    const auto wave = platform_.decode_wave(change);
    if (!wave) {
      return Event("bad-record",
                   {{"key", change.key}, {"error", wave.error().message()}});
    }
    if (!wave_ids_.emplace(change.key, wave->id).second) return;
    Event("wave", {{"wave", wave->id.value()},
                   {"vms", std::to_string(wave->vms.size())},
                   {"max_down", std::to_string(wave->max_down)},
                   {"seconds", std::to_string(ToSeconds(wave->duration))}});
    ReadMaintainedVms(*wave);
  }

  void ReadMaintainedVms(const MaintenanceWave& wave) {
    platform_.store.read(
        WaveProgressKey(wave.id), kStoreTimeout,
        Guarded<StoredKey>([wave](Impl& self, const Result<StoredKey>& key) {
          if (!key && key.error() != StoreError::kNotFound) {
            return self.RunAfter(
                kRetryDelay, [wave](Impl& it) { it.ReadMaintainedVms(wave); });
          }
          std::set<VmId> done;
          if (key) {
            const auto decoded = DecodeMaintainedVms(key->value);
            if (decoded) {
              done = *decoded;
            } else {
              self.Event("bad-record", {{"key", key->key}});
            }
          }
          self.wave_planner_.AddWave(wave, done);
          self.StoreWave(wave.id, false);
          self.ListVms();
        }));
  }

  void ListVms() {
    timers_.Cancel(list_timer_);
    list_timer_ =
        timers_.ScheduleAfter(kVmListPeriod, [weak = weak_from_this()] {
          const auto self = weak.lock();
          if (self != nullptr && !self->is_halted_) self->ListVms();
        });
    if (is_listing_) return;
    is_listing_ = true;
    platform_.fleet.list(Guarded<std::vector<
                             FleetVm>>([](Impl& self,
                                          const Result<std::vector<FleetVm>>&
                                              vms) {
      self.is_listing_ = false;
      if (!vms)
        return self.Event("list-failed", {{"error", vms.error().message()}});
      self.RemoveEndedWorkers(*vms);
      self.vm_count_ = vms->size();
      self.wave_planner_.SetRelocatingVms(self.sizer_.relocating_vms());
      self.wave_planner_.SetVms(*vms, self.spare_);
      self.sizer_.SetVms(*vms, self.spare_, self.wave_planner_.reserved_vms());
      self.PlanMaintenance();
    }));
  }

  /// Removes the evacuation keys of closed workers that have ended.
  void RemoveEndedWorkers(const std::vector<FleetVm>& vms) {
    if (closed_workers_.empty()) return;
    std::set<WorkerId> workers;
    for (const FleetVm& it : vms) workers.insert(it.worker);
    for (auto it = closed_workers_.begin(); it != closed_workers_.end();) {
      const auto& [worker, closed] = *it;
      if (workers.contains(worker)) {
        ++it;
        continue;
      }
      writer_->Remove(EvacuationKey(closed.pool, worker));
      writer_->Remove(EvacuatedKey(closed.pool, worker));
      it = closed_workers_.erase(it);
    }
  }

  /// Keeps each planner from using VMs that the other one has taken.
  void ExchangeTakenVms() {
    wave_planner_.SetRelocatingVms(sizer_.relocating_vms());
    sizer_.SetReservedVms(wave_planner_.reserved_vms());
  }

  void RequestLoads() {
    load_timer_ = timers_.ScheduleAfter(kLoadPeriod, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self != nullptr && !self->is_halted_) self->RequestLoads();
    });
    for (const PoolId& pool : pools_) {
      hooks_.load(pool,
                  Guarded<DispatchLoad>([pool](Impl& self,
                                               const Result<DispatchLoad>& it) {
                    if (!it) return;
                    std::map<WorkerId, std::uint32_t> light;
                    for (const LightlyLoadedWorker& worker : it->lightly_loaded)
                      light[worker.id] = worker.used_cpu_millis;
                    self.sizer_.SetDemand(
                        pool, {.running_cpu_millis = it->running_cpu_millis,
                               .waiting_cpu_millis = it->waiting_cpu_millis,
                               .idle_workers = it->idle,
                               .lightly_used_workers = light,
                               .reported_at = self.timers_.Now()});
                    self.SchedulePoolSizing();
                  }));
    }
    PlanPoolSizes();
  }

  /// Plans pool sizes once for all changes that arrive within kPlanDelay.
  void SchedulePoolSizing() {
    if (is_sizing_scheduled_) return;
    is_sizing_scheduled_ = true;
    RunAfter(kPlanDelay, [](Impl& self) {
      self.is_sizing_scheduled_ = false;
      self.PlanPoolSizes();
    });
  }

  void PlanPoolSizes() {
    if (!MaySendOrders()) return;
    const Instant began = timers_.Now();
    ExchangeTakenVms();
    const SizePlan plan = sizer_.Plan(began);
    ReportDecision("size-pools", began);
    for (const auto& it : plan.workers_to_close)
      Close({it.pool, it.worker, {}});
    for (const auto& it : plan.workers_to_reopen)
      Reopen({it.pool, it.worker, {}});
    for (const auto& it : plan.moves) Move(it);
  }

  void Move(const SizePlan::Move& move) {
    // Checked again, since the decision may have outlasted the lease.
    if (!MaySendOrders())
      return sizer_.OnMoveAnswer(move.vm, VmCallOutcome::kBusy, timers_.Now());
    Event("move", {{"vm", move.vm.value()}, {"to", move.to.value()}});
    platform_.fleet.move(
        move.vm, move.to, settings_.entry, token_,
        Guarded<VmCallOutcome>([move](Impl& self,
                                      const Result<VmCallOutcome>& outcome) {
          self.Event("move-answer",
                     {{"vm", move.vm.value()}, {"outcome", Describe(outcome)}});
          if (!outcome && outcome.error() == WorkerError::kFenced)
            return self.ReportLost("the platform has seen a higher token");
          self.sizer_.OnMoveAnswer(move.vm,
                                   outcome.value_or(VmCallOutcome::kUnknown),
                                   self.timers_.Now());
        }));
  }

  void ReportDecision(std::string_view decision, Instant began) {
    if (hooks_.on_decision)
      hooks_.on_decision(decision, vm_count_, timers_.Now() - began);
  }

  bool MaySendOrders() const {
    return timers_.Now() >= orders_allowed_from_ &&
           timers_.Now() < hooks_.vm_orders_allowed_until();
  }

  void PlanMaintenance() {
    if (!MaySendOrders()) return;
    const Instant began = timers_.Now();
    const WavePlan plan = wave_planner_.Plan(began);
    ReportDecision("maintain", began);
    for (const WavePlan::WorkerClosure& it : plan.workers_to_close) Close(it);
    for (const WavePlan::WorkerClosure& it : plan.workers_to_reopen) Reopen(it);
    for (const WavePlan::MaintenanceCall& it : plan.maintenance_calls)
      Maintain(it);
    for (const WaveId& it : plan.completed_waves) StoreWave(it, true);
  }

  void Close(const WavePlan::WorkerClosure& close) {
    const std::string request =
        std::to_string(token_.value()) + "." + std::to_string(++request_count_);
    Event("worker-close", {{"worker", close.worker.value()},
                           {"pool", close.pool.value()},
                           {"wave", close.wave.value()},
                           {"request", request}});
    closed_workers_[close.worker] = {close.pool, request};
    writer_->Write(EvacuationKey(close.pool, close.worker), request);
  }

  void Reopen(const WavePlan::WorkerClosure& close) {
    Event("worker-reopen", {{"worker", close.worker.value()},
                            {"pool", close.pool.value()},
                            {"wave", close.wave.value()}});
    closed_workers_.erase(close.worker);
    writer_->Remove(EvacuationKey(close.pool, close.worker));
    writer_->Remove(EvacuatedKey(close.pool, close.worker));
  }

  void Maintain(const WavePlan::MaintenanceCall& order) {
    if (!MaySendOrders()) {
      return wave_planner_.OnMaintenanceAnswer(
          order.wave, order.vm, VmCallOutcome::kBusy, timers_.Now());
    }
    Event("maintain", {{"vm", order.vm.value()}, {"wave", order.wave.value()}});
    platform_.fleet.maintain(
        order.vm, order.wave, settings_.entry, token_,
        Guarded<VmCallOutcome>(
            [order](Impl& self, const Result<VmCallOutcome>& outcome) {
              self.OnMaintained(order, outcome);
            }));
  }

  void OnMaintained(const WavePlan::MaintenanceCall& order,
                    const Result<VmCallOutcome>& outcome) {
    Event("maintain-answer", {{"vm", order.vm.value()},
                              {"wave", order.wave.value()},
                              {"outcome", Describe(outcome)}});
    if (!outcome && outcome.error() == WorkerError::kFenced)
      return ReportLost("the platform has seen a higher token");
    wave_planner_.OnMaintenanceAnswer(order.wave, order.vm,
                                      outcome.value_or(VmCallOutcome::kUnknown),
                                      timers_.Now());
    if (outcome && *outcome == VmCallOutcome::kAccepted)
      StoreWave(order.wave, false);
    PlanMaintenance();
  }

  void StoreWave(const WaveId& wave, bool is_complete) {
    if (is_complete) Event("wave-complete", {{"wave", wave.value()}});
    writer_->Write(WaveProgressKey(wave),
                   EncodeMaintainedVms(wave_planner_.MaintainedVms(wave)));
    writer_->Write(platform_.wave_status_key(wave),
                   platform_.encode_wave_status(is_complete));
  }

  const PlatformHooks& platform_;
  TimerService& timers_;
  const JobServiceSettings& settings_;
  const FencingToken token_;
  FleetManagerHooks hooks_;
  WavePlanner wave_planner_;
  PoolSizer sizer_;
  std::set<PoolId> spare_;
  std::set<PoolId> pools_;
  /// VMs in the latest list.
  std::size_t vm_count_ = 0;
  /// No orders are sent before, see kOrderLifetime.
  Instant orders_allowed_from_{};
  /// Waves by the store key under which the operator requested them.
  std::map<std::string, WaveId> wave_ids_;
  /// Workers that this owner has closed and not reopened.
  std::map<WorkerId, ClosedWorker> closed_workers_;
  /// Evacuation requests of this owner; numbers their ids.
  std::uint64_t request_count_ = 0;
  std::optional<FleetWriter> writer_;
  std::optional<PrefixFollower> emptied_follower_;
  std::optional<PrefixFollower> wave_follower_;
  TimerId list_timer_ = 0;
  TimerId load_timer_ = 0;
  bool is_listing_ = false;
  bool is_sizing_scheduled_ = false;
  bool is_halted_ = false;
};

FleetManager::FleetManager(const PlatformHooks& platform, TimerService& timers,
                           const JobServiceSettings& settings,
                           FencingToken token, FleetManagerHooks hooks)
    : impl_(std::make_shared<Impl>(platform, timers, settings, token,
                                   std::move(hooks))) {}

FleetManager::~FleetManager() { impl_->Halt(); }

void FleetManager::Start(const FleetConfig& config) { impl_->Start(config); }
void FleetManager::OnConfig(const FleetConfig& config) {
  impl_->OnConfig(config);
}

}  // namespace pomelomill
