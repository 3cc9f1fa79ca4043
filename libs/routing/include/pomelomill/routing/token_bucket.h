#pragma once

#include "pomelomill/base.h"

namespace pomelomill {

/// Token bucket (RFC 2697 without the excess bucket) that refills with `rate`
/// tokens per second, holds at most `burst` tokens and starts full.
class TokenBucket {
 public:
  TokenBucket(double rate, double burst, Instant now)
      : rate_(rate), burst_(burst), tokens_(burst), updated_at_(now) {}

  /// Takes one token; returns false when none is available.
  bool Take(Instant now);

  /// Changes the rate and the capacity. Tokens beyond the new capacity are
  /// discarded.
  void Configure(double rate, double burst, Instant now);

  /// Returns the time until a token is available, zero when there is one
  /// already, and one hour when the rate is zero.
  Duration TimeUntilToken(Instant now) const;

  double tokens(Instant now) const;

 private:
  double rate_;
  double burst_;
  double tokens_;
  Instant updated_at_;
};

}  // namespace pomelomill
