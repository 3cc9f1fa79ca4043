#pragma once

#include "pomelomill/base.h"

namespace pomelomill {

/// Moving mean and 95% quantile of the latency of one attempt of a queue. The
/// prior is the declared service time.
class LatencyEstimate {
 public:
  explicit LatencyEstimate(Duration prior)
      : prior_(ToSeconds(prior)), mean_(prior_), p95_(3 * prior_) {}

  void Record(Duration latency, Instant now);

  /// Halves the excess of the mean over the prior for each `kHalfLife` without
  /// a sample. A mean above the deadline makes admission shed every request of
  /// the queue, so no new sample would ever correct the mean.
  void DecayToPrior(Instant now);

  static constexpr Duration kHalfLife = std::chrono::seconds(2);

  Duration mean() const;
  /// Returns an estimate of the 95% quantile, at least the mean. The estimate
  /// rises by 19 steps when a sample exceeds it and falls by one step otherwise
  /// (stochastic approximation).
  Duration p95() const;

 private:
  /// In seconds.
  double prior_;
  double mean_;
  double p95_;
  /// Time of the latest sample or decay.
  Instant updated_at_{};
};

}  // namespace pomelomill
