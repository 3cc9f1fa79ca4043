#pragma once

#include <cstddef>
#include <vector>

namespace pomelomill {

/// Quantile of the latest samples with a prior. The prior counts as
/// `kPriorSamples` samples, so that single outliers neither raise nor lower
/// the estimate far; the latest `kMaxSamples` samples bound the memory.
class QuantileEstimate {
 public:
  static constexpr std::size_t kMaxSamples = 32;
  static constexpr std::size_t kPriorSamples = 4;

  QuantileEstimate() = default;
  QuantileEstimate(double prior, double quantile)
      : prior_(prior), quantile_(quantile), value_(prior) {}

  void Add(double sample);

  /// Replaces the prior, for example by a changed declaration.
  void SetPrior(double prior);

  /// Current estimate in the unit of the samples.
  double value() const { return value_; }
  double prior() const { return prior_; }
  std::size_t samples() const { return samples_.size(); }

 private:
  void Update();

  double prior_ = 0;
  double quantile_ = 0.5;
  double value_ = 0;
  std::size_t next_ = 0;
  std::vector<float> samples_;
};

}  // namespace pomelomill
