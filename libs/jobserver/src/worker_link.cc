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

  void NoteDeadline(std::int64_t deadline_ms) {
    sent_deadline_ms_ = std::max(sent_deadline_ms_, deadline_ms);
    UpdateLapse();
  }

 private:
  void UpdateLapse() {
    if (!clock_ms_) return;
    const auto left = std::chrono::milliseconds(sent_deadline_ms_ - *clock_ms_);
    lapses_at_ = clock_at_ + std::chrono::duration_cast<Duration>(
                                 left * (1 + options_.max_drift));
  }

  void Call() {
    is_paused_for_store_ = false;
    if (!hooks_.may_order()) return Again(options_.retry_pause);
    RenewCall call;
    call.token = token_;
    // The ends of a new life have numbers of their own, and an acknowledgement
    // of the old life's ends would delete them unread.
    const bool is_same_life = clock_ms_ && !is_silent_ &&
                              timers_.Now() - alive_at_ < options_.same_life;
    const std::uint64_t ack_limit = hooks_.ack_limit();
    const bool has_unacknowledged = ack_limit > acknowledged_;
    if (is_same_life && has_unacknowledged) call.acknowledged = ack_limit;
    asked_at_ = timers_.Now();
    // A call without an answer may have extended the lease. A silent worker is
    // only asked, or its lease would never certainly lapse.
    if (!is_silent_) call.deadline_ms = order_deadline_ms();
    const bool may_wait = clock_ms_ && !is_silent_ &&
                          !hooks_.has_unstored_ends() &&
                          (is_same_life || !has_unacknowledged);
    if (may_wait) call.wait = options_.wait;
    if (call.deadline_ms) NoteDeadline(*call.deadline_ms);
    const Instant stale_at = timers_.Now() + call.wait + options_.stale_after;
    calls_.renew(
        address_, call,
        [weak = weak_from_this(), stale_at,
         acknowledged = call.acknowledged](Result<WorkerReport> result) {
          const auto self = weak.lock();
          if (self != nullptr && !self->is_halted_)
            self->OnAnswer(std::move(result), stale_at, acknowledged);
        });
  }

  void OnAnswer(Result<WorkerReport> result, Instant stale_at,
                std::uint64_t acknowledged) {
    if (!result) return OnFailure(result.error());
    // This process was paused; the answer says little about the present.
    if (timers_.Now() > stale_at) return OnFailure(WorkerError::kNoAnswer);
    refusals_ = 0;
    const bool is_first = !clock_ms_ || born_ms_ != result->born_ms;
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
    is_gone_ = false;
    born_ms_ = result->born_ms;
    clock_ms_ = result->clock_ms;
    clock_at_ = timers_.Now();
    UpdateLapse();
    hooks_.on_report(*result);
    if (is_halted_) return;
    if (is_first || !hooks_.has_unstored_ends()) return Call();
    is_paused_for_store_ = true;
    Again(options_.unstored_pause);
  }

  void OnFailure(std::error_code ec) {
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
void WorkerLink::NoteDeadline(std::int64_t deadline_ms) {
  impl_->NoteDeadline(deadline_ms);
}
bool WorkerLink::is_gone() const { return impl_->is_gone(); }

}  // namespace pomelomill
