#include "pomelomill/jobs/quantile_estimate.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace pomelomill {

void QuantileEstimate::Add(double sample) {
  if (!std::isfinite(sample) || sample < 0) return;
  if (samples_.size() < kMaxSamples) {
    samples_.push_back(static_cast<float>(sample));
  } else {
    samples_[next_] = static_cast<float>(sample);
    next_ = (next_ + 1) % kMaxSamples;
  }
  Update();
}

void QuantileEstimate::SetPrior(double prior) {
  prior_ = prior;
  Update();
}

void QuantileEstimate::Update() {
  std::array<double, kMaxSamples + kPriorSamples> sorted{};
  auto* end = std::copy(samples_.begin(), samples_.end(), sorted.begin());
  // The prior's weight fades as samples fill the window.
  const std::size_t weight =
      kPriorSamples - kPriorSamples * samples_.size() / kMaxSamples;
  end = std::fill_n(end, weight, prior_);
  const auto n = static_cast<std::size_t>(end - sorted.begin());
  const auto rank = std::min(
      n - 1, static_cast<std::size_t>(quantile_ * static_cast<double>(n)));
  std::nth_element(sorted.begin(), sorted.begin() + rank, end);
  value_ = sorted[rank];
}

}  // namespace pomelomill
