#pragma once

#include "pomelomill/base.h"

namespace pomelomill {

/// Token bucket (RFC 2697 without the excess bucket): `rate` tokens a second,
/// at most `burst` in store, starts full.
class TokenBucket {
 public:
  TokenBucket(double rate, double burst, Instant now)
      : rate_(rate), burst_(burst), tokens_(burst), updated_at_(now) {}

  /// Takes one token; false when there is none.
  bool Take(Instant now);

  /// Changes the rate and the size, and keeps the tokens that still fit.
  void Configure(double rate, double burst, Instant now);

  /// Time until one token is there; zero when one is.
  Duration TimeUntilToken(Instant now) const;

  double tokens(Instant now) const;

 private:
  double rate_;
  double burst_;
  double tokens_;
  Instant updated_at_;
};

}  // namespace pomelomill
