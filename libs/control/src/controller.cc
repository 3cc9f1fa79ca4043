#include "pomelomill/control/controller.h"

#include <algorithm>
#include <utility>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/control/control_error.h"
#include "pomelomill/control/intent_step.h"
#include "pomelomill/control/region_writer.h"
#include "pomelomill/control/vm_adoption.h"
#include "pomelomill/control/wave_windows.h"
#include "pomelomill/maintenance/wave_scheduler.h"
#include "pomelomill/planner/planner.h"
#include "pomelomill/platform/vm_list_tracker.h"

namespace pomelomill {

class Controller::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(ControllerSettings settings, StoreClient store, PlatformClient platform,
       TimerService& timers, ControllerHooks hooks, DecisionLog* decisions)
      : settings_(std::move(settings)),
        platform_(platform),
        timers_(timers),
        hooks_(std::move(hooks)),
        decisions_(decisions),
        lease_({.region = settings_.region, .self = settings_.self}, store,
               timers, hooks_.entry_lease, hooks_.jitter),
        writer_(std::move(store), settings_.region, settings_.self,
                hooks_.on_state_written, settings_.call_timeout),
        executor_(std::move(platform), timers, MakeExecutorHooks(),
                  {.call_timeout = settings_.call_timeout}) {}

  void Start() { Tick(); }

  void Stop() {
    timers_.Cancel(timer_);
    is_stopped_ = true;
    StepDown();
    lease_.Release();
  }

  void set_declarations(std::shared_ptr<const Declarations> declarations,
                        Revision revision) {
    declarations_ = std::move(declarations);
    config_revision_ = revision;
  }

  Status DrainVm(const VmId& vm) {
    if (!writer_.is_holder()) return Unexpected(ControlError::kNotHolder);
    if (!writer_.state()->vms.contains(vm))
      return Unexpected(ControlError::kUnknownVm);
    ProposeIntent(
        {.id = NextIntentId(), .vm = vm, .kind = IntentKind::kReboot});
    RecordDecision({{"vm", vm.value()}}, "drain and reboot",
                   "requested by an operator");
    return {};
  }

  Status ResumeWave(const WaveId& wave) {
    if (!writer_.is_holder()) return Unexpected(ControlError::kNotHolder);
    waves_to_resume_.insert(wave);
    return {};
  }

  bool is_holder() const { return writer_.is_holder(); }
  IncarnationId holder() const { return lease_.holder(); }
  const std::map<WaveId, WaveEstimate>& estimates() const { return estimates_; }

  ControllerStats stats() const {
    ControllerStats stats = stats_;
    stats.state_bytes = writer_.value_size();
    return stats;
  }

 private:
  IntentHooks MakeExecutorHooks() {
    return {
        .has_authority =
            [this] {
              return writer_.is_holder() &&
                     lease_.IsHeldFor(settings_.min_lease_remaining);
            },
        .is_drained = hooks_.is_drained,
        .check_health = hooks_.check_health,
        .advance =
            [this](const IntentId& id, IntentStep from, Generation generation) {
              Advance(id, from, generation);
            }};
  }

  void Tick() {
    if (is_stopped_) return;
    timer_ = timers_.ScheduleAfter(settings_.tick_interval,
                                   [weak = weak_from_this()] {
                                     const auto self = weak.lock();
                                     if (self) self->Tick();
                                   });
    lease_.Tick();
    if (!lease_.IsHeldFor(Duration(0))) {
      if (writer_.is_holder() || is_taking_over_) StepDown();
      return;
    }
    if (!writer_.is_holder()) {
      TakeOver();
      return;
    }
    executor_.Step(*writer_.state());
    // Shares are proposed on each tick and not only with each plan, because an
    // entry without slots waits for three successive changes of the shares.
    if (!writer_.is_busy()) ProposeShares();
    if (timers_.Now() >= next_plan_ && !writer_.is_busy()) {
      next_plan_ = timers_.Now() + settings_.plan_interval;
      ReadVmList();
      if (declarations_) Plan();
    }
    writer_.Flush();
  }

  void StepDown() {
    writer_.StepDown();
    executor_.Reset();
    is_taking_over_ = false;
    // Soft state from this term may be out of date when the lease is held
    // again.
    planner_ = Planner();
    wave_scheduler_ = WaveScheduler();
    tracker_ = VmListTracker();
    estimates_.clear();
  }

  void TakeOver() {
    if (is_taking_over_) return;
    is_taking_over_ = true;
    writer_.TakeOver([this](const Status& status) {
      is_taking_over_ = false;
      if (!status) return;
      ++stats_.take_overs;
      RecordDecision(
          {{"entry", settings_.self.value()}}, "control the region",
          "this entry holds the control lease and has raised the epoch");
    });
  }

  void ReadVmList() {
    if (is_listing_) return;
    is_listing_ = true;
    platform_.list_vms(
        settings_.call_timeout,
        [weak = weak_from_this()](const Result<std::vector<VmRecord>>& listed) {
          const auto self = weak.lock();
          if (self == nullptr) return;
          self->is_listing_ = false;
          if (listed && self->writer_.is_holder()) self->OnVmList(*listed);
        });
  }

  void OnVmList(const std::vector<VmRecord>& listed) {
    for (const VmListEvent& it : tracker_.Observe(listed, timers_.Now()))
      RecordVmListEvent(it);
    if (!declarations_) return;
    writer_.Propose(
        [this, declarations = declarations_,
         adoptable = AdoptableVms(listed, tracker_, *declarations_)](
            RegionState* state, Version) {
          AdoptVms(state, *declarations, adoptable);
          ReconcileWithVmList(state, tracker_);
        });
  }

  void RecordVmListEvent(const VmListEvent& event) {
    const std::vector<Subject> subjects = {{"vm", event.vm.value()}};
    switch (event.change) {
      case VmListChange::kMissing:
        RecordDecision(subjects, "count as lost",
                       "the VM list no longer shows the VM");
        break;
      case VmListChange::kLeaving:
        RecordDecision(subjects, "send no new work",
                       "the VM list shows the VM as leaving");
        break;
      case VmListChange::kAdded:
        RecordDecision(subjects, "adopt", "the VM list shows a new VM");
        break;
      case VmListChange::kRestarted:
      case VmListChange::kLive:
        RecordDecision(subjects, "use again",
                       "the VM list shows the VM as live");
        break;
    }
  }

  void ProposeShares() {
    const auto proposal =
        hooks_.next_shares(*writer_.state(), writer_.version());
    if (!proposal) return;
    RecordDecision({{"entry", settings_.self.value()}},
                   "change the slot shares", proposal->reason);
    writer_.Propose([shares = proposal->shares](RegionState* state, Version) {
      state->shares = shares;
    });
  }

  void Plan() {
    ++stats_.plans;
    const auto state = writer_.state();
    auto demand = hooks_.demand();
    const std::set<VmId> lost = LostVms(*state);
    const auto next_revision = config_revision_;
    writer_.Propose([next_revision](RegionState* s, Version) {
      s->config_revision = std::max(s->config_revision, next_revision);
    });
    StepWaves(state, demand, lost);
    PlanMoves(state, std::move(demand), lost);
  }

  void StepWaves(const std::shared_ptr<const RegionState>& state,
                 const std::map<QueueId, QueueDemand>& demand,
                 const std::set<VmId>& lost) {
    WaveInput input{
        .declarations = declarations_,
        .state = state,
        .demand = demand,
        .lost_vms = lost,
        .time_since_maintenance = TimeSinceMaintenance(*state),
        .windows = WaveWindows(*declarations_,
                               hooks_.wall_clock_s() + hooks_.utc_offset_s()),
        .waves_to_resume = std::exchange(waves_to_resume_, {})};
    WaveStep step = wave_scheduler_.Step(input, timers_.Now());
    for (Decision& it : step.decisions) decisions_->Record(std::move(it));
    estimates_ = step.estimates;
    if (step.waves != state->waves || !step.counted_intents.empty())
      WriteWaves(std::move(step.waves), std::move(step.counted_intents));
    for (const WaveAction& it : step.actions) {
      if (it.kind != WaveActionKind::kStart) continue;
      ProposeIntent({.id = NextIntentId(),
                     .vm = it.vm,
                     .kind = it.intent_kind,
                     .wave = it.wave});
    }
  }

  void WriteWaves(std::map<WaveId, WaveState> waves,
                  std::vector<IntentId> finished) {
    writer_.Propose(
        [waves = std::move(waves), finished = std::move(finished),
         now_s = hooks_.wall_clock_s()](RegionState* state, Version) {
          state->waves = waves;
          for (const IntentId& id : finished) {
            const auto intent = state->intents.find(id);
            if (intent == state->intents.end()) continue;
            const auto vm = state->vms.find(intent->second.vm);
            if (vm != state->vms.end()) vm->second.maintained_at_s = now_s;
            state->intents.erase(intent);
          }
        });
  }

  void PlanMoves(const std::shared_ptr<const RegionState>& state,
                 std::map<QueueId, QueueDemand> demand,
                 const std::set<VmId>& lost) {
    PlannerInput input{.declarations = declarations_,
                       .state = state,
                       .demand = std::move(demand),
                       .lost = lost};
    for (const auto& [id, intent] : state->intents) {
      if (!intent.wave.empty()) input.in_maintenance.insert(intent.vm);
    }
    pomelomill::Plan plan = planner_.Plan(input, timers_.Now());
    for (Decision& it : plan.decisions) decisions_->Record(std::move(it));
    for (const PoolMove& move : plan.moves) {
      ++stats_.moves_opened;
      ProposeIntent({.id = NextIntentId(),
                     .vm = move.vm,
                     .kind = IntentKind::kMove,
                     .target_pool = move.to});
    }
    for (const VmId& vm : plan.starts)
      ProposeIntent(
          {.id = NextIntentId(), .vm = vm, .kind = IntentKind::kStart});
    for (const VmId& vm : plan.stops)
      ProposeIntent(
          {.id = NextIntentId(), .vm = vm, .kind = IntentKind::kStop});
  }

  void ProposeIntent(Intent intent) {
    writer_.Propose(
        [intent = std::move(intent)](RegionState* state, Version next_version) {
          OpenIntent(state, intent, next_version);
        });
  }

  void Advance(const IntentId& id, IntentStep from, Generation generation) {
    writer_.Propose(
        [id, from, generation](RegionState* state, Version next_version) {
          const auto it = state->intents.find(id);
          if (it == state->intents.end() || it->second.step != from) return;
          AdvanceIntent(state, id, generation, next_version);
          // The wave scheduler counts the finished intents of its waves before
          // it has them erased.
          if (it->second.step == IntentStep::kDone && it->second.wave.empty())
            state->intents.erase(it);
        });
  }

  /// Returns an id that no other holder can issue: the id contains the epoch,
  /// and each epoch has one holder.
  IntentId NextIntentId() {
    return IntentId("i" + std::to_string(writer_.state()->epoch.value()) + "-" +
                    std::to_string(++intents_opened_));
  }

  static std::set<VmId> LostVms(const RegionState& state) {
    std::set<VmId> lost;
    for (const auto& [id, vm] : state.vms) {
      if (vm.phase == VmPhase::kLost) lost.insert(id);
    }
    return lost;
  }

  std::map<VmId, Duration> TimeSinceMaintenance(
      const RegionState& state) const {
    std::map<VmId, Duration> ago;
    const std::int64_t now_s = hooks_.wall_clock_s();
    for (const auto& [id, vm] : state.vms) {
      if (vm.maintained_at_s == 0) continue;
      const auto s = std::max<std::int64_t>(0, now_s - vm.maintained_at_s);
      ago.emplace(id, std::chrono::seconds(s));
    }
    return ago;
  }

  void RecordDecision(std::vector<Subject> subjects, std::string choice,
                      std::string reason) {
    decisions_->Record({.at = timers_.Now(),
                        .subjects = std::move(subjects),
                        .choice = std::move(choice),
                        .reason = std::move(reason)});
  }

  ControllerSettings settings_;
  PlatformClient platform_;
  TimerService& timers_;
  ControllerHooks hooks_;
  DecisionLog* decisions_;
  ControlLease lease_;
  RegionWriter writer_;
  IntentExecutor executor_;

  std::shared_ptr<const Declarations> declarations_;
  Revision config_revision_;
  Planner planner_;
  WaveScheduler wave_scheduler_;
  VmListTracker tracker_;
  std::set<WaveId> waves_to_resume_;
  std::map<WaveId, WaveEstimate> estimates_;
  ControllerStats stats_;
  TimerId timer_ = 0;
  Instant next_plan_{};
  std::uint64_t intents_opened_ = 0;
  bool is_taking_over_ = false;
  bool is_listing_ = false;
  bool is_stopped_ = false;
};

Controller::Controller(ControllerSettings settings, StoreClient store,
                       PlatformClient platform, TimerService& timers,
                       ControllerHooks hooks, DecisionLog* decisions)
    : impl_(std::make_shared<Impl>(std::move(settings), std::move(store),
                                   std::move(platform), timers,
                                   std::move(hooks), decisions)) {}

Controller::~Controller() = default;

void Controller::Start() { impl_->Start(); }
void Controller::Stop() { impl_->Stop(); }
void Controller::set_declarations(
    std::shared_ptr<const Declarations> declarations, Revision revision) {
  impl_->set_declarations(std::move(declarations), revision);
}
Status Controller::DrainVm(const VmId& vm) { return impl_->DrainVm(vm); }
Status Controller::ResumeWave(const WaveId& wave) {
  return impl_->ResumeWave(wave);
}
bool Controller::is_holder() const { return impl_->is_holder(); }
IncarnationId Controller::holder() const { return impl_->holder(); }
const std::map<WaveId, WaveEstimate>& Controller::estimates() const {
  return impl_->estimates();
}
ControllerStats Controller::stats() const { return impl_->stats(); }

}  // namespace pomelomill
