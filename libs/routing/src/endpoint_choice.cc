#include "pomelomill/routing/endpoint_choice.h"

#include <algorithm>

namespace pomelomill {
namespace {

/// Returns the 75% quantile of the in-flight counts.
std::uint32_t HotThreshold(const std::vector<Candidate>& candidates) {
  std::vector<std::uint32_t> counts;
  counts.reserve(candidates.size());
  for (const Candidate& it : candidates) counts.push_back(it.in_flight);
  const auto quantile =
      counts.begin() + static_cast<std::ptrdiff_t>((counts.size() - 1) * 3 / 4);
  std::nth_element(counts.begin(), quantile, counts.end());
  return *quantile;
}

}  // namespace

std::optional<std::size_t> ChooseEndpoint(
    const std::vector<Candidate>& candidates, Random& random) {
  if (candidates.empty()) return std::nullopt;
  if (candidates.size() == 1) return 0;
  const std::size_t first = random.Below(candidates.size());
  std::size_t second = random.Below(candidates.size() - 1);
  if (second >= first) ++second;
  const Candidate& a = candidates[first];
  const Candidate& b = candidates[second];
  const std::uint32_t threshold = HotThreshold(candidates);
  const bool is_a_hot = a.in_flight > threshold;
  const bool is_b_hot = b.in_flight > threshold;
  if (is_a_hot != is_b_hot) return is_a_hot ? second : first;
  if (is_a_hot) return a.in_flight <= b.in_flight ? first : second;
  // Equal latencies are common before the first samples; the in-flight counts
  // decide then.
  if (a.relative_latency == b.relative_latency) {
    return a.in_flight <= b.in_flight ? first : second;
  }
  return a.relative_latency < b.relative_latency ? first : second;
}

}  // namespace pomelomill
