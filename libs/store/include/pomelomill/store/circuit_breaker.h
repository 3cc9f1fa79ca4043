#pragma once

#include <cstdint>
#include <memory>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/store/store_client.h"

namespace pomelomill {

struct CircuitBreakerOptions {
  /// Failures in a row that open the breaker.
  std::uint32_t failures_to_open = 5;
  /// Time without calls after opening; then one probe at a time is let
  /// through, and its success closes the breaker.
  Duration open_time = std::chrono::seconds(2);
  /// A response that takes longer counts as a failure, since a slow store does
  /// more harm than one that is down. Waits of watches do not count.
  Duration slow = std::chrono::milliseconds(800);
};

/// State of a circuit breaker. Pure: time is passed in.
class CircuitBreaker {
 public:
  explicit CircuitBreaker(const CircuitBreakerOptions& options = {})
      : options_(options) {}

  /// Whether a call may start now. A true result must be followed by one call
  /// of OnSuccess, OnFailure or OnNeutral.
  bool Allow(Instant now);
  void OnSuccess();
  void OnFailure(Instant now);
  /// The call says nothing about the store's health.
  void OnNeutral() { is_probing_ = false; }

  bool is_open() const { return is_open_; }
  const CircuitBreakerOptions& options() const { return options_; }

 private:
  CircuitBreakerOptions options_;
  std::uint32_t failures_ = 0;
  bool is_open_ = false;
  bool is_probing_ = false;
  Instant opened_at_{};
};

/// A client whose calls end with kUnavailable, later and without reaching
/// `inner`, while the breaker is open.
StoreClient WithBreaker(StoreClient inner, TimerService& timers,
                        std::shared_ptr<CircuitBreaker> breaker);

/// A client for one purpose: a call that starts while another is outstanding
/// ends with kUnavailable, later and without reaching `inner`.
StoreClient WithOneOutstanding(StoreClient inner, TimerService& timers);

}  // namespace pomelomill
