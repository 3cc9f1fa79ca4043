#pragma once

#include <algorithm>

namespace pomelomill {

/// Limits retries (or hedges) to a share of first attempts. The budget starts
/// with `reserve` tokens and never holds more, which lets a queue with few
/// requests retry at all.
class RetryBudget {
 public:
  RetryBudget(double share, double reserve)
      : share_(share), reserve_(reserve), tokens_(reserve) {}

  void OnFreshRequest() { tokens_ = std::min(reserve_, tokens_ + share_); }

  /// Takes the token for one retry; returns false when none is available.
  bool Take() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double share_;
  double reserve_;
  double tokens_;
};

}  // namespace pomelomill
