#pragma once

#include "pomelomill/base.h"

namespace pomelomill {

/// Moving mean and high quantile of the time that one attempt of a queue
/// takes, starting from the declared service time.
class LatencyEstimate {
 public:
  explicit LatencyEstimate(Duration prior)
      : prior_(ToSeconds(prior)), mean_(prior_), p95_(3 * prior_) {}

  void Record(Duration latency, Instant now);

  /// Halves the excess of the mean over the prior for each `kForgetTime`
  /// without a sample. A mean above the deadline sheds every request of the
  /// queue, so no attempt would ever correct it.
  void DecayToPrior(Instant now);

  static constexpr Duration kHalfLife = std::chrono::seconds(2);

  Duration mean() const;
  /// Estimate of the 95% quantile: moves up by 19 steps when exceeded and
  /// down by one step otherwise (stochastic approximation).
  Duration p95() const;

 private:
  double prior_;
  double mean_;
  double p95_;
  /// Of the latest sample or halving.
  Instant updated_at_{};
};

}  // namespace pomelomill
