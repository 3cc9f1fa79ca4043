#include "pomelomill/store/circuit_breaker.h"

#include <utility>

#include "pomelomill/store/store_error.h"
#include "wrap_client.h"

namespace pomelomill {
namespace {

template <typename T>
void RefuseLater(TimerService& timers, StoreCallback<T> done) {
  timers.ScheduleAfter(Duration(0), [done = std::move(done)] {
    done(Unexpected(StoreError::kUnavailable));
  });
}

struct BreakerPolicy {
  TimerService& timers;
  std::shared_ptr<CircuitBreaker> breaker;

  template <typename T, typename Start>
  void Run(StoreCallKind, Duration wait, StoreCallback<T> done,
           const Start& start) const {
    const Instant started_at = timers.Now();
    if (!breaker->Allow(started_at))
      return RefuseLater<T>(timers, std::move(done));
    start(StoreCallback<T>([=, *this, done = std::move(done)](Result<T> r) {
      Record(r.has_value() ? std::error_code() : r.error(),
             timers.Now() - started_at - wait);
      done(std::move(r));
    }));
  }

  void Record(std::error_code ec, Duration took) const {
    const Instant now = timers.Now();
    if (ec == StoreError::kRateLimited) {
      // The store is up; its callers pause by themselves.
      breaker->OnNeutral();
    } else if (ec == StoreError::kUnavailable ||
               ec == StoreError::kOutcomeUnknown ||
               ec == StoreError::kBadResponse ||
               took > breaker->options().slow) {
      breaker->OnFailure(now);
    } else {
      breaker->OnSuccess();
    }
  }
};

struct OneOutstandingPolicy {
  TimerService& timers;
  std::shared_ptr<bool> is_busy;

  template <typename T, typename Start>
  void Run(StoreCallKind, Duration, StoreCallback<T> done,
           const Start& start) const {
    if (*is_busy) return RefuseLater<T>(timers, std::move(done));
    *is_busy = true;
    start(
        StoreCallback<T>([busy = is_busy, done = std::move(done)](Result<T> r) {
          *busy = false;
          done(std::move(r));
        }));
  }
};

}  // namespace

bool CircuitBreaker::Allow(Instant now) {
  if (!is_open_) return true;
  if (is_probing_ || now < opened_at_ + options_.open_time) return false;
  is_probing_ = true;
  return true;
}

void CircuitBreaker::OnSuccess() {
  failures_ = 0;
  is_open_ = false;
  is_probing_ = false;
}

void CircuitBreaker::OnFailure(Instant now) {
  ++failures_;
  is_probing_ = false;
  if (failures_ < options_.failures_to_open) return;
  is_open_ = true;
  opened_at_ = now;
}

StoreClient WithBreaker(StoreClient inner, TimerService& timers,
                        std::shared_ptr<CircuitBreaker> breaker) {
  return WrapClient(std::move(inner),
                    BreakerPolicy{timers, std::move(breaker)});
}

StoreClient WithOneOutstanding(StoreClient inner, TimerService& timers) {
  return WrapClient(std::move(inner),
                    OneOutstandingPolicy{timers, std::make_shared<bool>()});
}

}  // namespace pomelomill
