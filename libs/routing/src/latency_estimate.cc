#include "pomelomill/routing/latency_estimate.h"

#include <algorithm>
#include <cmath>

namespace pomelomill {
namespace {

// Weight of a new sample in the moving mean.
constexpr double kMeanWeight = 0.05;
// Step of the quantile estimate as a share of the mean.
constexpr double kQuantileStep = 0.01;

Duration FromSeconds(double s) {
  return Duration(static_cast<std::int64_t>(s * 1e9));
}

}  // namespace

void LatencyEstimate::Record(Duration latency, Instant now) {
  updated_at_ = now;
  const double s = ToSeconds(latency);
  mean_ += kMeanWeight * (s - mean_);
  const double step = kQuantileStep * mean_;
  p95_ += s > p95_ ? 19 * step : -step;
  p95_ = std::max(p95_, mean_);
}

void LatencyEstimate::DecayToPrior(Instant now) {
  if (mean_ <= prior_ || now - updated_at_ < kHalfLife) return;
  const double halvings =
      std::floor(static_cast<double>((now - updated_at_) / kHalfLife));
  mean_ = prior_ + (mean_ - prior_) * std::exp2(-halvings);
  p95_ = std::max(3 * prior_, p95_ * std::exp2(-halvings));
  updated_at_ = now;
}

Duration LatencyEstimate::mean() const { return FromSeconds(mean_); }
Duration LatencyEstimate::p95() const { return FromSeconds(p95_); }

}  // namespace pomelomill
