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
constexpr Duration kRetryPause = std::chrono::milliseconds(200);
/// A VM is down for two seconds; a shorter period would spend more list calls
/// than it gains.
constexpr Duration kListPeriod = std::chrono::milliseconds(500);
/// Peaks begin within a second and last some seconds.
constexpr Duration kLoadPeriod = std::chrono::milliseconds(250);

/// An order of the owner before may still be carried out within this time, and
/// two owners in turn must not order one VM within it.
constexpr Duration kOrderLasts = std::chrono::milliseconds(3000);
/// Answers of several owners, and workers that are emptied together, arrive
/// within this time.
constexpr Duration kNewsPause = std::chrono::milliseconds(30);

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

struct Closure {
  PoolId pool;
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
    orders_from_ = timers_.Now() + kOrderLasts;
    writer_.emplace(
        platform_.store, timers_, token_,
        FleetWriterHooks{
            .on_lost = [this] { Lose("the owner key has changed"); },
            .on_retry =
                [this](std::error_code ec) {
                  Event("store-retry", {{"error", ec.message()}});
                }});
    OnConfig(config);
    for (const PoolConfig& it : config.pools) ReadClosures(it.id);
    emptied_.emplace(platform_.store, timers_, kEmptiedPrefix,
                     PrefixFollowerHooks{.on_change = [this](const auto& it) {
                       OnEmptied(it);
                     }});
    waves_.emplace(platform_.store, timers_, platform_.wave_prefix,
                   PrefixFollowerHooks{
                       .on_change = [this](const auto& it) { OnWave(it); }});
    emptied_->Start();
    waves_->Start();
    List();
    AskLoads();
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
    emptied_.reset();
    waves_.reset();
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

  void Later(Duration pause, std::function<void(Impl&)> work) {
    timers_.ScheduleAfter(pause,
                          [weak = weak_from_this(), work = std::move(work)] {
                            const auto self = weak.lock();
                            if (self != nullptr && !self->is_halted_)
                              work(*self);
                          });
  }

  void Lose(const char* reason) {
    Event("lost", {{"reason", reason}});
    Later(Duration(0), [](Impl& self) { self.hooks_.on_lost(); });
  }

  /// Reopens the workers that an earlier owner had closed: it alone knew what
  /// for. Until its orders can have no effect any more they stay closed, as a
  /// late one would end the tasks that are started there.
  void ReadClosures(const PoolId& pool) {
    platform_.store.read_prefix(
        EvacuationPrefix(pool), kStoreTimeout,
        Guarded<PrefixRead>([pool](Impl& self, const Result<PrefixRead>& read) {
          if (!read) {
            self.Event("store-retry", {{"error", read.error().message()}});
            return self.Later(kRetryPause,
                              [pool](Impl& it) { it.ReadClosures(pool); });
          }
          const std::size_t prefix = EvacuationPrefix(pool).size();
          for (const StoredKey& it : read->items) {
            const WorkerId worker(it.key.substr(prefix));
            self.Later(kOrderLasts, [pool, worker](Impl& later) {
              if (!later.closures_.contains(worker))
                later.Reopen({pool, worker, {}});
            });
          }
        }));
  }

  void OnEmptied(const StoredKey& change) {
    if (change.is_removed) return;
    const std::size_t slash = change.key.rfind('/');
    const WorkerId worker(change.key.substr(slash + 1));
    const auto closure = closures_.find(worker);
    // The answer to a request of an earlier owner, or to one taken back.
    if (closure == closures_.end()) return writer_->Remove(change.key);
    if (closure->second.request != change.value) return;
    book_.OnWorkerEmptied(worker);
    sizer_.OnWorkerEmptied(worker);
    Plan();
    PlanSizesSoon();
  }

  void OnWave(const StoredKey& change) {
    if (change.is_removed) {
      if (const auto it = keys_.find(change.key); it != keys_.end()) {
        Event("wave-removed", {{"wave", it->second.value()}});
        book_.RemoveWave(it->second);
      }
      return;
    }
    const auto wave = platform_.decode_wave(change);
    if (!wave) {
      return Event("bad-record",
                   {{"key", change.key}, {"error", wave.error().message()}});
    }
    if (!keys_.emplace(change.key, wave->id).second) return;
    Event("wave", {{"wave", wave->id.value()},
                   {"vms", std::to_string(wave->vms.size())},
                   {"max_down", std::to_string(wave->max_down)},
                   {"seconds", std::to_string(ToSeconds(wave->duration))}});
    ReadDone(*wave);
  }

  void ReadDone(const MaintenanceWave& wave) {
    platform_.store.read(
        WaveKey(wave.id), kStoreTimeout,
        Guarded<StoredKey>([wave](Impl& self, const Result<StoredKey>& key) {
          if (!key && key.error() != StoreError::kNotFound) {
            return self.Later(kRetryPause,
                              [wave](Impl& it) { it.ReadDone(wave); });
          }
          std::set<VmId> done;
          if (key) {
            const auto decoded = DecodeDoneVms(key->value);
            if (decoded) {
              done = *decoded;
            } else {
              self.Event("bad-record", {{"key", key->key}});
            }
          }
          self.book_.AddWave(wave, done);
          self.StoreWave(wave.id, false);
          self.List();
        }));
  }

  void List() {
    timers_.Cancel(list_timer_);
    list_timer_ = timers_.ScheduleAfter(kListPeriod, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self != nullptr && !self->is_halted_) self->List();
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
      self.ForgetClosures(*vms);
      self.vms_ = vms->size();
      self.book_.SetRelocatingVms(self.sizer_.relocating_vms());
      self.book_.SetVms(*vms, self.spare_);
      self.sizer_.SetVms(*vms, self.spare_, self.book_.reserved_vms());
      self.Plan();
    }));
  }

  /// Removes the keys of closed workers that have ended.
  void ForgetClosures(const std::vector<FleetVm>& vms) {
    if (closures_.empty()) return;
    std::set<WorkerId> workers;
    for (const FleetVm& it : vms) workers.insert(it.worker);
    for (auto it = closures_.begin(); it != closures_.end();) {
      const auto& [worker, closure] = *it;
      if (workers.contains(worker)) {
        ++it;
        continue;
      }
      writer_->Remove(EvacuationKey(closure.pool, worker));
      writer_->Remove(EmptiedKey(closure.pool, worker));
      it = closures_.erase(it);
    }
  }

  /// Each of the two decisions leaves alone what the other has taken.
  void ExchangeTaken() {
    book_.SetRelocatingVms(sizer_.relocating_vms());
    sizer_.SetReservedVms(book_.reserved_vms());
  }

  void AskLoads() {
    load_timer_ = timers_.ScheduleAfter(kLoadPeriod, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self != nullptr && !self->is_halted_) self->AskLoads();
    });
    for (const PoolId& pool : pools_) {
      hooks_.load(pool, Guarded<DispatchLoad>(
                            [pool](Impl& self, const Result<DispatchLoad>& it) {
                              if (!it) return;
                              std::map<WorkerId, std::uint32_t> light;
                              for (const LightWorker& worker : it->light)
                                light[worker.id] = worker.used_cpu;
                              self.sizer_.SetDemand(
                                  pool, {.running_cpu_millis = it->running_cpu,
                                         .waiting_cpu_millis = it->waiting_cpu,
                                         .idle_workers = it->idle,
                                         .lightly_used_workers = light,
                                         .reported_at = self.timers_.Now()});
                              self.PlanSizesSoon();
                            }));
    }
    PlanSizes();
  }

  /// One decision for all news that arrive together.
  void PlanSizesSoon() {
    if (is_sizing_soon_) return;
    is_sizing_soon_ = true;
    Later(kNewsPause, [](Impl& self) {
      self.is_sizing_soon_ = false;
      self.PlanSizes();
    });
  }

  void PlanSizes() {
    if (!MayCall()) return;
    const Instant began = timers_.Now();
    ExchangeTaken();
    const SizePlan plan = sizer_.Plan(began);
    NoteDecision("size-pools", began);
    for (const auto& it : plan.workers_to_close)
      Close({it.pool, it.worker, {}});
    for (const auto& it : plan.workers_to_reopen)
      Reopen({it.pool, it.worker, {}});
    for (const auto& it : plan.moves) Move(it);
  }

  void Move(const SizePlan::Move& move) {
    Event("move", {{"vm", move.vm.value()}, {"to", move.to.value()}});
    platform_.fleet.move(
        move.vm, move.to, settings_.entry, token_,
        Guarded<VmCallOutcome>([move](Impl& self,
                                      const Result<VmCallOutcome>& outcome) {
          self.Event("move-answer",
                     {{"vm", move.vm.value()}, {"outcome", Describe(outcome)}});
          if (!outcome && outcome.error() == WorkerError::kFenced)
            return self.Lose("the platform has seen a higher token");
          self.sizer_.OnMoveAnswer(move.vm,
                                   outcome.value_or(VmCallOutcome::kUnknown),
                                   self.timers_.Now());
        }));
  }

  void NoteDecision(std::string_view decision, Instant began) {
    if (hooks_.decided) hooks_.decided(decision, vms_, timers_.Now() - began);
  }

  bool MayCall() const {
    return timers_.Now() >= orders_from_ && timers_.Now() < hooks_.call_limit();
  }

  void Plan() {
    if (!MayCall()) return;
    const Instant began = timers_.Now();
    const WavePlan plan = book_.Plan(began);
    NoteDecision("maintain", began);
    for (const WavePlan::WorkerClosure& it : plan.workers_to_close) Close(it);
    for (const WavePlan::WorkerClosure& it : plan.workers_to_reopen) Reopen(it);
    for (const WavePlan::MaintenanceCall& it : plan.maintenance_calls)
      Maintain(it);
    for (const WaveId& it : plan.completed_waves) StoreWave(it, true);
  }

  void Close(const WavePlan::WorkerClosure& close) {
    const std::string request =
        std::to_string(token_.value()) + "." + std::to_string(++requests_);
    Event("worker-close", {{"worker", close.worker.value()},
                           {"pool", close.pool.value()},
                           {"wave", close.wave.value()},
                           {"request", request}});
    closures_[close.worker] = {close.pool, request};
    writer_->Write(EvacuationKey(close.pool, close.worker), request);
  }

  void Reopen(const WavePlan::WorkerClosure& close) {
    Event("worker-reopen", {{"worker", close.worker.value()},
                            {"pool", close.pool.value()},
                            {"wave", close.wave.value()}});
    closures_.erase(close.worker);
    writer_->Remove(EvacuationKey(close.pool, close.worker));
    writer_->Remove(EmptiedKey(close.pool, close.worker));
  }

  void Maintain(const WavePlan::MaintenanceCall& order) {
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
      return Lose("the platform has seen a higher token");
    book_.OnMaintenanceAnswer(order.wave, order.vm,
                              outcome.value_or(VmCallOutcome::kUnknown),
                              timers_.Now());
    if (outcome && *outcome == VmCallOutcome::kAccepted)
      StoreWave(order.wave, false);
    Plan();
  }

  void StoreWave(const WaveId& wave, bool is_complete) {
    if (is_complete) Event("wave-complete", {{"wave", wave.value()}});
    writer_->Write(WaveKey(wave), EncodeDoneVms(book_.MaintainedVms(wave)));
    writer_->Write(platform_.wave_status_key(wave),
                   platform_.encode_wave_status(is_complete));
  }

  const PlatformHooks& platform_;
  TimerService& timers_;
  const JobServiceSettings& settings_;
  const FencingToken token_;
  FleetManagerHooks hooks_;
  WavePlanner book_;
  PoolSizer sizer_;
  std::set<PoolId> spare_;
  std::set<PoolId> pools_;
  /// VMs in the last list.
  std::size_t vms_ = 0;
  Instant orders_from_{};
  /// Keys of the operator's waves.
  std::map<std::string, WaveId> keys_;
  /// Workers that this owner has closed and not reopened.
  std::map<WorkerId, Closure> closures_;
  std::uint64_t requests_ = 0;
  std::optional<FleetWriter> writer_;
  std::optional<PrefixFollower> emptied_;
  std::optional<PrefixFollower> waves_;
  TimerId list_timer_ = 0;
  TimerId load_timer_ = 0;
  bool is_listing_ = false;
  bool is_sizing_soon_ = false;
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
