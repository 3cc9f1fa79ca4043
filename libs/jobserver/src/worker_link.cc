#include "pomelomill/jobserver/worker_link.h"

#include <algorithm>
#include <utility>

namespace pomelomill {

class WorkerLink::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const WorkerCalls& calls, TimerService& timers, WorkerAddress address,
       FencingToken token, WorkerLinkHooks hooks,
       const WorkerLinkOptions& options)
      : calls_(calls),
        timers_(timers),
        address_(std::move(address)),
        token_(token),
        hooks_(std::move(hooks)),
        options_(options) {}

  void Start() {
    late_orders_until_ = timers_.Now() + options_.late_orders;
    lapses_at_ = timers_.Now() + options_.first_contact_limit;
    Call();
  }

  void Halt() {
    is_halted_ = true;
    hooks_ = {};
    timers_.Cancel(timer_);
  }

  void Wake() {
    if (!is_paused_for_store_) return;
    is_paused_for_store_ = false;
    timers_.Cancel(timer_);
    Call();
  }

  const WorkerAddress& address() const { return address_; }
  bool is_gone() const { return is_gone_; }

  std::optional<std::int64_t> order_deadline_ms() const {
    if (!clock_ms_) return std::nullopt;
    const auto passed = ToMillis(timers_.Now() - clock_at_);
    return *clock_ms_ + passed + ToMillis(options_.task_lease);
  }

  std::function<void(bool)> NoteStart(std::int64_t deadline_ms) {
    NoteDeadline(deadline_ms);
    ++open_starts_;
    is_ask_quiet_ = false;
    is_quiet_ = false;
    return [weak = weak_from_this()](bool is_certain) {
      if (const auto self = weak.lock()) self->OnStartOutcome(is_certain);
    };
  }

  bool may_start() const {
    return !is_gone_ && !is_doubtful_ && !IsAcknowledgementDue();
  }

 private:
  void NoteDeadline(std::int64_t deadline_ms) {
    sent_deadline_ms_ = std::max(sent_deadline_ms_, deadline_ms);
    UpdateLapse();
  }

  void UpdateLapse() {
    if (!clock_ms_) return;
    const auto left = std::chrono::milliseconds(sent_deadline_ms_ - *clock_ms_);
    lapses_at_ = clock_at_ + std::chrono::duration_cast<Duration>(
                                 left * (1 + options_.max_drift));
  }

  void OnStartOutcome(bool is_certain) {
    --open_starts_;
    if (!is_certain) late_orders_until_ = timers_.Now() + options_.late_orders;
    // The next answer allows the acknowledgement that starts wait for.
    if (!is_halted_ && is_pausing_to_ask_ && IsAcknowledgementDue() &&
        AreOrdersOver()) {
      timers_.Cancel(timer_);
      Call();
    }
  }

  /// Whether no order that was sent so far can still be carried out.
  bool AreOrdersOver() const {
    return open_starts_ == 0 && timers_.Now() >= late_orders_until_;
  }

  /// Ends have waited for long, and holding back starts will help.
  bool IsAcknowledgementDue() const {
    return waiting_since_ && !is_silent_ &&
           timers_.Now() - *waiting_since_ > options_.ack_patience &&
           timers_.Now() >= late_orders_until_;
  }

  bool HasUnacknowledged() const { return hooks_.ack_limit() > acknowledged_; }

  /// Whether no end of a later life can have a number yet: the worker was in
  /// this life a moment ago, or nothing was there to be run in a later one.
  bool MayAcknowledge() const {
    if (!clock_ms_ || is_silent_ || is_doubtful_) return false;
    if (timers_.Now() - alive_at_ < options_.same_life) return true;
    // Starts are held back then: one that reached a later life together with a
    // late acknowledgement would lose its end.
    return is_quiet_ && IsAcknowledgementDue();
  }

  void Call() {
    is_paused_for_store_ = false;
    is_pausing_to_ask_ = false;
    if (!hooks_.may_order()) return Again(options_.retry_pause);
    RenewCall call;
    call.token = token_;
    // The ends of a new life have numbers of their own, and an acknowledgement
    // of the old life's ends would delete them unread.
    const bool has_unacknowledged = HasUnacknowledged();
    const bool may_acknowledge = MayAcknowledge();
    if (has_unacknowledged && may_acknowledge)
      call.acknowledged = hooks_.ack_limit();
    if (!has_unacknowledged || may_acknowledge) {
      waiting_since_.reset();
    } else if (!waiting_since_) {
      waiting_since_ = timers_.Now();
    }
    asked_at_ = timers_.Now();
    is_ask_quiet_ = AreOrdersOver();
    // A call without an answer may have extended the lease. A silent worker is
    // only asked, or its lease would never certainly lapse.
    const bool is_reachable = !is_silent_ && !is_doubtful_;
    if (is_reachable) call.deadline_ms = order_deadline_ms();
    is_asking_ = has_unacknowledged && !may_acknowledge;
    const bool may_wait =
        clock_ms_ && is_reachable && !hooks_.has_unstored_ends() && !is_asking_;
    if (may_wait) call.wait = options_.wait;
    if (call.deadline_ms) NoteDeadline(*call.deadline_ms);
    const Instant stale_at = timers_.Now() + call.wait + options_.stale_after;
    calls_.renew(
        address_, call,
        [weak = weak_from_this(), stale_at,
         acknowledged = call.acknowledged](Result<WorkerReport> result) {
          const auto self = weak.lock();
          if (self == nullptr || self->is_halted_) return;
          if (!result && result.error() == WorkerError::kNotSent)
            return self->OnNotSent();
          self->OnAnswer(std::move(result), stale_at, acknowledged);
        });
  }

  /// A call that did not leave this process says nothing of the worker. Its
  /// deadline stays noted: that only puts off the time at which the lease
  /// counts as lapsed.
  void OnNotSent() {
    if (is_gone_ || timers_.Now() > lapses_at_)
      return OnFailure(WorkerError::kNotSent);
    Again(options_.retry_pause);
  }

  void OnAnswer(Result<WorkerReport> result, Instant stale_at,
                std::uint64_t acknowledged) {
    // This process was held up; the outcome says little about the present, and
    // the worker may have answered in time. If it goes on like that, late
    // answers are better than none.
    const bool is_late = timers_.Now() > stale_at;
    if (is_late && !is_silent_ && !is_doubtful_ &&
        timers_.Now() <= lapses_at_ &&
        (result || result.error() == WorkerError::kNoAnswer)) {
      is_doubtful_ = true;
      return Call();
    }
    if (!result) return OnFailure(result.error());
    if (is_late && !is_doubtful_ && timers_.Now() > lapses_at_)
      return OnFailure(WorkerError::kNoAnswer);
    refusals_ = 0;
    const bool is_first = !clock_ms_ || born_ms_ != result->started_ms;
    if (is_first) {
      sent_deadline_ms_ = 0;
      acknowledged_ = 0;
      alive_at_ = asked_at_;
    } else {
      acknowledged_ = std::max(acknowledged_, acknowledged);
      // The worker's own clock tells how long after its last answer it gave
      // this one: a call that waits may have been sent long before.
      const auto passed =
          std::chrono::milliseconds(result->clock_ms - *clock_ms_);
      alive_at_ = std::max(asked_at_,
                           alive_at_ + std::chrono::duration_cast<Duration>(
                                           passed / (1 + options_.max_drift)));
    }
    is_silent_ = false;
    is_doubtful_ = false;
    is_gone_ = false;
    is_quiet_ = is_ask_quiet_;
    born_ms_ = result->started_ms;
    clock_ms_ = result->clock_ms;
    clock_at_ = timers_.Now();
    UpdateLapse();
    hooks_.on_report(*result);
    if (is_halted_) return;
    const bool is_vain = is_asking_ && HasUnacknowledged() && !MayAcknowledge();
    const bool is_due = IsAcknowledgementDue() && AreOrdersOver();
    if (is_vain && !is_due) {
      // Asking again at once brings the same long list; after a pause as long
      // as the answer took, a slow owner handles half as many of them.
      is_pausing_to_ask_ = true;
      return Again(std::min(timers_.Now() - asked_at_, options_.wait));
    }
    if (is_first || !hooks_.has_unstored_ends()) return Call();
    is_paused_for_store_ = true;
    Again(options_.unstored_pause);
  }

  void OnFailure(std::error_code ec) {
    is_doubtful_ = false;
    is_quiet_ = false;
    if (ec == WorkerError::kFenced) return hooks_.on_fenced();
    if (!std::exchange(is_silent_, true)) hooks_.on_silent(ec);
    if (is_halted_) return;
    if (ec == WorkerError::kOtherLife) return Lose("another life answered");
    refusals_ = ec == WorkerError::kRefused ? refusals_ + 1 : 0;
    if (refusals_ >= options_.refusals_of_dead) return Lose("refused");
    if (!is_gone_ && timers_.Now() > lapses_at_) return Lose("lease lapsed");
    Again(is_gone_ ? options_.lost_pause : options_.retry_pause);
  }

  void Lose(const char* reason) {
    const bool was_gone = std::exchange(is_gone_, true);
    clock_ms_.reset();
    sent_deadline_ms_ = 0;
    waiting_since_.reset();
    if (!was_gone) hooks_.on_gone(reason);
    if (!is_halted_) Again(options_.lost_pause);
  }

  void Again(Duration pause) {
    timer_ = timers_.ScheduleAfter(pause, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self != nullptr && !self->is_halted_) self->Call();
    });
  }

  const WorkerCalls& calls_;
  TimerService& timers_;
  const WorkerAddress address_;
  const FencingToken token_;
  WorkerLinkHooks hooks_;
  const WorkerLinkOptions options_;
  std::optional<std::int64_t> clock_ms_;
  Instant clock_at_{};
  Instant asked_at_{};
  /// Latest time at which the life that last answered had certainly not ended.
  Instant alive_at_{};
  /// Ends up to this number are known to be acknowledged in this life.
  std::uint64_t acknowledged_ = 0;
  std::int64_t born_ms_ = 0;
  std::int64_t sent_deadline_ms_ = 0;
  Instant lapses_at_{};
  std::uint32_t refusals_ = 0;
  std::size_t open_starts_ = 0;
  /// Until then an order without an answer may be carried out.
  Instant late_orders_until_{};
  /// Since when ends could be acknowledged, but for doubt about the life.
  std::optional<Instant> waiting_since_;
  /// The latest call asks whether the life goes on.
  bool is_asking_ = false;
  bool is_pausing_to_ask_ = false;
  /// No order was under way at the latest call, and none was sent since.
  bool is_ask_quiet_ = false;
  /// The same holds for the latest call that was answered.
  bool is_quiet_ = false;
  /// The latest outcome was late by this process's own delay.
  bool is_doubtful_ = false;
  TimerId timer_ = 0;
  bool is_silent_ = false;
  bool is_gone_ = false;
  bool is_paused_for_store_ = false;
  bool is_halted_ = false;
};

WorkerLink::WorkerLink(const WorkerCalls& calls, TimerService& timers,
                       WorkerAddress address, FencingToken token,
                       WorkerLinkHooks hooks, const WorkerLinkOptions& options)
    : impl_(std::make_shared<Impl>(calls, timers, std::move(address), token,
                                   std::move(hooks), options)) {}

WorkerLink::~WorkerLink() { impl_->Halt(); }

void WorkerLink::Start() { impl_->Start(); }
void WorkerLink::Wake() { impl_->Wake(); }
const WorkerAddress& WorkerLink::address() const { return impl_->address(); }
std::optional<std::int64_t> WorkerLink::order_deadline_ms() const {
  return impl_->order_deadline_ms();
}
std::function<void(bool)> WorkerLink::NoteStart(std::int64_t deadline_ms) {
  return impl_->NoteStart(deadline_ms);
}
bool WorkerLink::may_start() const { return impl_->may_start(); }
bool WorkerLink::is_gone() const { return impl_->is_gone(); }

}  // namespace pomelomill
