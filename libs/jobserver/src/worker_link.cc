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
    timers_.Cancel(expiry_timer_);
  }

  void OnEndsStored() {
    if (!is_waiting_for_store_) return;
    is_waiting_for_store_ = false;
    timers_.Cancel(timer_);
    SendRenewal();
  }

  void LimitInheritedLease(Duration longest) {
    if (has_responded_) return;
    lease_expires_at_ = std::min(lease_expires_at_, timers_.Now() + longest);
    if (is_unresponsive_) AwaitLeaseExpiry();
  }

  void OnListed(std::int64_t started_ms) {
    if (started_ms == 0) return;
    const std::int64_t former = std::exchange(listed_start_ms_, started_ms);
    // The first renewal is on its way when the list is first read.
    const bool is_expected = former == 0 && !has_responded_;
    if (is_expected || former == started_ms ||
        started_ms == incarnation_start_ms_)
      return;
    if (hooks_.on_relisted) hooks_.on_relisted(started_ms);
    CallListedIncarnation();
  }

  void OnNewerToken() {
    if (!is_waiting_for_token_ || hooks_.newest_token() <= outdated_token_)
      return;
    timers_.Cancel(timer_);
    SendRenewal();
  }

  void InheritOrders(const Impl& former) {
    order_token_ = std::max(order_token_, former.order_token_);
  }

  const WorkerAddress& address() const { return address_; }
  bool is_lost() const { return is_lost_; }
  FencingToken token() const { return token_; }
  bool needs_token() const { return needs_token_; }
  bool has_open_orders() const { return !HasNoOrderInFlight(); }
  bool has_open_starts() const {
    return pending_starts_ != 0 || timers_.Now() < unanswered_starts_until_;
  }

  std::optional<std::int64_t> order_deadline_ms() const {
    if (!clock_ms_) return std::nullopt;
    const auto passed = ToMillis(timers_.Now() - clock_at_);
    return *clock_ms_ + passed + ToMillis(options_.task_lease);
  }

  std::function<void(bool)> TrackStart(std::int64_t deadline_ms) {
    RecordDeadline(deadline_ms);
    order_token_ = token_;
    ++pending_starts_;
    no_orders_since_request_ = false;
    no_orders_since_answered_request_ = false;
    return [weak = weak_from_this()](bool is_outcome_known) {
      if (const auto self = weak.lock()) self->OnStartOutcome(is_outcome_known);
    };
  }

  bool may_start() const {
    return !is_lost_ && !needs_token_ && !is_outcome_stale_ &&
           !IsAcknowledgementOverdue();
  }

  bool may_repeat_start(FencingToken token) const {
    return token == token_ && !is_unresponsive_;
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
    if (!is_outcome_known) {
      unanswered_starts_until_ =
          timers_.Now() + options_.unanswered_order_lifetime;
      unanswered_orders_until_ = unanswered_starts_until_;
    }
    // The response to the next renewal permits the overdue acknowledgement that
    // keeps starts from being sent.
    if (!is_halted_ && is_probe_delayed_ && IsAcknowledgementOverdue() &&
        HasNoOrderInFlight()) {
      timers_.Cancel(timer_);
      SendRenewal();
    }
  }

  /// Whether none of the orders sent so far can still be carried out.
  bool HasNoOrderInFlight() const {
    return pending_starts_ == 0 && timers_.Now() >= unanswered_orders_until_;
  }

  /// Whether ended tasks have waited too long for their acknowledgement and no
  /// order without a response can still take effect. Pausing starts then makes
  /// the acknowledgement possible.
  bool IsAcknowledgementOverdue() const {
    return ack_blocked_since_ && !is_unresponsive_ &&
           timers_.Now() - *ack_blocked_since_ > options_.max_ack_delay &&
           timers_.Now() >= unanswered_orders_until_;
  }

  bool HasUnacknowledgedEnds() const {
    return hooks_.ack_limit() > acknowledged_up_to_;
  }

  /// Whether an acknowledgement cannot delete ended tasks of a later
  /// incarnation of the worker, whose numbers start at 1 again: either the
  /// known incarnation was alive a moment ago, or no order could start a task
  /// in a later one.
  bool MayAcknowledge() const {
    if (!clock_ms_ || is_unresponsive_ || is_outcome_stale_) return false;
    if (timers_.Now() - last_known_alive_at_ < options_.same_incarnation_window)
      return true;
    // No starts are sent while an acknowledgement is overdue: if a start and a
    // delayed acknowledgement both reached a later incarnation, the end of the
    // started task would be deleted unread.
    return no_orders_since_answered_request_ && IsAcknowledgementOverdue();
  }

  /// Orders with the former token are refused once the worker has seen the new
  /// one.
  void RaiseToken() {
    token_ = std::max(token_, hooks_.newest_token());
    const bool is_outdated = needs_token_ && token_ <= outdated_token_;
    // Requested early, so that the first call to the next incarnation has it.
    const bool may_be_restarted = is_relisted_ || !HasNoOrderInFlight();
    if (is_outdated || (may_be_restarted && token_ <= order_token_))
      hooks_.request_token();
  }

  /// Calls the incarnation that the list names at once, on a new connection:
  /// the present renewal may wait for its time-out on a connection to the
  /// former one. Nothing is concluded from the list itself, only from the
  /// response.
  void CallListedIncarnation() {
    is_relisted_ = true;
    needs_new_connection_ = true;
    is_unresponsive_ = true;
    is_outcome_stale_ = false;
    no_orders_since_answered_request_ = false;
    timers_.Cancel(timer_);
    SendRenewal();
  }

  void SendRenewal() {
    is_waiting_for_store_ = false;
    is_waiting_for_token_ = false;
    is_probe_delayed_ = false;
    // The result of an earlier renewal without a response is ignored from here
    // on.
    const std::uint64_t number = ++renewal_number_;
    if (!hooks_.may_send_orders()) return RenewAfter(options_.retry_delay);
    const bool is_token_outdated = needs_token_ && token_ <= outdated_token_;
    if (is_token_outdated || (is_unresponsive_ && token_ <= order_token_))
      RaiseToken();
    RenewRequest request;
    request.token = token_;
    request.needs_new_connection = std::exchange(needs_new_connection_, false);
    // Each incarnation numbers its ended tasks from 1, so an acknowledgement
    // for the previous incarnation would delete those of a new one unread.
    const bool has_unacknowledged = HasUnacknowledgedEnds();
    const bool may_acknowledge = MayAcknowledge();
    if (has_unacknowledged && may_acknowledge)
      request.acknowledged_up_to = hooks_.ack_limit();
    if (!has_unacknowledged || may_acknowledge) {
      ack_blocked_since_.reset();
    } else if (!ack_blocked_since_) {
      ack_blocked_since_ = timers_.Now();
    }
    request_sent_at_ = timers_.Now();
    no_orders_since_request_ = HasNoOrderInFlight();
    // A renewal without a response may still have extended the lease. Renewals
    // to an unresponsive worker therefore extend nothing: otherwise its lease
    // would never certainly expire.
    const bool is_reachable = !is_unresponsive_ && !is_outcome_stale_;
    if (is_reachable) request.deadline_ms = order_deadline_ms();
    is_probing_ = has_unacknowledged && !may_acknowledge;
    const bool may_wait = clock_ms_ && is_reachable && !needs_token_ &&
                          !hooks_.has_unstored_ends() && !is_probing_;
    if (may_wait) {
      const bool is_watched =
          hooks_.has_tasks() || timers_.Now() < unanswered_starts_until_;
      request.max_wait =
          is_watched ? options_.long_poll_wait : options_.idle_long_poll_wait;
    }
    if (request.deadline_ms) RecordDeadline(*request.deadline_ms);
    if (request.deadline_ms || request.acknowledged_up_to != 0)
      order_token_ = token_;
    const Instant stale_from =
        timers_.Now() + request.max_wait + options_.max_handling_delay;
    calls_.renew(address_, request,
                 [weak = weak_from_this(), number, stale_from,
                  acknowledged =
                      request.acknowledged_up_to](Result<WorkerReport> result) {
                   const auto self = weak.lock();
                   if (self == nullptr || self->is_halted_ ||
                       self->renewal_number_ != number)
                     return;
                   if (!result && result.error() == WorkerError::kNotSent)
                     return self->OnNotSent();
                   self->OnResult(std::move(result), stale_from, acknowledged);
                 });
  }

  /// A call that did not leave this process says nothing about the worker. Its
  /// deadline stays recorded, which only delays the time at which the lease
  /// counts as expired.
  void OnNotSent() {
    if (is_lost_ || timers_.Now() > lease_expires_at_)
      return OnFailure(WorkerError::kNotSent);
    RenewAfter(options_.retry_delay);
  }

  void OnResult(Result<WorkerReport> result, Instant stale_from,
                std::uint64_t acknowledged) {
    // This process was delayed, so the result is old and a timeout may only
    // mean that a response waited here. The renewal is repeated once; if its
    // result is stale as well, the stale result is used.
    const bool is_stale = timers_.Now() > stale_from;
    if (is_stale && !is_unresponsive_ && !is_outcome_stale_ &&
        timers_.Now() <= lease_expires_at_ &&
        (result || IsOutcomeUnknown(result.error()))) {
      is_outcome_stale_ = true;
      return SendRenewal();
    }
    if (!result) return OnFailure(result.error());
    // A stale response that is handled after the lease has expired proves
    // nothing about the worker's present state: the call counts as failed.
    if (is_stale && !is_outcome_stale_ && timers_.Now() > lease_expires_at_)
      return OnFailure(WorkerError::kNoResponse);
    refusals_ = 0;
    timers_.Cancel(expiry_timer_);
    const bool is_new_incarnation =
        !clock_ms_ || incarnation_start_ms_ != result->started_ms;
    ReportSilenceEnd(*result);
    has_responded_ = true;
    if (is_new_incarnation) {
      latest_deadline_ms_ = 0;
      acknowledged_up_to_ = 0;
      last_known_alive_at_ = request_sent_at_;
    } else {
      acknowledged_up_to_ = std::max(acknowledged_up_to_, acknowledged);
      // The worker's clock gives the time between its last two reports. The
      // time of the request alone would be too early, as the worker may have
      // held a long poll.
      const auto passed =
          std::chrono::milliseconds(result->clock_ms - *clock_ms_);
      last_known_alive_at_ = std::max(
          request_sent_at_,
          last_known_alive_at_ + std::chrono::duration_cast<Duration>(
                                     passed / (1 + options_.max_clock_drift)));
    }
    if (is_new_incarnation && order_token_ != FencingToken()) {
      needs_token_ = true;
      outdated_token_ = order_token_;
    }
    if (needs_token_) {
      // A call to the former incarnation may have extended the lease by a
      // deadline on that one's clock.
      latest_deadline_ms_ =
          std::max(latest_deadline_ms_,
                   result->clock_ms + ToMillis(options_.longest_lease));
      needs_token_ = token_ <= outdated_token_;
    }
    is_unresponsive_ = false;
    is_relisted_ = false;
    is_outcome_stale_ = false;
    is_lost_ = false;
    is_replaced_ = false;
    no_orders_since_answered_request_ = no_orders_since_request_;
    incarnation_start_ms_ = result->started_ms;
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
      // A probe sent at once would return the same long list of ended tasks. A
      // delay as long as the last call took halves the number of such reports
      // that a slow owner has to handle.
      is_probe_delayed_ = true;
      return RenewAfter(
          std::min(timers_.Now() - request_sent_at_, options_.long_poll_wait));
    }
    if (needs_token_) return RenewWithNewerToken();
    if (is_new_incarnation || !hooks_.has_unstored_ends()) return SendRenewal();
    is_waiting_for_store_ = true;
    RenewAfter(options_.unstored_ends_delay);
  }

  void RenewWithNewerToken() {
    if (hooks_.newest_token() > outdated_token_) return SendRenewal();
    hooks_.request_token();
    is_waiting_for_token_ = true;
    RenewAfter(options_.retry_delay);
  }

  void ReportSilenceEnd(const WorkerReport& report) {
    WorkerSilence silence = std::exchange(silence_, {});
    silence.is_new_incarnation =
        has_responded_ && incarnation_start_ms_ != report.started_ms;
    if (silence.failures == 0 && !silence.is_new_incarnation) return;
    if (silence.failures != 0) silence.lasted = timers_.Now() - silent_since_;
    if (hooks_.on_responsive) hooks_.on_responsive(report, silence);
  }

  void CountFailure(std::error_code ec) {
    if (silence_.failures++ == 0) {
      silent_since_ = request_sent_at_;
      silence_.first_wait = timers_.Now() - request_sent_at_;
    }
    silence_.timeouts += ec == WorkerError::kNoResponse;
  }

  void OnFailure(std::error_code ec) {
    CountFailure(ec);
    is_outcome_stale_ = false;
    no_orders_since_answered_request_ = false;
    if (ec == WorkerError::kFenced) return hooks_.on_fenced();
    const bool is_first = !std::exchange(is_unresponsive_, true);
    if (is_first) hooks_.on_unresponsive(ec);
    if (is_halted_) return;
    // A new connection may be all that is needed.
    if (is_first && ec == WorkerError::kConnectionEnded &&
        timers_.Now() >= may_reconnect_at_) {
      may_reconnect_at_ = timers_.Now() + options_.retry_delay;
      return RenewAfter(Duration(0));
    }
    if (ec == WorkerError::kOtherIncarnation)
      return MarkLost(WorkerLoss::kOtherIncarnation);
    const bool is_refused = ec == WorkerError::kConnectionRefused ||
                            ec == WorkerError::kProcessEnded;
    refusals_ = is_refused ? refusals_ + 1 : 0;
    // Refusals prove nothing to an owner that has never reached the worker,
    // even if the store does not list it: a partition may refuse connections
    // and cut the worker off from the store.
    if (ec == WorkerError::kProcessEnded && has_responded_ &&
        refusals_ >= options_.refusals_until_lost)
      return MarkLost(WorkerLoss::kConnectionsRefused);
    if (!is_lost_ && timers_.Now() > lease_expires_at_)
      return MarkLost(WorkerLoss::kLeaseExpired);
    AwaitLeaseExpiry();
    RenewAfter(RetryDelay());
  }

  /// The lease may expire while a call waits for its time-out. Until the worker
  /// responds, no call extends the lease.
  void AwaitLeaseExpiry() {
    timers_.Cancel(expiry_timer_);
    if (is_lost_) return;
    // Counts as expired only after this time.
    expiry_timer_ =
        timers_.ScheduleAt(lease_expires_at_ + std::chrono::milliseconds(1),
                           [weak = weak_from_this()] {
                             const auto self = weak.lock();
                             if (self != nullptr && !self->is_halted_)
                               self->OnLeaseTimer();
                           });
  }

  void OnLeaseTimer() {
    if (is_lost_ || timers_.Now() <= lease_expires_at_) return;
    timers_.Cancel(timer_);
    MarkLost(WorkerLoss::kLeaseExpired);
  }

  Duration RetryDelay() const {
    const bool may_wait = is_lost_ && (is_replaced_ || HasNoOrderInFlight());
    return may_wait ? options_.lost_retry_delay : options_.retry_delay;
  }

  void MarkLost(WorkerLoss loss) {
    const bool is_replaced = loss == WorkerLoss::kOtherIncarnation;
    const bool is_known = is_lost_ && (is_replaced_ || !is_replaced);
    is_lost_ = true;
    is_replaced_ |= is_replaced;
    clock_ms_.reset();
    latest_deadline_ms_ = 0;
    ack_blocked_since_.reset();
    if (!is_known) hooks_.on_lost(loss);
    if (!is_halted_) RenewAfter(RetryDelay());
  }

  void RenewAfter(Duration delay) {
    timer_ = timers_.ScheduleAfter(delay, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self != nullptr && !self->is_halted_) self->SendRenewal();
    });
  }

  const WorkerCalls& calls_;
  TimerService& timers_;
  const WorkerAddress address_;
  FencingToken token_;
  /// Highest token of a call that may change the worker when it is carried out
  /// late: a start, or a renewal that extends the lease or acknowledges ends.
  FencingToken order_token_;
  /// Calls with this token or a lower one may be meant for a former incarnation
  /// of the worker.
  FencingToken outdated_token_;
  /// The present incarnation has not responded to a higher token than
  /// outdated_token_.
  bool needs_token_ = false;
  WorkerLinkHooks hooks_;
  const WorkerLinkOptions options_;
  /// The worker's clock in its latest report, in milliseconds; empty before the
  /// first report and while the worker is lost.
  std::optional<std::int64_t> clock_ms_;
  /// Local time at which that report was handled.
  Instant clock_at_{};
  Instant request_sent_at_{};
  /// Latest time at which the incarnation that last responded was certainly
  /// alive.
  Instant last_known_alive_at_{};
  /// Ended tasks of this incarnation up to this number are certainly
  /// acknowledged.
  std::uint64_t acknowledged_up_to_ = 0;
  std::int64_t incarnation_start_ms_ = 0;
  /// Start of the incarnation that the platform's list names; 0 when unknown.
  std::int64_t listed_start_ms_ = 0;
  /// Latest lease deadline sent to this incarnation, on the worker's clock.
  std::int64_t latest_deadline_ms_ = 0;
  /// The worker's lease has certainly expired after this time.
  Instant lease_expires_at_{};
  /// From then on a renewal may be sent at once when a connection has ended.
  Instant may_reconnect_at_{};
  /// Consecutive refused connections.
  std::uint32_t refusals_ = 0;
  /// Renewals that failed since the last response.
  WorkerSilence silence_;
  /// When the first of them was sent.
  Instant silent_since_{};
  /// The worker has responded to a renewal of this link.
  bool has_responded_ = false;
  /// Start orders whose outcome has not arrived.
  std::size_t pending_starts_ = 0;
  /// An order without a response may be carried out until then.
  Instant unanswered_orders_until_{};
  /// As unanswered_orders_until_, for starts of this link alone.
  Instant unanswered_starts_until_{};
  /// Since when ended tasks have not been acknowledged because the worker may
  /// be in another incarnation; empty when nothing is held up.
  std::optional<Instant> ack_blocked_since_;
  /// The latest renewal only checks whether the worker is still in the same
  /// incarnation.
  bool is_probing_ = false;
  /// The next such check is delayed.
  bool is_probe_delayed_ = false;
  /// No order was in flight when the latest renewal was sent, and none was sent
  /// since.
  bool no_orders_since_request_ = false;
  /// As no_orders_since_request_, for the latest renewal that got a response.
  bool no_orders_since_answered_request_ = false;
  /// The latest result was stale, see WorkerLinkOptions::max_handling_delay.
  bool is_outcome_stale_ = false;
  TimerId timer_ = 0;
  /// Runs out with the lease of an unresponsive worker.
  TimerId expiry_timer_ = 0;
  /// The latest renewal failed.
  bool is_unresponsive_ = false;
  bool is_lost_ = false;
  /// Another worker has responded at the address since this one was lost.
  bool is_replaced_ = false;
  /// The next renewal is delayed until ended tasks are stored.
  bool is_waiting_for_store_ = false;
  /// The next renewal is delayed until there is a higher token.
  bool is_waiting_for_token_ = false;
  /// The list names another incarnation than the one that last responded.
  bool is_relisted_ = false;
  /// The next renewal is sent on a new connection. Those that an earlier link
  /// of this process opened may have gone silent.
  bool needs_new_connection_ = true;
  /// Counts the renewals; only the latest one's result is handled.
  std::uint64_t renewal_number_ = 0;
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
void WorkerLink::LimitInheritedLease(Duration longest) {
  impl_->LimitInheritedLease(longest);
}
void WorkerLink::OnListed(std::int64_t started_ms) {
  impl_->OnListed(started_ms);
}
void WorkerLink::OnNewerToken() { impl_->OnNewerToken(); }
void WorkerLink::InheritOrders(const WorkerLink& former) {
  impl_->InheritOrders(*former.impl_);
}
const WorkerAddress& WorkerLink::address() const { return impl_->address(); }
std::optional<std::int64_t> WorkerLink::order_deadline_ms() const {
  return impl_->order_deadline_ms();
}
std::function<void(bool)> WorkerLink::TrackStart(std::int64_t deadline_ms) {
  return impl_->TrackStart(deadline_ms);
}
FencingToken WorkerLink::token() const { return impl_->token(); }
bool WorkerLink::has_open_orders() const { return impl_->has_open_orders(); }
bool WorkerLink::has_open_starts() const { return impl_->has_open_starts(); }
bool WorkerLink::needs_token() const { return impl_->needs_token(); }
bool WorkerLink::may_start() const { return impl_->may_start(); }
bool WorkerLink::may_repeat_start(FencingToken token) const {
  return impl_->may_repeat_start(token);
}
bool WorkerLink::is_lost() const { return impl_->is_lost(); }

}  // namespace pomelomill
