#include "pomelomill/store/lease_keeper.h"

#include <algorithm>
#include <utility>

#include "pomelomill/store/store_error.h"

namespace pomelomill {
namespace {

/// Delays below this part of the lease are those of a usual call.
constexpr int kShareOfDelay = 20;

}  // namespace

class LeaseKeeper::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const StoreClient& client, TimerService& timers,
       const LeaseKeeperOptions& options, LeaseKeeperHooks hooks)
      : client_(client),
        timers_(timers),
        options_(options),
        hooks_(std::move(hooks)) {}

  void Start() {
    is_running_ = true;
    Call();
  }

  void Stop(std::function<void()> done) {
    Halt();
    held_until_ = Instant::min();
    if (lease_.empty()) {
      if (done) timers_.ScheduleAfter(Duration(0), std::move(done));
      return;
    }
    client_.revoke_lease(std::exchange(lease_, {}), options_.call_timeout,
                         [done = std::move(done)](const Result<LeaseId>&) {
                           if (done) done();
                         });
  }

  void Halt() {
    is_running_ = false;
    ++round_;
    timers_.Cancel(call_timer_);
    timers_.Cancel(expiry_timer_);
  }

  const LeaseId& lease() const { return lease_; }
  bool is_held() const { return timers_.Now() < held_until_; }
  Instant held_until() const { return held_until_; }
  Instant lapsed_after() const { return lapsed_after_; }

 private:
  void Call() {
    const Instant sent_at = timers_.Now();
    if (due_at_ == Instant::min()) due_at_ = sent_at;
    auto then = [weak = weak_from_this(), sent_at,
                 round = round_](Result<LeaseId> result) {
      const auto self = weak.lock();
      if (self != nullptr && self->round_ == round)
        self->OnResult(sent_at, std::move(result));
    };
    if (lease_.empty()) {
      client_.grant_lease(options_.ttl, options_.call_timeout, std::move(then));
    } else {
      client_.renew_lease(lease_, options_.call_timeout, std::move(then));
    }
  }

  void OnResult(Instant sent_at, Result<LeaseId> result) {
    if (!result) return OnFailure(sent_at, result.error());
    const Instant now = timers_.Now();
    const bool was_held = is_held() && !is_uncertain_;
    lease_ = *std::move(result);
    held_until_ = sent_at + options_.ttl - options_.drift_margin;
    lapsed_after_ = now + options_.ttl + options_.drift_margin;
    timers_.Cancel(expiry_timer_);
    if (!is_held()) {
      // The call took longer than the lease lasts.
      Expire();
    } else {
      is_uncertain_ = false;
      expiry_timer_ = At(held_until_, &Impl::Expire);
      if (!was_held && hooks_.on_held) hooks_.on_held(LeaseId(lease_));
    }
    if (!is_running_) return;
    CallAt(sent_at + options_.ttl / 3 - DelayUntil(now));
  }

  /// Time that the latest call lost on its way here: by a process that sent it
  /// late, or by an answer that was slow or taken late. A process that is late
  /// will be late again, so the next call is made earlier by as much.
  Duration DelayUntil(Instant now) const {
    const Duration delay = now - due_at_;
    return delay < options_.ttl / kShareOfDelay ? Duration(0) : delay;
  }

  void CallAt(Instant when) {
    due_at_ = std::max(when, timers_.Now());
    call_timer_ = At(due_at_, &Impl::Call);
  }

  void OnFailure(Instant sent_at, std::error_code ec) {
    if (ec == StoreError::kLeaseLapsed && !lease_.empty()) {
      lease_ = LeaseId();
      held_until_ = Instant::min();
      timers_.Cancel(expiry_timer_);
      is_uncertain_ = false;
      if (hooks_.on_lapsed) hooks_.on_lapsed();
      if (!is_running_) return;
      CallAt(timers_.Now());
      return;
    }
    // The outcome of a renewal is unknown, but what it would have added is not
    // counted. A grant of unknown outcome leaves a lease that lapses unused.
    // The pause bounds the rate of the calls, so it counts from the call: a
    // failure that was noticed late is not waited for again.
    CallAt(sent_at + options_.retry_pause);
  }

  void Expire() {
    if (is_uncertain_) return;
    is_uncertain_ = true;
    if (hooks_.on_uncertain) hooks_.on_uncertain();
  }

  TimerId At(Instant when, void (Impl::*action)()) {
    return timers_.ScheduleAt(
        when, [weak = weak_from_this(), action, round = round_] {
          const auto self = weak.lock();
          if (self != nullptr && self->round_ == round) (self.get()->*action)();
        });
  }

  const StoreClient& client_;
  TimerService& timers_;
  const LeaseKeeperOptions options_;
  const LeaseKeeperHooks hooks_;
  LeaseId lease_;
  Instant held_until_ = Instant::min();
  Instant lapsed_after_ = Instant::min();
  /// When the latest call should have been sent.
  Instant due_at_ = Instant::min();
  bool is_running_ = false;
  bool is_uncertain_ = false;
  std::uint64_t round_ = 0;
  TimerId call_timer_ = 0;
  TimerId expiry_timer_ = 0;
};

LeaseKeeper::LeaseKeeper(const StoreClient& client, TimerService& timers,
                         const LeaseKeeperOptions& options,
                         LeaseKeeperHooks hooks)
    : impl_(std::make_shared<Impl>(client, timers, options, std::move(hooks))) {
}

LeaseKeeper::~LeaseKeeper() { impl_->Halt(); }

void LeaseKeeper::Start() { impl_->Start(); }

void LeaseKeeper::Stop(std::function<void()> done) {
  impl_->Stop(std::move(done));
}

const LeaseId& LeaseKeeper::lease() const { return impl_->lease(); }
bool LeaseKeeper::is_held() const { return impl_->is_held(); }
Instant LeaseKeeper::held_until() const { return impl_->held_until(); }
Instant LeaseKeeper::lapsed_after() const { return impl_->lapsed_after(); }

}  // namespace pomelomill
