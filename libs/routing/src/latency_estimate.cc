#include "pomelomill/routing/latency_estimate.h"

#include <algorithm>
#include <cmath>

namespace pomelomill {
namespace {

constexpr double kMeanWeight = 0.05;
// One step of the quantile estimate, as a share of the mean.
constexpr double kQuantileStep = 0.01;

Duration FromSeconds(double s) {
  return Duration(static_cast<std::int64_t>(s * 1e9));
}

}  // namespace

void LatencyEstimate::Record(Duration latency, Instant now) {
  changed_at_ = now;
  const double s = ToSeconds(latency);
  mean_ += kMeanWeight * (s - mean_);
  const double step = kQuantileStep * mean_;
  high_ += s > high_ ? 19 * step : -step;
  high_ = std::max(high_, mean_);
}

void LatencyEstimate::Forget(Instant now) {
  if (mean_ <= prior_ || now - changed_at_ < kForgetTime) return;
  const double halvings =
      std::floor(static_cast<double>((now - changed_at_) / kForgetTime));
  mean_ = prior_ + (mean_ - prior_) * std::exp2(-halvings);
  high_ = std::max(3 * prior_, high_ * std::exp2(-halvings));
  changed_at_ = now;
}

Duration LatencyEstimate::mean() const { return FromSeconds(mean_); }
Duration LatencyEstimate::high() const { return FromSeconds(high_); }

}  // namespace pomelomill
