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
    unanswered_orders_until_ =
        timers_.Now() + options_.unanswered_order_lifetime;
    lease_expires_at_ = timers_.Now() + options_.max_inherited_lease;
    SendRenewal();
  }

  void Halt() {
    is_halted_ = true;
    hooks_ = {};
    timers_.Cancel(timer_);
  }

  void OnEndsStored() {
    if (!is_waiting_for_store_) return;
    is_waiting_for_store_ = false;
    timers_.Cancel(timer_);
    SendRenewal();
  }

  const WorkerAddress& address() const { return address_; }
  bool is_lost() const { return is_lost_; }

  std::optional<std::int64_t> order_deadline_ms() const {
    if (!clock_ms_) return std::nullopt;
    const auto passed = ToMillis(timers_.Now() - clock_at_);
    return *clock_ms_ + passed + ToMillis(options_.task_lease);
  }

  std::function<void(bool)> TrackStart(std::int64_t deadline_ms) {
    RecordDeadline(deadline_ms);
    ++pending_starts_;
    no_orders_since_request_ = false;
    no_orders_since_answered_request_ = false;
    return [weak = weak_from_this()](bool is_outcome_known) {
      if (const auto self = weak.lock()) self->OnStartOutcome(is_outcome_known);
    };
  }

  bool may_start() const {
    return !is_lost_ && !is_outcome_stale_ && !IsAcknowledgementOverdue();
  }

 private:
  void RecordDeadline(std::int64_t deadline_ms) {
    latest_deadline_ms_ = std::max(latest_deadline_ms_, deadline_ms);
    UpdateLeaseExpiry();
  }

  void UpdateLeaseExpiry() {
    if (!clock_ms_) return;
    const auto left =
        std::chrono::milliseconds(latest_deadline_ms_ - *clock_ms_);
    lease_expires_at_ = clock_at_ + std::chrono::duration_cast<Duration>(
                                        left * (1 + options_.max_clock_drift));
  }

  void OnStartOutcome(bool is_outcome_known) {
    --pending_starts_;
    if (!is_outcome_known)
      unanswered_orders_until_ =
          timers_.Now() + options_.unanswered_order_lifetime;
    // The next answer allows the acknowledgement that starts wait for.
    if (!is_halted_ && is_probe_delayed_ && IsAcknowledgementOverdue() &&
        HasNoOrderInFlight()) {
      timers_.Cancel(timer_);
      SendRenewal();
    }
  }

  /// Whether no order that was sent so far can still be carried out.
  bool HasNoOrderInFlight() const {
    return pending_starts_ == 0 && timers_.Now() >= unanswered_orders_until_;
  }

  /// Ends have waited for long, and holding back starts will help.
  bool IsAcknowledgementOverdue() const {
    return ack_blocked_since_ && !is_unresponsive_ &&
           timers_.Now() - *ack_blocked_since_ > options_.max_ack_delay &&
           timers_.Now() >= unanswered_orders_until_;
  }

  bool HasUnacknowledgedEnds() const {
    return hooks_.ack_limit() > acknowledged_up_to_;
  }

  /// Whether no end of a later life can have a number yet: the worker was in
  /// this life a moment ago, or nothing was there to be run in a later one.
  bool MayAcknowledge() const {
    if (!clock_ms_ || is_unresponsive_ || is_outcome_stale_) return false;
    if (timers_.Now() - last_known_alive_at_ < options_.same_incarnation_window)
      return true;
    // Starts are held back then: one that reached a later life together with a
    // late acknowledgement would lose its end.
    return no_orders_since_answered_request_ && IsAcknowledgementOverdue();
  }

  void SendRenewal() {
    is_waiting_for_store_ = false;
    is_probe_delayed_ = false;
    if (!hooks_.may_send_orders()) return CallAfter(options_.retry_delay);
    RenewRequest call;
    call.token = token_;
    // The ends of a new life have numbers of their own, and an acknowledgement
    // of the old life's ends would delete them unread.
    const bool has_unacknowledged = HasUnacknowledgedEnds();
    const bool may_acknowledge = MayAcknowledge();
    if (has_unacknowledged && may_acknowledge)
      call.acknowledged_up_to = hooks_.ack_limit();
    if (!has_unacknowledged || may_acknowledge) {
      ack_blocked_since_.reset();
    } else if (!ack_blocked_since_) {
      ack_blocked_since_ = timers_.Now();
    }
    request_sent_at_ = timers_.Now();
    no_orders_since_request_ = HasNoOrderInFlight();
    // A call without an answer may have extended the lease. A silent worker is
    // only asked, or its lease would never certainly lapse.
    const bool is_reachable = !is_unresponsive_ && !is_outcome_stale_;
    if (is_reachable) call.deadline_ms = order_deadline_ms();
    is_probing_ = has_unacknowledged && !may_acknowledge;
    const bool may_wait = clock_ms_ && is_reachable &&
                          !hooks_.has_unstored_ends() && !is_probing_;
    if (may_wait) call.max_wait = options_.long_poll_wait;
    if (call.deadline_ms) RecordDeadline(*call.deadline_ms);
    const Instant stale_from =
        timers_.Now() + call.max_wait + options_.max_handling_delay;
    calls_.renew(
        address_, call,
        [weak = weak_from_this(), stale_from,
         acknowledged = call.acknowledged_up_to](Result<WorkerReport> result) {
          const auto self = weak.lock();
          if (self == nullptr || self->is_halted_) return;
          if (!result && result.error() == WorkerError::kNotSent)
            return self->OnNotSent();
          self->OnAnswer(std::move(result), stale_from, acknowledged);
        });
  }

  /// A call that did not leave this process says nothing of the worker. Its
  /// deadline stays noted: that only puts off the time at which the lease
  /// counts as lapsed.
  void OnNotSent() {
    if (is_lost_ || timers_.Now() > lease_expires_at_)
      return OnFailure(WorkerError::kNotSent);
    CallAfter(options_.retry_delay);
  }

  void OnAnswer(Result<WorkerReport> result, Instant stale_from,
                std::uint64_t acknowledged) {
    // This process was held up; the outcome says little about the present, and
    // the worker may have answered in time. If it goes on like that, late
    // answers are better than none.
    const bool is_stale = timers_.Now() > stale_from;
    if (is_stale && !is_unresponsive_ && !is_outcome_stale_ &&
        timers_.Now() <= lease_expires_at_ &&
        (result || result.error() == WorkerError::kNoResponse)) {
      is_outcome_stale_ = true;
      return SendRenewal();
    }
    if (!result) return OnFailure(result.error());
    if (is_stale && !is_outcome_stale_ && timers_.Now() > lease_expires_at_)
      return OnFailure(WorkerError::kNoResponse);
    refusals_ = 0;
    const bool is_new_incarnation =
        !clock_ms_ || incarnation_start_ms_ != result->born_ms;
    if (is_new_incarnation) {
      latest_deadline_ms_ = 0;
      acknowledged_up_to_ = 0;
      last_known_alive_at_ = request_sent_at_;
    } else {
      acknowledged_up_to_ = std::max(acknowledged_up_to_, acknowledged);
      // The worker's own clock tells how long after its last answer it gave
      // this one: a call that waits may have been sent long before.
      const auto passed =
          std::chrono::milliseconds(result->clock_ms - *clock_ms_);
      last_known_alive_at_ = std::max(
          request_sent_at_,
          last_known_alive_at_ + std::chrono::duration_cast<Duration>(
                                     passed / (1 + options_.max_clock_drift)));
    }
    is_unresponsive_ = false;
    is_outcome_stale_ = false;
    is_lost_ = false;
    no_orders_since_answered_request_ = no_orders_since_request_;
    incarnation_start_ms_ = result->born_ms;
    clock_ms_ = result->clock_ms;
    clock_at_ = timers_.Now();
    UpdateLeaseExpiry();
    hooks_.on_report(*result);
    if (is_halted_) return;
    const bool is_probe_inconclusive =
        is_probing_ && HasUnacknowledgedEnds() && !MayAcknowledge();
    const bool may_acknowledge_next =
        IsAcknowledgementOverdue() && HasNoOrderInFlight();
    if (is_probe_inconclusive && !may_acknowledge_next) {
      // Asking again at once brings the same long list; after a pause as long
      // as the answer took, a slow owner handles half as many of them.
      is_probe_delayed_ = true;
      return CallAfter(
          std::min(timers_.Now() - request_sent_at_, options_.long_poll_wait));
    }
    if (is_new_incarnation || !hooks_.has_unstored_ends()) return SendRenewal();
    is_waiting_for_store_ = true;
    CallAfter(options_.unstored_ends_delay);
  }

  void OnFailure(std::error_code ec) {
    is_outcome_stale_ = false;
    no_orders_since_answered_request_ = false;
    if (ec == WorkerError::kFenced) return hooks_.on_fenced();
    if (!std::exchange(is_unresponsive_, true)) hooks_.on_unresponsive(ec);
    if (is_halted_) return;
    if (ec == WorkerError::kOtherIncarnation)
      return MarkLost("another life answered");
    refusals_ = ec == WorkerError::kConnectionRefused ? refusals_ + 1 : 0;
    if (refusals_ >= options_.refusals_until_lost) return MarkLost("refused");
    if (!is_lost_ && timers_.Now() > lease_expires_at_)
      return MarkLost("lease lapsed");
    CallAfter(is_lost_ ? options_.lost_retry_delay : options_.retry_delay);
  }

  void MarkLost(const char* reason) {
    const bool was_lost = std::exchange(is_lost_, true);
    clock_ms_.reset();
    latest_deadline_ms_ = 0;
    ack_blocked_since_.reset();
    if (!was_lost) hooks_.on_lost(reason);
    if (!is_halted_) CallAfter(options_.lost_retry_delay);
  }

  void CallAfter(Duration pause) {
    timer_ = timers_.ScheduleAfter(pause, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self != nullptr && !self->is_halted_) self->SendRenewal();
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
  Instant request_sent_at_{};
  /// Latest time at which the life that last answered had certainly not ended.
  Instant last_known_alive_at_{};
  /// Ends up to this number are known to be acknowledged in this life.
  std::uint64_t acknowledged_up_to_ = 0;
  std::int64_t incarnation_start_ms_ = 0;
  std::int64_t latest_deadline_ms_ = 0;
  Instant lease_expires_at_{};
  std::uint32_t refusals_ = 0;
  std::size_t pending_starts_ = 0;
  /// Until then an order without an answer may be carried out.
  Instant unanswered_orders_until_{};
  /// Since when ends could be acknowledged, but for doubt about the life.
  std::optional<Instant> ack_blocked_since_;
  /// The latest call asks whether the life goes on.
  bool is_probing_ = false;
  bool is_probe_delayed_ = false;
  /// No order was under way at the latest call, and none was sent since.
  bool no_orders_since_request_ = false;
  /// The same holds for the latest call that was answered.
  bool no_orders_since_answered_request_ = false;
  /// The latest outcome was late by this process's own delay.
  bool is_outcome_stale_ = false;
  TimerId timer_ = 0;
  bool is_unresponsive_ = false;
  bool is_lost_ = false;
  bool is_waiting_for_store_ = false;
  bool is_halted_ = false;
};

WorkerLink::WorkerLink(const WorkerCalls& calls, TimerService& timers,
                       WorkerAddress address, FencingToken token,
                       WorkerLinkHooks hooks, const WorkerLinkOptions& options)
    : impl_(std::make_shared<Impl>(calls, timers, std::move(address), token,
                                   std::move(hooks), options)) {}

WorkerLink::~WorkerLink() { impl_->Halt(); }

void WorkerLink::Start() { impl_->Start(); }
void WorkerLink::OnEndsStored() { impl_->OnEndsStored(); }
const WorkerAddress& WorkerLink::address() const { return impl_->address(); }
std::optional<std::int64_t> WorkerLink::order_deadline_ms() const {
  return impl_->order_deadline_ms();
}
std::function<void(bool)> WorkerLink::TrackStart(std::int64_t deadline_ms) {
  return impl_->TrackStart(deadline_ms);
}
bool WorkerLink::may_start() const { return impl_->may_start(); }
bool WorkerLink::is_lost() const { return impl_->is_lost(); }

}  // namespace pomelomill
