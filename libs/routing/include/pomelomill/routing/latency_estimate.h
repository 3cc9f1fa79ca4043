#pragma once

#include "pomelomill/base.h"

namespace pomelomill {

/// Moving mean and high quantile of the time that one attempt of a queue
/// takes, starting from the declared service time.
class LatencyEstimate {
 public:
  explicit LatencyEstimate(Duration prior)
      : mean_(ToSeconds(prior)), high_(3 * ToSeconds(prior)) {}

  void Record(Duration latency);

  Duration mean() const;
  /// Estimate of the 95% quantile: moves up by 19 steps when exceeded and
  /// down by one step otherwise (stochastic approximation).
  Duration high() const;

 private:
  double mean_;
  double high_;
};

}  // namespace pomelomill
