#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "pomelomill/base.h"

namespace pomelomill {

/// An endpoint that may receive the next attempt.
struct Candidate {
  /// Index of the endpoint in its pool, see EndpointSet::VmAt().
  std::size_t index = 0;
  /// Attempts in flight from this entry plus those that peers have reported.
  std::uint32_t in_flight = 0;
  /// See EndpointStats::decayed_latency().
  double relative_latency = 1;
};

/// Power of two choices with a hot/cold rule (Prequal, NSDI 2024): an endpoint
/// above the 75% quantile of in-flight counts is hot. A cold endpoint is
/// preferred to a hot one; two cold endpoints are compared by latency, two hot
/// ones by in-flight count. Returns an index into `candidates`; none when
/// `candidates` is empty.
std::optional<std::size_t> ChooseEndpoint(
    const std::vector<Candidate>& candidates, Random& random);

}  // namespace pomelomill
