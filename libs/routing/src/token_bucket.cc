#include "pomelomill/routing/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace pomelomill {

double TokenBucket::tokens(Instant now) const {
  if (now <= updated_at_) return tokens_;
  return std::min(burst_, tokens_ + rate_ * ToSeconds(now - updated_at_));
}

bool TokenBucket::Take(Instant now) {
  tokens_ = tokens(now);
  updated_at_ = std::max(updated_at_, now);
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

void TokenBucket::Configure(double rate, double burst, Instant now) {
  tokens_ = std::min(tokens(now), burst);
  updated_at_ = std::max(updated_at_, now);
  rate_ = rate;
  burst_ = burst;
}

Duration TokenBucket::TimeUntilToken(Instant now) const {
  const double missing = 1 - tokens(now);
  if (missing <= 0) return Duration(0);
  if (rate_ <= 0) return std::chrono::hours(1);
  return Duration(static_cast<std::int64_t>(std::ceil(missing / rate_ * 1e9)));
}

}  // namespace pomelomill
