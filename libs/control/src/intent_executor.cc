#include "pomelomill/control/intent_executor.h"

#include <optional>
#include <utility>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/platform/platform_error.h"

namespace pomelomill {
namespace {

/// Soft state of one intent within its current step.
struct Progress {
  IntentStep step = IntentStep::kDrain;
  IntentFacts facts;
  bool is_calling = false;
  bool is_drain_requested = false;
  /// When the first of the current series of unanswered health checks failed.
  std::optional<Instant> unanswered_since;
  Instant next_call{};
};

}  // namespace

class IntentExecutor::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(PlatformClient platform, TimerService& timers, IntentHooks hooks,
       IntentOptions options)
      : platform_(std::move(platform)),
        timers_(timers),
        hooks_(std::move(hooks)),
        options_(options) {}

  void Step(const RegionState& state) {
    std::erase_if(progress_, [&](const auto& it) {
      return !state.intents.contains(it.first);
    });
    for (const auto& [id, intent] : state.intents) {
      const auto vm = state.vms.find(intent.vm);
      if (vm != state.vms.end()) StepIntent(intent, vm->second);
    }
  }

  void Reset() {
    progress_.clear();
    ++term_;
    outstanding_calls_ = 0;
  }

  std::size_t outstanding_calls() const { return outstanding_calls_; }

 private:
  void StepIntent(const Intent& intent, const VmState& vm) {
    Progress& p = progress_[intent.id];
    if (p.step != intent.step) p = Progress{.step = intent.step};
    if (intent.step == IntentStep::kDrain)
      p.facts.is_drained = hooks_.is_drained(intent.vm, intent.since);
    switch (NextAction(intent, p.facts)) {
      case IntentAction::kWaitForDrain:
        // A draining endpoint refuses work, also from an entry that has not
        // seen the intent yet.
        if (!p.is_drain_requested) CallPlatform(intent, p);
        break;
      case IntentAction::kCallPlatform:
        CallPlatform(intent, p);
        break;
      case IntentAction::kPollPlatform:
        PollPlatform(intent, p);
        break;
      case IntentAction::kCheckHealth:
        CheckHealth(intent, vm, p);
        break;
      case IntentAction::kAdvance:
        hooks_.advance(intent.id, intent.step,
                       p.facts.generation.value_or(vm.generation));
        break;
      case IntentAction::kNone:
        break;
    }
  }

  /// Counts one call as outstanding. Returns false, without effect, if the
  /// intent has a call outstanding, its poll interval has not passed, or the
  /// limit of outstanding calls is reached.
  bool BeginCall(Progress& p) {
    const Instant now = timers_.Now();
    if (p.is_calling || now < p.next_call ||
        outstanding_calls_ >= options_.max_outstanding_calls)
      return false;
    p.is_calling = true;
    p.next_call = now + options_.poll_interval;
    ++outstanding_calls_;
    return true;
  }

  /// Counts a call as ended. Returns the progress that the response belongs
  /// to, or null if the intent has left `step` or the executor was reset since
  /// the call.
  Progress* EndCall(std::uint64_t term, const IntentId& id, IntentStep step) {
    if (term != term_) return nullptr;
    --outstanding_calls_;
    const auto it = progress_.find(id);
    if (it == progress_.end() || it->second.step != step) return nullptr;
    it->second.is_calling = false;
    return &it->second;
  }

  void CallPlatform(const Intent& intent, Progress& p) {
    const auto operation = PlatformOperation(intent);
    // The lease is checked immediately before the call, because an expiry
    // between the check and the call would go unnoticed.
    if (!operation || !hooks_.has_authority() || !BeginCall(p)) return;
    platform_.operate_vm(intent.vm, *operation, OperationId(intent),
                         intent.generation, options_.call_timeout,
                         [weak = weak_from_this(), term = term_, id = intent.id,
                          step = intent.step](const Status& status) {
                           const auto self = weak.lock();
                           if (self)
                             self->OnPlatformResponse(term, id, step, status);
                         });
  }

  void OnPlatformResponse(std::uint64_t term, const IntentId& id,
                          IntentStep step, const Status& status) {
    Progress* p = EndCall(term, id, step);
    if (p == nullptr) return;
    if (step == IntentStep::kDrain) {
      p->is_drain_requested =
          status || status.error() == PlatformError::kWrongGeneration;
      return;
    }
    // After an error it is unknown whether the platform has started the
    // operation, so the next pass polls the platform.
    p->facts.operation =
        status ? std::optional(OperationState::kRunning) : std::nullopt;
  }

  void PollPlatform(const Intent& intent, Progress& p) {
    if (!BeginCall(p)) return;
    platform_.vm_status(
        intent.vm, options_.call_timeout,
        [weak = weak_from_this(), term = term_, id = intent.id,
         step = intent.step,
         operation_id = OperationId(intent)](const Result<VmStatus>& status) {
          const auto self = weak.lock();
          if (self == nullptr) return;
          Progress* progress = self->EndCall(term, id, step);
          if (progress == nullptr || !status) return;
          progress->facts.generation = status->vm.generation;
          progress->facts.operation = status->intent == operation_id
                                          ? status->operation
                                          : OperationState::kNone;
        });
  }

  void CheckHealth(const Intent& intent, const VmState& vm, Progress& p) {
    if (!BeginCall(p)) return;
    hooks_.check_health(intent.vm, vm.address,
                        [weak = weak_from_this(), term = term_, id = intent.id,
                         step = intent.step, expected = vm.generation](
                            const Result<EndpointHealth>& health) {
                          const auto self = weak.lock();
                          if (self == nullptr) return;
                          Progress* progress = self->EndCall(term, id, step);
                          if (progress == nullptr) return;
                          if (health) {
                            RecordHealth(*health, expected, progress);
                          } else {
                            self->RecordUnansweredCheck(progress);
                          }
                        });
  }

  static void RecordHealth(const EndpointHealth& health, Generation expected,
                           Progress* p) {
    p->unanswered_since.reset();
    p->facts.is_healthy = health.generation >= expected && !health.is_draining;
    p->facts.active_requests = health.active;
    if (p->step == IntentStep::kVerify) p->facts.generation = health.generation;
  }

  void RecordUnansweredCheck(Progress* p) {
    const Instant now = timers_.Now();
    if (!p->unanswered_since) p->unanswered_since = now;
    if (now - *p->unanswered_since >= options_.unreachable_timeout)
      p->facts.active_requests = 0;
  }

  PlatformClient platform_;
  TimerService& timers_;
  IntentHooks hooks_;
  IntentOptions options_;
  std::map<IntentId, Progress> progress_;
  /// Incremented by each reset, so that responses from before are ignored.
  std::uint64_t term_ = 0;
  std::size_t outstanding_calls_ = 0;
};

IntentExecutor::IntentExecutor(PlatformClient platform, TimerService& timers,
                               IntentHooks hooks, IntentOptions options)
    : impl_(std::make_shared<Impl>(std::move(platform), timers,
                                   std::move(hooks), options)) {}

IntentExecutor::~IntentExecutor() = default;

void IntentExecutor::Step(const RegionState& state) { impl_->Step(state); }

void IntentExecutor::Reset() { impl_->Reset(); }

std::size_t IntentExecutor::outstanding_calls() const {
  return impl_->outstanding_calls();
}

}  // namespace pomelomill
