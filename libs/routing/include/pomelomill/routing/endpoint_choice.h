#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "pomelomill/base.h"

namespace pomelomill {

/// One endpoint that may receive the next attempt.
struct Candidate {
  std::size_t index = 0;
  /// In flight from this entry and, as far as known, from its peers.
  std::uint32_t in_flight = 0;
  /// Relative latency, see EndpointStats.
  double relative_latency = 1;
};

/// Power of two choices with a hot/cold rule (Prequal, NSDI 2024): an endpoint
/// above the 75% quantile of in-flight counts is hot; a cold one wins over a
/// hot one, two cold ones compare by latency, two hot ones by in-flight count.
/// Returns the index in `candidates`; none when there are none.
std::optional<std::size_t> ChooseEndpoint(
    const std::vector<Candidate>& candidates, Random& random);

}  // namespace pomelomill
